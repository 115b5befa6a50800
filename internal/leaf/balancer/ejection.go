package balancer

import "time"

// countFailure decides when a leaf is ejected, that is asked only if no other replica can be.
//
// Inputs: the failures in a row of this node's attempts at the leaf.
//
// Rule: a leaf is ejected for Config.EjectFor after Config.EjectAfter failures in a row, and again after each failed
// probe. One success ends it, see readmit. An ejected leaf would otherwise cost each request a timeout or a retry.
func (l *Leaf) countFailure(config Config, now time.Time) {
	l.failures++
	if l.failures >= config.EjectAfter || !l.ejectedUntil.IsZero() {
		l.ejectedUntil = now.Add(config.EjectFor)
	}
}

// readmit ends an ejection after a success; the leaf warms up again.
func (l *Leaf) readmit(now time.Time) {
	l.failures = 0
	if !l.ejectedUntil.IsZero() {
		l.ejectedUntil = time.Time{}
		l.warmSince = now
	}
}

// isEjected reports whether the leaf is ejected now. Once the time is over, one attempt at a time probes it.
func (l *Leaf) isEjected(now time.Time) bool {
	return !l.ejectedUntil.IsZero() && (l.probing || now.Before(l.ejectedUntil))
}
