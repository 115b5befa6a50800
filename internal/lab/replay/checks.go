package replay

import (
	"fmt"
	"strings"
	"time"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/leaf"
)

type CheckName string

// result is the result of a check and a summary of its figures.
type result struct {
	passed  bool
	summary string
}

// checkFunc checks an outcome against the recording of a run.
type checkFunc func(*recording, Outcome) result

// checkFuncs are the checks by name. docs/TRACES.md describes them.
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

func (rec *recording) answered(service string) []callRecord {
	var answered []callRecord
	for _, call := range rec.calls {
		if call.Failure == nil && (service == "" || call.Service == service) {
			answered = append(answered, call)
		}
	}
	return answered
}

// countAnswers counts a kind of fault in the answers. It passes if there is none.
func countAnswers(rec *recording, outcome Outcome, unit string, faults func(answerFaults) int) result {
	answers := rec.answered(outcome.Service)
	total := 0
	for _, answer := range answers {
		total += faults(answer.Faults)
	}
	return result{total == 0, fmt.Sprintf("%d %s in %d answers", total, unit, len(answers))}
}

func checkOneSnapshot(rec *recording, outcome Outcome) result {
	return countAnswers(rec, outcome, "rows of another snapshot", func(v answerFaults) int { return v.Mixed })
}

func checkTrueCoverage(rec *recording, outcome Outcome) result {
	return countAnswers(rec, outcome, "rows missing but not reported, or present in a range reported as missing", func(v answerFaults) int {
		wrong := v.Missing + v.Surplus
		if v.WrongFraction {
			wrong++
		}
		return wrong
	})
}

func checkOwnAnswers(rec *recording, outcome Outcome) result {
	return countAnswers(rec, outcome, "foreign rows", func(v answerFaults) int { return v.Foreign })
}

// checkNotRun finds requests that a leaf ran although all their calls were refused as not run.
func checkNotRun(rec *recording, outcome Outcome) result {
	ran := map[string]bool{}
	for _, execution := range rec.executions {
		ran[execution.RequestID] = true
	}
	notRun := map[string]bool{}
	for _, call := range rec.calls {
		if call.RequestID != "" && call.Failure != nil && call.Failure.Execution == failure.NotRun {
			notRun[call.RequestID] = true
		}
	}
	for _, call := range rec.calls {
		if call.Failure == nil || call.Failure.Execution != failure.NotRun {
			delete(notRun, call.RequestID)
		}
	}
	wrong := 0
	for id := range notRun {
		if ran[id] {
			wrong++
		}
	}
	minimumMet := float64(len(notRun)) >= outcome.AtLeast
	return result{wrong == 0 && minimumMet, fmt.Sprintf("%d of %d requests refused as not run had run (at least %g refusals required)", wrong, len(notRun), outcome.AtLeast)}
}

// checkAtMostOnce finds execution IDs that ran more than once across all leafs.
func checkAtMostOnce(rec *recording, outcome Outcome) result {
	counts := map[string]int{}
	for _, execution := range rec.executions {
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
	minimumMet := float64(len(counts)) >= outcome.AtLeast
	return result{twice == 0 && minimumMet, fmt.Sprintf("%d of %d execution IDs ran more than once (at least %g IDs required)", twice, len(counts), outcome.AtLeast)}
}

func (rec *recording) executionsOf(leafID string) []leaf.Execution {
	var executions []leaf.Execution
	for _, execution := range rec.executions {
		if leafID == "" || execution.LeafID == leafID {
			executions = append(executions, execution)
		}
	}
	return executions
}

// checkNoNewWork measures the time from the start of a leaf's drain to its last new attempt. It requires an attempt before the
// drain, too.
func checkNoNewWork(rec *recording, outcome Outcome) result {
	drainStart := rec.startedAt.Add(time.Duration(outcome.AfterMS) * time.Millisecond)
	last := time.Duration(0)
	before := 0
	for _, execution := range rec.executionsOf(outcome.Leaf) {
		since := time.UnixMicro(execution.At).Sub(drainStart)
		last = max(last, since)
		if since < 0 {
			before++
		}
	}
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	return result{last <= bound && before > 0, fmt.Sprintf("last new attempt %d ms after the leaf began to drain, bound %d ms, %d attempts before", last.Milliseconds(), outcome.WithinMS, before)}
}

// checkNoFailures passes if every search was answered, possibly after retries.
func checkNoFailures(rec *recording, outcome Outcome) result {
	failed, total, first := 0, 0, ""
	for _, call := range rec.calls {
		if !call.Last || (outcome.Service != "" && call.Service != outcome.Service) {
			continue
		}
		total++
		if call.Failure != nil {
			failed++
			if first == "" {
				first = ", first: " + call.Failure.Error()
			}
		}
	}
	return result{failed == 0 && total > 0, fmt.Sprintf("%d of %d searches failed%s", failed, total, first)}
}

func checkCleanStops(rec *recording, _ Outcome) result {
	return result{len(rec.stopFailures) == 0, fmt.Sprintf("%d planned stops failed %s", len(rec.stopFailures), strings.Join(rec.stopFailures, "; "))}
}

// checkInForce measures the time from the write of each change of a service to the store until each node serves it.
func checkInForce(rec *recording, outcome Outcome) result {
	nodes := outcome.Nodes
	if len(nodes) == 0 {
		nodes = rec.nodes
	}
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	slowest := time.Duration(0)
	late, total := 0, 0
	for _, write := range rec.writes {
		if !strings.HasPrefix(write.Key, "service/") || write.At < rec.startedAt.UnixMicro() {
			continue
		}
		total++
		for _, node := range nodes {
			at, found := rec.observed.reachedAt(node, write.Revision)
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

// checkNeverReverts passes if no node served a lower revision than before.
func checkNeverReverts(rec *recording, _ Outcome) result {
	return result{rec.observed.regressions == 0, fmt.Sprintf("%d times a node served a lower revision than before", rec.observed.regressions)}
}

// checkWritesSettled compares the results that operators received with the writes in the store. An accepted change must be
// written exactly once, at its revision; a refused change must not be written; and no result may stay unknown.
func checkWritesSettled(rec *recording, outcome Outcome) result {
	applied := map[string][]int64{}
	for _, write := range rec.writes {
		if id := changeIDIn(write.Value); id != "" {
			applied[id] = append(applied[id], write.Revision)
		}
	}
	accepted, refused, unsettled, wrong, resent := 0, 0, 0, 0, 0
	for _, change := range rec.changes {
		revisions := applied[change.ChangeID]
		if change.Sends > 1 {
			resent++
		}
		switch {
		case change.Failure == nil:
			accepted++
			if len(revisions) != 1 || revisions[0] != change.Revision {
				wrong++
			}
		case change.Failure.Execution == failure.NotRun:
			refused++
			wrong += len(revisions)
		default:
			unsettled++
			if len(revisions) > 1 {
				wrong++
			}
		}
	}
	minimumMet := float64(accepted) >= outcome.AtLeast
	return result{wrong == 0 && unsettled == 0 && minimumMet, fmt.Sprintf("%d accepted, %d refused, %d with unknown outcome, %d reported wrongly, %d sent more than once", accepted, refused, unsettled, wrong, resent)}
}

// checkSnapshotCurrent finds attempts that used a snapshot that was replaced more than the bound earlier.
func checkSnapshotCurrent(rec *recording, outcome Outcome) result {
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	history := publicationsOf(rec, outcome.Service)
	stale := 0
	slowest := time.Duration(0)
	for _, execution := range rec.executions {
		if execution.Service != outcome.Service {
			continue
		}
		age := history.staleness(execution)
		slowest = max(slowest, age)
		if age > bound {
			stale++
		}
	}
	return result{stale == 0 && len(history.publications) > 0, fmt.Sprintf("%d of %d attempts at all services used a snapshot that was replaced more than %d ms earlier, longest %d ms", stale, len(rec.executions), outcome.WithinMS, slowest.Milliseconds())}
}

func checkCompleteShare(rec *recording, outcome Outcome) result {
	complete, total := 0, 0
	for _, call := range rec.calls {
		if !call.Last || (outcome.Service != "" && call.Service != outcome.Service) {
			continue
		}
		total++
		if call.Failure == nil && call.Complete {
			complete++
		}
	}
	fraction := float64(complete) / float64(max(total, 1))
	return result{fraction >= outcome.AtLeast && total > 0, fmt.Sprintf("%.4f of %d searches answered completely (at least %g required)", fraction, total, outcome.AtLeast)}
}

func checkAnswers(rec *recording, outcome Outcome) result {
	count := len(rec.answered(outcome.Service))
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d answers (at least %g required)", count, outcome.AtLeast)}
}

func checkFailures(rec *recording, outcome Outcome) result {
	codes := map[failure.Code]int{}
	count := 0
	for _, call := range rec.calls {
		if call.Failure != nil {
			count++
			codes[call.Failure.Code]++
		}
	}
	inBounds := float64(count) >= outcome.AtLeast && (outcome.AtMost == 0 || float64(count) <= outcome.AtMost)
	return result{inBounds, fmt.Sprintf("%d failed requests %v (at least %g required)", count, codes, outcome.AtLeast)}
}

func checkAttempts(rec *recording, outcome Outcome) result {
	count := len(rec.executionsOf(outcome.Leaf))
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d attempts ran (at least %g required)", count, outcome.AtLeast)}
}

func checkAcceptedChanges(rec *recording, outcome Outcome) result {
	count := 0
	for _, change := range rec.changes {
		if change.Failure == nil {
			count++
		}
	}
	return result{float64(count) >= outcome.AtLeast, fmt.Sprintf("%d changes accepted of %d sent (at least %g required)", count, len(rec.changes), outcome.AtLeast)}
}

// checkPromptRefusals passes if all refusals as overloaded arrived within the bound, with a retry-after time.
func checkPromptRefusals(rec *recording, outcome Outcome) result {
	bound := time.Duration(outcome.WithinMS) * time.Millisecond
	refused, late, withoutRetryAfter := 0, 0, 0
	slowest := time.Duration(0)
	for _, call := range rec.calls {
		if call.Failure == nil || call.Failure.Code != failure.Overloaded {
			continue
		}
		refused++
		slowest = max(slowest, call.Took)
		if call.Took > bound {
			late++
		}
		if call.Failure.RetryAfter <= 0 {
			withoutRetryAfter++
		}
	}
	minimumMet := float64(refused) >= outcome.AtLeast
	return result{late == 0 && withoutRetryAfter == 0 && minimumMet, fmt.Sprintf("%d refusals, slowest %d ms, %d over %d ms, %d without a retry-after time", refused, slowest.Milliseconds(), late, outcome.WithinMS, withoutRetryAfter)}
}

func checkStoreCalls(rec *recording, outcome Outcome) result {
	reads := rec.counts.Lists + rec.counts.Watches
	return result{rec.counts.Limited == 0 && float64(reads) <= outcome.AtMost, fmt.Sprintf("%d lists and watches (at most %g allowed); %d calls refused by the store's rate limit", reads, outcome.AtMost, rec.counts.Limited)}
}
