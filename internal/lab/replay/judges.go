package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/leaf"
)

// CheckName names a check of a trace's outcome.
type CheckName string

// result is a judged outcome.
type result struct {
	passed bool
	figure string
}

// judge checks an outcome against the evidence.
type judge func(*evidence, Outcome) result

// judges are all checks by name; docs/TRACES.md describes each.
var judges = map[CheckName]judge{
	"one_snapshot":     judgeOneSnapshot,
	"true_coverage":    judgeTrueCoverage,
	"own_answers":      judgeOwnAnswers,
	"not_run_is_true":  judgeNotRun,
	"at_most_once":     judgeAtMostOnce,
	"no_new_work":      judgeNoNewWork,
	"no_failures":      judgeNoFailures,
	"clean_stops":      judgeCleanStops,
	"in_force":         judgeInForce,
	"never_reverts":    judgeNeverReverts,
	"writes_settled":   judgeWritesSettled,
	"snapshot_current": judgeSnapshotCurrent,
	"complete_share":   judgeCompleteShare,
	"answers":          judgeAnswers,
	"failures":         judgeFailures,
	"attempts":         judgeAttempts,
	"accepted_changes": judgeAcceptedChanges,
	"prompt_refusals":  judgePromptRefusals,
	"store_calls":      judgeStoreCalls,
}

func (e *evidence) answered(service string) []call {
	var answered []call
	for _, made := range e.calls {
		if made.Failure == nil && (service == "" || made.Service == service) {
			answered = append(answered, made)
		}
	}
	return answered
}

// countAnswers passes when no answer has the fault.
func countAnswers(e *evidence, outcome Outcome, unit string, faults func(verdict) int) result {
	answers := e.answered(outcome.Service)
	total := 0
	for _, answer := range answers {
		total += faults(answer.Verdict)
	}
	return result{total == 0, fmt.Sprintf("%d %s in %d answers", total, unit, len(answers))}
}

func judgeOneSnapshot(e *evidence, outcome Outcome) result {
	return countAnswers(e, outcome, "rows of another snapshot", func(v verdict) int { return v.Mixed })
}

func judgeTrueCoverage(e *evidence, outcome Outcome) result {
	return countAnswers(e, outcome, "rows missing unsaid or present in a range said missing", func(v verdict) int {
		wrong := v.Unsaid + v.Surplus
		if v.WrongFraction {
			wrong++
		}
		return wrong
	})
}

func judgeOwnAnswers(e *evidence, outcome Outcome) result {
	return countAnswers(e, outcome, "foreign rows", func(v verdict) int { return v.Foreign })
}

// judgeNotRun looks for executions of requests that were only ever refused as not run.
func judgeNotRun(e *evidence, outcome Outcome) result {
	ran := map[string]bool{}
	for _, execution := range e.executions {
		ran[execution.RequestID] = true
	}
	claimed := map[string]bool{}
	for _, made := range e.calls {
		if made.RequestID != "" && made.Failure != nil && made.Failure.Execution == failure.NotRun {
			claimed[made.RequestID] = true
		}
	}
	for _, made := range e.calls {
		if made.Failure == nil || made.Failure.Execution != failure.NotRun {
			delete(claimed, made.RequestID)
		}
	}
	wrong := 0
	for id := range claimed {
		if ran[id] {
			wrong++
		}
	}
	enough := float64(len(claimed)) >= outcome.AtLeast
	return result{wrong == 0 && enough, fmt.Sprintf("%d of %d requests refused as not run had run (at least %g refusals wanted)", wrong, len(claimed), outcome.AtLeast)}
}

// judgeAtMostOnce counts executions by id over all leafs.
func judgeAtMostOnce(e *evidence, outcome Outcome) result {
	counts := map[string]int{}
	for _, execution := range e.executions {
		if execution.ExecutionID != "" {
			counts[execution.ExecutionID]++
		}
	}
	twice := 0
	for _, count := range counts {
		if count > 1 {
			twice++
		}
	}
	enough := float64(len(counts)) >= outcome.AtLeast
	return result{twice == 0 && enough, fmt.Sprintf("%d of %d execution ids ran more than once (at least %g ids wanted)", twice, len(counts), outcome.AtLeast)}
}

func (e *evidence) executionsOf(leafID string) []leaf.Execution {
	var executions []leaf.Execution
	for _, execution := range e.executions {
		if leafID == "" || execution.LeafID == leafID {
			executions = append(executions, execution)
		}
	}
	return executions
}

// judgeNoNewWork finds the last execution at a leaf after it began to leave.
func judgeNoNewWork(e *evidence, outcome Outcome) result {
	leftAt := e.began.Add(time.Duration(outcome.AfterMS) * time.Millisecond)
	last := time.Duration(0)
	before := 0
	for _, execution := range e.executionsOf(outcome.Leaf) {
		since := time.UnixMicro(execution.At).Sub(leftAt)
		last = max(last, since)
		if since < 0 {
			before++
		}
	}
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	return result{last <= bound && before > 0, fmt.Sprintf("last new attempt %d ms after the leaf began to leave, bound %d ms, %d attempts before", last.Milliseconds(), outcome.WithinMS, before)}
}

// judgeNoFailures passes when every search was answered in the end.
func judgeNoFailures(e *evidence, outcome Outcome) result {
	failed, total, first := 0, 0, ""
	for _, made := range e.calls {
		if !made.Last || (outcome.Service != "" && made.Service != outcome.Service) {
			continue
		}
		total++
		if made.Failure != nil {
			failed++
			if first == "" {
				first = ", first: " + made.Failure.Error()
			}
		}
	}
	return result{failed == 0 && total > 0, fmt.Sprintf("%d of %d searches failed%s", failed, total, first)}
}

func judgeCleanStops(e *evidence, _ Outcome) result {
	return result{len(e.stopFailures) == 0, fmt.Sprintf("%d stops were not clean %s", len(e.stopFailures), strings.Join(e.stopFailures, "; "))}
}

// judgeInForce compares when the store took each change of a service with when each node
// showed it.
func judgeInForce(e *evidence, outcome Outcome) result {
	nodes := outcome.Nodes
	if len(nodes) == 0 {
		nodes = e.nodes
	}
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	slowest := time.Duration(0)
	late, total := 0, 0
	for _, write := range e.writes {
		if !strings.HasPrefix(write.Key, "service/") || write.At < e.began.UnixMicro() {
			continue
		}
		total++
		for _, node := range nodes {
			at, found := e.observed.reachedAt(node, write.Revision)
			took := at.Sub(time.UnixMicro(write.At))
			if !found || took > bound {
				late++
				continue
			}
			slowest = max(slowest, took)
		}
	}
	return result{late == 0 && total > 0, fmt.Sprintf("%d changes on %d nodes, %d late or never, slowest %d ms, bound %d ms", total, len(nodes), late, slowest.Milliseconds(), outcome.WithinMS)}
}

// judgeNeverReverts looks for revisions that go down, as shown by nodes and in answers of one
// node to one caller after another.
func judgeNeverReverts(e *evidence, _ Outcome) result {
	return result{e.observed.reversals == 0, fmt.Sprintf("%d times a node showed a lower revision than before", e.observed.reversals)}
}

// judgeWritesSettled compares what operators were told with what the store took: each
// accepted change exactly once at its revision, each refused one never.
func judgeWritesSettled(e *evidence, outcome Outcome) result {
	taken := map[string][]int64{}
	for _, write := range e.writes {
		if id := changeIDIn(write.Value); id != "" {
			taken[id] = append(taken[id], write.Revision)
		}
	}
	accepted, refused, unsettled, wrong, again := 0, 0, 0, 0, 0
	for _, operation := range e.operations {
		revisions := taken[operation.ChangeID]
		if operation.Sends > 1 {
			again++
		}
		switch {
		case operation.Failure == nil:
			accepted++
			if len(revisions) != 1 || revisions[0] != operation.Revision {
				wrong++
			}
		case operation.Failure.Execution == failure.NotRun:
			refused++
			wrong += len(revisions)
		default:
			unsettled++
			if len(revisions) > 1 {
				wrong++
			}
		}
	}
	enough := float64(accepted) >= outcome.AtLeast
	return result{wrong == 0 && unsettled == 0 && enough, fmt.Sprintf("%d accepted, %d refused, %d never settled, %d told wrongly, %d sent more than once", accepted, refused, unsettled, wrong, again)}
}

// judgeSnapshotCurrent looks for attempts at an older snapshot long after a newer one was
// taken by the store.
func judgeSnapshotCurrent(e *evidence, outcome Outcome) result {
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	current := currentSnapshots(e, outcome.Service)
	stale := 0
	slowest := time.Duration(0)
	for _, execution := range e.executions {
		if execution.Service != outcome.Service {
			continue
		}
		age := current.age(execution)
		slowest = max(slowest, age)
		if age > bound {
			stale++
		}
	}
	return result{stale == 0 && len(current.published) > 0, fmt.Sprintf("%d of %d attempts at a snapshot replaced over %d ms before, longest %d ms", stale, len(e.executions), outcome.WithinMS, slowest.Milliseconds())}
}

func judgeCompleteShare(e *evidence, outcome Outcome) result {
	complete, total := 0, 0
	for _, made := range e.calls {
		if !made.Last || (outcome.Service != "" && made.Service != outcome.Service) {
			continue
		}
		total++
		if made.Failure == nil && made.Complete {
			complete++
		}
	}
	share := float64(complete) / float64(max(total, 1))
	return result{share >= outcome.AtLeast && total > 0, fmt.Sprintf("%.4f of %d searches answered completely, at least %g", share, total, outcome.AtLeast)}
}

func judgeAnswers(e *evidence, outcome Outcome) result {
	count := len(e.answered(outcome.Service))
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d answers, at least %g", count, outcome.AtLeast)}
}

func judgeFailures(e *evidence, outcome Outcome) result {
	codes := map[failure.Code]int{}
	count := 0
	for _, made := range e.calls {
		if made.Failure != nil {
			count++
			codes[made.Failure.Code]++
		}
	}
	inBounds := float64(count) >= outcome.AtLeast && (outcome.AtMost == 0 || float64(count) <= outcome.AtMost)
	return result{inBounds, fmt.Sprintf("%d failed requests %v, at least %g", count, codes, outcome.AtLeast)}
}

func judgeAttempts(e *evidence, outcome Outcome) result {
	count := len(e.executionsOf(outcome.Leaf))
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d attempts ran, at least %g", count, outcome.AtLeast)}
}

func judgeAcceptedChanges(e *evidence, outcome Outcome) result {
	count := 0
	for _, operation := range e.operations {
		if operation.Failure == nil {
			count++
		}
	}
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d changes accepted of %d sent, at least %g", count, len(e.operations), outcome.AtLeast)}
}

// judgePromptRefusals passes when refusals say when to come back and none was held back to
// near the caller's patience.
func judgePromptRefusals(e *evidence, outcome Outcome) result {
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	refused, late, silent := 0, 0, 0
	slowest := time.Duration(0)
	for _, made := range e.calls {
		if made.Failure == nil || made.Failure.Code != failure.Overloaded {
			continue
		}
		refused++
		slowest = max(slowest, made.Took)
		if made.Took > bound {
			late++
		}
		if made.Failure.RetryAfter <= 0 {
			silent++
		}
	}
	enough := float64(refused) >= outcome.AtLeast
	return result{late == 0 && silent == 0 && enough, fmt.Sprintf("%d refusals, slowest %d ms, %d over %d ms, %d without a time to come back", refused, slowest.Milliseconds(), late, outcome.WithinMS, silent)}
}

func judgeStoreCalls(e *evidence, outcome Outcome) result {
	reads := e.counts.Lists + e.counts.Watches
	return result{e.counts.Limited == 0 && float64(reads) <= outcome.AtMost, fmt.Sprintf("%d lists and watches, at most %g; %d calls over the store's limit", reads, outcome.AtMost, e.counts.Limited)}
}
