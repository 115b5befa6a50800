package rollouts

import "time"

// Outcome is what the operators were told of an order.
type Outcome string

// The outcomes.
const (
	Running    Outcome = "running"
	Succeeded  Outcome = "succeeded"
	RolledBack Outcome = "rolled back"
)

// Telling is one word that the operators were told of a service.
type Telling struct {
	// Revision is that of the store that wrote it.
	Revision int64
	// Target is the version that it speaks of.
	Target  string
	Outcome Outcome
	// At is when the operator read it.
	At time.Time
}

// Release is one order, as operators gave it and as the store and the leafs saw it.
type Release struct {
	Old, Target *Version
	Duration    time.Duration
	// At is when the order was given, and Revision what wrote it.
	At       time.Time
	Revision int64
	// Ended is when it was taken back or replaced, zero if it was not, and EndRevision what wrote that.
	Ended       time.Time
	EndRevision int64
	// Until is the revision of the next order for the service, 0 if there was none, and Next the version it is for.
	Until int64
	Next  string
	// Told is what the operators were told of the service, of this order or not.
	Told []Telling
}

// Bounds of what a bad version may get.
const (
	// Share and Slack are as the nodes' settings have them.
	Share = 0.1
	Slack = 50
	// badAnswers and Lateness say that nothing is sent later than this after so many bad answers.
	badAnswers = 50
	Lateness   = 5 * time.Second
)

// Clear reports whether nothing hindered who sent a visit from knowing the newest state.
type Clear func(Visit) bool

// Always holds all visits to the promises.
func Always(Visit) bool { return true }

// Outcome gives what was told of the order at last, and when.
func (r *Release) Outcome() (told Outcome, at time.Time) {
	for _, telling := range r.Told {
		if r.isOwn(telling) && telling.Outcome != told {
			told, at = telling.Outcome, telling.At
		}
	}
	return told, at
}

func (r *Release) isOwn(t Telling) bool {
	return t.Revision > r.Revision && (r.Until == 0 || t.Revision < r.Until)
}

// isOver reports whether an order had been taken back or replaced before something was told of it.
func (r *Release) isOver(t Telling) bool { return r.EndRevision != 0 && t.Revision >= r.EndRevision }

// Misled gives what was told that must not be: a second outcome, one of another version, any of an order that was
// replaced, and of one that was taken back any but that it was rolled back, which is true of it.
func (r *Release) Misled() []Telling {
	var misled []Telling
	final := Outcome("")
	for _, telling := range r.Told {
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
		case r.Next == r.Target.Name(): // what is told of this version then is told of the next order
		case telling.Revision > r.Revision && telling.Target == r.Target.Name() && telling.Outcome != Running:
			misled = append(misled, telling)
		}
	}
	return misled
}

// Exposure is what a version got between the order and its deadline.
type Exposure struct {
	// Got were requests at its leafs, of those in touch.
	Got int
	// Reached were the requests that reached the service.
	Reached int
}

// Bound is how many requests the version may get if it is bad.
func (e Exposure) Bound() float64 { return Share*float64(e.Reached) + Slack }

// Exposure counts what the version got, and all that reached the service, each request once.
func (r *Release) Exposure(clear Clear) Exposure {
	got := r.within(r.Target)
	reached := map[string]bool{}
	for _, visit := range append(r.within(r.Old), got...) {
		reached[visit.ID] = true
	}
	return Exposure{Got: len(clears(got, clear)), Reached: len(reached)}
}

// within gives the visits between the order and its deadline or end.
func (r *Release) within(v *Version) []Visit {
	end := r.At.Add(r.Duration)
	if !r.Ended.IsZero() && r.Ended.Before(end) {
		end = r.Ended
	}
	return selected(v, func(visit Visit) bool { return !visit.At.Before(r.At) && !visit.At.After(end) })
}

// Late gives the visits to the version that came too late after its 50th bad answer.
func (r *Release) Late(clear Clear) []Visit {
	fiftieth, found := r.Condemned()
	if !found {
		return nil
	}
	return clears(selected(r.Target, func(visit Visit) bool { return visit.At.After(fiftieth.Add(Lateness)) }), clear)
}

// Condemned gives when the version had given its 50th bad answer; false if it had not.
func (r *Release) Condemned() (at time.Time, found bool) {
	bad := selected(r.Target, Visit.isBad)
	if len(bad) < badAnswers {
		return time.Time{}, false
	}
	return bad[badAnswers-1].Done, true
}

// ShowedNothing reports whether the version had given no bad answer by the time at which the operators were told that it
// succeeded, which is final: whatever it does later, no answer could have kept it from that. Such is a version that fails some
// seconds after its first request, and whose service got none in those seconds.
func (r *Release) ShowedNothing() bool {
	told, at := r.Outcome()
	isSeen := func(visit Visit) bool { return visit.isBad() && !visit.Done.After(at) }
	return told == Succeeded && len(selected(r.Target, isSeen)) == 0
}

// BadAnswers is how many bad answers the version gave.
func (r *Release) BadAnswers() int { return len(selected(r.Target, Visit.isBad)) }

func (v Visit) isBad() bool { return v.Bad }

// Barred gives the visits to the version without an order: before it, and some time after it was rolled back or
// had ended.
func (r *Release) Barred(clear Clear) []Visit {
	if r.Old == r.Target {
		return nil
	}
	before := selected(r.Target, func(visit Visit) bool { return visit.At.Before(r.At) })
	end := r.Ended
	if told, at := r.Outcome(); told == RolledBack && (end.IsZero() || at.Before(end)) {
		end = at
	}
	if end.IsZero() {
		return before
	}
	after := selected(r.Target, func(visit Visit) bool { return visit.At.After(end.Add(Lateness)) })
	return append(before, clears(after, clear)...)
}

// Leftover gives the visits at the old version that were not over when the operators were told that the new one
// serves.
func (r *Release) Leftover(clear Clear) []Visit {
	told, at := r.Outcome()
	if told != Succeeded || r.Old == r.Target {
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
