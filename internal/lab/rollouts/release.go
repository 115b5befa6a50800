package rollouts

import "time"

// Outcome is the status of a rollout as operators read it.
type Outcome string

// Outcomes of a rollout.
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
	// At is the time at which the operator read it.
	At time.Time
}

// Release is a rollout with the records of the operators, the store and the leafs.
type Release struct {
	Old, Target *Version
	Duration    time.Duration
	// At is the time at which the spec was written, and Revision the store's revision of the spec.
	At       time.Time
	Revision int64
	// Ended is the time at which the rollout was cancelled or replaced, or zero. EndRevision is the store's revision of the
	// cancellation, or 0.
	Ended       time.Time
	EndRevision int64
	// Until is the revision of the service's next spec, or 0, and Next the version in that spec.
	Until int64
	Next  string
	// Statuses are all readings of the service's status, including those of other rollouts.
	Statuses []StatusReading
}

// Bounds of the requests that a bad version may receive.
const (
	// Share and Slack are the canary's share and slack in the nodes' settings.
	Share = 0.1
	Slack = 50
	// Lateness is the time after a version's 50th bad answer (badAnswers) within which it may still receive requests.
	badAnswers = 50
	Lateness   = 5 * time.Second
)

// FaultFree reports whether no fault kept the sender of a request from reading the newest state.
type FaultFree func(ReceivedRequest) bool

// AlwaysFaultFree is a FaultFree for runs without faults.
func AlwaysFaultFree(ReceivedRequest) bool { return true }

// Outcome returns the last status of the rollout and the time at which it was first read.
func (r *Release) Outcome() (status Outcome, at time.Time) {
	for _, reading := range r.Statuses {
		if r.isOwn(reading) && reading.Outcome != status {
			status, at = reading.Outcome, reading.At
		}
	}
	return status, at
}

// isOwn reports whether a status was written between this spec and the next one.
func (r *Release) isOwn(t StatusReading) bool {
	return t.Revision > r.Revision && (r.Until == 0 || t.Revision < r.Until)
}

// wasCancelledBefore reports whether the rollout had been cancelled when a status was written.
func (r *Release) wasCancelledBefore(t StatusReading) bool {
	return r.EndRevision != 0 && t.Revision >= r.EndRevision
}

// WrongStatuses returns the disallowed readings: a second outcome, a status of another version, an outcome after the
// rollout was replaced, and any status but RolledBack after it was cancelled.
func (r *Release) WrongStatuses() []StatusReading {
	var wrong []StatusReading
	final := Outcome("")
	for _, reading := range r.Statuses {
		switch {
		case r.isOwn(reading):
			isSecond := final != "" && reading.Outcome != final
			isWrongAfterEnd := r.wasCancelledBefore(reading) && reading.Outcome != RolledBack
			if reading.Target != r.Target.Name() || isSecond || isWrongAfterEnd {
				wrong = append(wrong, reading)
			}
			if reading.Outcome != Running && final == "" {
				final = reading.Outcome
			}
		case r.Next == r.Target.Name(): // later statuses of this version belong to the next rollout
		case reading.Revision > r.Revision && reading.Target == r.Target.Name() && reading.Outcome != Running:
			wrong = append(wrong, reading)
		}
	}
	return wrong
}

// Exposure counts the requests between the start of a rollout and its deadline.
type Exposure struct {
	// Received is the number of requests that the version's leafs received from nodes without a fault.
	Received int
	// Reached is the number of requests that reached the service.
	Reached int
}

// Bound returns the maximum number of requests that a bad version may receive.
func (e Exposure) Bound() float64 { return Share*float64(e.Reached) + Slack }

// Exposure counts the requests at the target's leafs for which clear returns true, and the distinct requests that reached the
// service.
func (r *Release) Exposure(clear FaultFree) Exposure {
	got := r.within(r.Target)
	reached := map[string]bool{}
	for _, request := range append(r.within(r.Old), got...) {
		reached[request.ID] = true
	}
	return Exposure{Received: len(unaffected(got, clear)), Reached: len(reached)}
}

// within returns the requests between the start of the rollout and its deadline or earlier end.
func (r *Release) within(v *Version) []ReceivedRequest {
	end := r.At.Add(r.Duration)
	if !r.Ended.IsZero() && r.Ended.Before(end) {
		end = r.Ended
	}
	return selected(v, func(request ReceivedRequest) bool { return !request.At.Before(r.At) && !request.At.After(end) })
}

// Late returns the requests that the target received later than Lateness after its 50th bad answer.
func (r *Release) Late(clear FaultFree) []ReceivedRequest {
	fiftieth, found := r.FiftiethBadAnswer()
	if !found {
		return nil
	}
	return unaffected(selected(r.Target, func(request ReceivedRequest) bool { return request.At.After(fiftieth.Add(Lateness)) }), clear)
}

// FiftiethBadAnswer returns the time of the target's 50th bad answer, and false if there were fewer.
func (r *Release) FiftiethBadAnswer() (at time.Time, found bool) {
	bad := selected(r.Target, ReceivedRequest.isBad)
	if len(bad) < badAnswers {
		return time.Time{}, false
	}
	return bad[badAnswers-1].Done, true
}

// SucceededBeforeBadAnswer reports whether operators read that the rollout succeeded before the target's first bad
// answer. The outcome is final, so later bad answers cannot change it. This happens if the fault occurs with a delay
// and the service receives no requests between its occurrence and the deadline.
func (r *Release) SucceededBeforeBadAnswer() bool {
	status, at := r.Outcome()
	isSeen := func(request ReceivedRequest) bool { return request.isBad() && !request.Done.After(at) }
	return status == Succeeded && len(selected(r.Target, isSeen)) == 0
}

// BadAnswers returns the number of the target's bad answers.
func (r *Release) BadAnswers() int { return len(selected(r.Target, ReceivedRequest.isBad)) }

func (r ReceivedRequest) isBad() bool { return r.Bad }

// OutsideRollout returns the requests that the target received without a rollout in force: before its start, and later
// than Lateness after it was rolled back, cancelled or replaced.
func (r *Release) OutsideRollout(clear FaultFree) []ReceivedRequest {
	if r.Old == r.Target {
		return nil
	}
	before := selected(r.Target, func(request ReceivedRequest) bool { return request.At.Before(r.At) })
	end := r.Ended
	if status, at := r.Outcome(); status == RolledBack && (end.IsZero() || at.Before(end)) {
		end = at
	}
	if end.IsZero() {
		return before
	}
	after := selected(r.Target, func(request ReceivedRequest) bool { return request.At.After(end.Add(Lateness)) })
	return append(before, unaffected(after, clear)...)
}

// AtOldVersion returns the requests at the old version that were in flight or received after operators read that the
// rollout succeeded.
func (r *Release) AtOldVersion(clear FaultFree) []ReceivedRequest {
	status, at := r.Outcome()
	if status != Succeeded || r.Old == r.Target {
		return nil
	}
	return unaffected(selected(r.Old, func(request ReceivedRequest) bool { return request.Done.After(at) }), clear)
}

func selected(v *Version, wanted func(ReceivedRequest) bool) []ReceivedRequest {
	var found []ReceivedRequest
	for _, request := range v.Requests() {
		if wanted(request) {
			found = append(found, request)
		}
	}
	return found
}

func unaffected(requests []ReceivedRequest, clear FaultFree) []ReceivedRequest {
	var found []ReceivedRequest
	for _, request := range requests {
		if clear(request) {
			found = append(found, request)
		}
	}
	return found
}
