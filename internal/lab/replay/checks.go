package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/leaf"
)

// CheckName is the name of a check.
type CheckName string

// result says whether an outcome holds, and with which figures.
type result struct {
	passed bool
	figure string
}

// checkFunc checks an outcome on the recording of a run.
type checkFunc func(*recording, Outcome) result

// checkFuncs are all checks by name. docs/TRACES.md describes them.
var checkFuncs = map[CheckName]checkFunc{
	"one_snapshot":     checkOneSnapshot,
	"true_coverage":    checkTrueCoverage,
	"own_answers":      checkOwnAnswers,
	"not_run_is_true":  checkNotRun,
	"at_most_once":     checkAtMostOnce,
	"no_new_work":      checkNoNewWork,
	"no_failures":      checkNoFailures,
	"clean_stops":      checkCleanStops,
	"in_force":         checkInForce,
	"never_reverts":    checkNeverReverts,
	"writes_settled":   checkWritesSettled,
	"snapshot_current": checkSnapshotCurrent,
	"complete_share":   checkCompleteShare,
	"answers":          checkAnswers,
	"failures":         checkFailures,
	"attempts":         checkAttempts,
	"accepted_changes": checkAcceptedChanges,
	"prompt_refusals":  checkPromptRefusals,
	"store_calls":      checkStoreCalls,
}

func (e *recording) answered(service string) []call {
	var answered []call
	for _, made := range e.calls {
		if made.Failure == nil && (service == "" || made.Service == service) {
			answered = append(answered, made)
		}
	}
	return answered
}

// countAnswers passes if no answer has a fault.
func countAnswers(e *recording, outcome Outcome, unit string, faults func(answerFaults) int) result {
	answers := e.answered(outcome.Service)
	total := 0
	for _, answer := range answers {
		total += faults(answer.Faults)
	}
	return result{total == 0, fmt.Sprintf("%d %s in %d answers", total, unit, len(answers))}
}

func checkOneSnapshot(e *recording, outcome Outcome) result {
	return countAnswers(e, outcome, "rows of another snapshot", func(v answerFaults) int { return v.Mixed })
}

func checkTrueCoverage(e *recording, outcome Outcome) result {
	return countAnswers(e, outcome, "rows missing but not reported, or present in a range reported as missing", func(v answerFaults) int {
		wrong := v.Missing + v.Surplus
		if v.WrongFraction {
			wrong++
		}
		return wrong
	})
}

func checkOwnAnswers(e *recording, outcome Outcome) result {
	return countAnswers(e, outcome, "foreign rows", func(v answerFaults) int { return v.Foreign })
}

// checkNotRun finds requests that were always refused as not run, and that a leaf ran.
func checkNotRun(e *recording, outcome Outcome) result {
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

// checkAtMostOnce finds execution ids that ran more than once, over all leafs.
func checkAtMostOnce(e *recording, outcome Outcome) result {
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

func (e *recording) executionsOf(leafID string) []leaf.Execution {
	var executions []leaf.Execution
	for _, execution := range e.executions {
		if leafID == "" || execution.LeafID == leafID {
			executions = append(executions, execution)
		}
	}
	return executions
}

// checkNoNewWork measures when a leaf that is leaving ran its last attempt.
func checkNoNewWork(e *recording, outcome Outcome) result {
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

// checkNoFailures passes if every search was answered after its repetitions.
func checkNoFailures(e *recording, outcome Outcome) result {
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

func checkCleanStops(e *recording, _ Outcome) result {
	return result{len(e.stopFailures) == 0, fmt.Sprintf("%d stops were not clean %s", len(e.stopFailures), strings.Join(e.stopFailures, "; "))}
}

// checkInForce measures the time from the store's acceptance of each change of a service until each node serves it.
func checkInForce(e *recording, outcome Outcome) result {
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

// checkNeverReverts counts how often a node served a lower revision than before.
func checkNeverReverts(e *recording, _ Outcome) result {
	return result{e.observed.reversals == 0, fmt.Sprintf("%d times a node showed a lower revision than before", e.observed.reversals)}
}

// checkWritesSettled compares the outcomes that operators got with the writes of the store: each accepted change was made
// once, at its revision, and each refused one never.
func checkWritesSettled(e *recording, outcome Outcome) result {
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
	return result{wrong == 0 && unsettled == 0 && enough, fmt.Sprintf("%d accepted, %d refused, %d never settled, %d reported wrongly, %d sent more than once", accepted, refused, unsettled, wrong, again)}
}

// checkSnapshotCurrent finds attempts at a snapshot that had been replaced long before.
func checkSnapshotCurrent(e *recording, outcome Outcome) result {
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

func checkCompleteShare(e *recording, outcome Outcome) result {
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

func checkAnswers(e *recording, outcome Outcome) result {
	count := len(e.answered(outcome.Service))
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d answers, at least %g", count, outcome.AtLeast)}
}

func checkFailures(e *recording, outcome Outcome) result {
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

func checkAttempts(e *recording, outcome Outcome) result {
	count := len(e.executionsOf(outcome.Leaf))
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d attempts ran, at least %g", count, outcome.AtLeast)}
}

func checkAcceptedChanges(e *recording, outcome Outcome) result {
	count := 0
	for _, operation := range e.operations {
		if operation.Failure == nil {
			count++
		}
	}
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d changes accepted of %d sent, at least %g", count, len(e.operations), outcome.AtLeast)}
}

// checkPromptRefusals passes if refusals as overloaded came soon, with a time to retry after.
func checkPromptRefusals(e *recording, outcome Outcome) result {
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
	return result{late == 0 && silent == 0 && enough, fmt.Sprintf("%d refusals, slowest %d ms, %d over %d ms, %d without a time to retry after", refused, slowest.Milliseconds(), late, outcome.WithinMS, silent)}
}

func checkStoreCalls(e *recording, outcome Outcome) result {
	reads := e.counts.Lists + e.counts.Watches
	return result{e.counts.Limited == 0 && float64(reads) <= outcome.AtMost, fmt.Sprintf("%d lists and watches, at most %g; %d calls over the store's limit", reads, outcome.AtMost, e.counts.Limited)}
}
