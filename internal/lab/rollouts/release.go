package rollouts

import "time"

// Outcome is the status of an order as operators read it.
type Outcome string

// Outcomes of an order.
const (
	Running    Outcome = "running"
	Succeeded  Outcome = "succeeded"
	RolledBack Outcome = "rolled back"
)

// StatusReading is a status of a service that an operator read.
type StatusReading struct {
	// Revision is the store's revision of the status.
	Revision int64
	// Target is the version in the status.
	Target  string
	Outcome Outcome
	// At is when the operator read it.
	At time.Time
}

// Release is an order as operators gave it, with what the store and the leafs recorded.
type Release struct {
	Old, Target *Version
	Duration    time.Duration
	// At is when the order was given, and Revision the store's revision of it.
	At       time.Time
	Revision int64
	// Ended is when the order was cancelled or replaced, or zero, and EndRevision the revision of that.
	Ended       time.Time
	EndRevision int64
	// Until is the revision of the next order for the service, or 0, and Next the version that it names.
	Until int64
	Next  string
	// Statuses are all readings of the service's status, of this order and others.
	Statuses []StatusReading
}

// Bounds of what a bad version may get.
const (
	// Share and Slack are those in the nodes' settings.
	Share = 0.1
	Slack = 50
	// A version gets nothing later than Lateness after its badAnswers-th bad answer.
	badAnswers = 50
	Lateness   = 5 * time.Second
)

// Clear reports whether no fault kept the sender of a visit from knowing the newest state.
type Clear func(Visit) bool

// Always is a Clear for runs without faults.
func Always(Visit) bool { return true }

// Outcome returns the last status of the order, and when it was first read.
func (r *Release) Outcome() (status Outcome, at time.Time) {
	for _, telling := range r.Statuses {
		if r.isOwn(telling) && telling.Outcome != status {
			status, at = telling.Outcome, telling.At
		}
	}
	return status, at
}

func (r *Release) isOwn(t StatusReading) bool {
	return t.Revision > r.Revision && (r.Until == 0 || t.Revision < r.Until)
}

// isOver reports whether the order had been cancelled or replaced before a status was written.
func (r *Release) isOver(t StatusReading) bool {
	return r.EndRevision != 0 && t.Revision >= r.EndRevision
}

// WrongStatuses returns the readings that must not be: a second outcome, a status of another version, any status of an order
// after it was replaced, and any but rolled back after it was cancelled.
func (r *Release) WrongStatuses() []StatusReading {
	var misled []StatusReading
	final := Outcome("")
	for _, telling := range r.Statuses {
		switch {
		case r.isOwn(telling):
			isSecond := final != "" && telling.Outcome != final
			isUntrue := r.isOver(telling) && telling.Outcome != RolledBack
			if telling.Target != r.Target.Name() || isSecond || isUntrue {
				misled = append(misled, telling)
			}
			if telling.Outcome != Running && final == "" {
				final = telling.Outcome
			}
		case r.Next == r.Target.Name(): // a status of this version then belongs to the next order
		case telling.Revision > r.Revision && telling.Target == r.Target.Name() && telling.Outcome != Running:
			misled = append(misled, telling)
		}
	}
	return misled
}

// Exposure is what a version got between its order and the deadline.
type Exposure struct {
	// Got counts the requests at the version's leafs from nodes without a fault.
	Got int
	// Reached counts the requests that reached the service.
	Reached int
}

// Bound returns how many requests a bad version may get.
func (e Exposure) Bound() float64 { return Share*float64(e.Reached) + Slack }

// Exposure counts the requests that the version got, and all that reached the service, each request once.
func (r *Release) Exposure(clear Clear) Exposure {
	got := r.within(r.Target)
	reached := map[string]bool{}
	for _, visit := range append(r.within(r.Old), got...) {
		reached[visit.ID] = true
	}
	return Exposure{Got: len(clears(got, clear)), Reached: len(reached)}
}

// within returns the visits between the order and its deadline or end.
func (r *Release) within(v *Version) []Visit {
	end := r.At.Add(r.Duration)
	if !r.Ended.IsZero() && r.Ended.Before(end) {
		end = r.Ended
	}
	return selected(v, func(visit Visit) bool { return !visit.At.Before(r.At) && !visit.At.After(end) })
}

// Late returns the visits to the version that came too late after its 50th bad answer.
func (r *Release) Late(clear Clear) []Visit {
	fiftieth, found := r.FiftiethBadAnswer()
	if !found {
		return nil
	}
	return clears(selected(r.Target, func(visit Visit) bool { return visit.At.After(fiftieth.Add(Lateness)) }), clear)
}

// FiftiethBadAnswer returns when the version gave its 50th bad answer, and false if it never did.
func (r *Release) FiftiethBadAnswer() (at time.Time, found bool) {
	bad := selected(r.Target, Visit.isBad)
	if len(bad) < badAnswers {
		return time.Time{}, false
	}
	return bad[badAnswers-1].Done, true
}

// HadNoBadAnswer reports whether the version had given no bad answer until operators read that it succeeded. That outcome is
// final: no answer could have prevented it. A version that fails some seconds after its first request is such a case if its
// service got no requests in those seconds.
func (r *Release) HadNoBadAnswer() bool {
	status, at := r.Outcome()
	isSeen := func(visit Visit) bool { return visit.isBad() && !visit.Done.After(at) }
	return status == Succeeded && len(selected(r.Target, isSeen)) == 0
}

// BadAnswers returns the number of the version's bad answers.
func (r *Release) BadAnswers() int { return len(selected(r.Target, Visit.isBad)) }

func (v Visit) isBad() bool { return v.Bad }

// Unordered returns the visits to the version without an order in force: before it, and some time after it was rolled back
// or ended.
func (r *Release) Unordered(clear Clear) []Visit {
	if r.Old == r.Target {
		return nil
	}
	before := selected(r.Target, func(visit Visit) bool { return visit.At.Before(r.At) })
	end := r.Ended
	if status, at := r.Outcome(); status == RolledBack && (end.IsZero() || at.Before(end)) {
		end = at
	}
	if end.IsZero() {
		return before
	}
	after := selected(r.Target, func(visit Visit) bool { return visit.At.After(end.Add(Lateness)) })
	return append(before, clears(after, clear)...)
}

// AtOldVersion returns the visits at the old version that had not ended when operators read that the new one serves.
func (r *Release) AtOldVersion(clear Clear) []Visit {
	status, at := r.Outcome()
	if status != Succeeded || r.Old == r.Target {
		return nil
	}
	return clears(selected(r.Old, func(visit Visit) bool { return visit.Done.After(at) }), clear)
}

func selected(v *Version, wanted func(Visit) bool) []Visit {
	var found []Visit
	for _, visit := range v.Visits() {
		if wanted(visit) {
			found = append(found, visit)
		}
	}
	return found
}

func clears(visits []Visit, clear Clear) []Visit {
	var found []Visit
	for _, visit := range visits {
		if clear(visit) {
			found = append(found, visit)
		}
	}
	return found
}
