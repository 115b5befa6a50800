package balancer

import "time"

// countFailure counts a failed attempt. After Config.EjectAfter consecutive failures of this node's attempts, and again
// after each failed probe, the leaf is ejected for Config.EjectFor. One success readmits it. An ejected leaf is used
// only if no other replica is usable, because its failures would cost each request a timeout or a retry.
func (l *Leaf) countFailure(cfg Config, now time.Time) {
	l.failures++
	if l.failures >= cfg.EjectAfter || !l.ejectedUntil.IsZero() {
		l.ejectedUntil = now.Add(cfg.EjectFor)
	}
}

// readmit ends an ejection after a success; the leaf warms up again.
func (l *Leaf) readmit(now time.Time) {
	l.failures = 0
	if !l.ejectedUntil.IsZero() {
		l.ejectedUntil = time.Time{}
		l.warmUpStart = now
	}
}

// isEjected reports whether the leaf is ejected. After the ejection time, one attempt at a time probes the leaf.
func (l *Leaf) isEjected(now time.Time) bool {
	return !l.ejectedUntil.IsZero() && (l.probing || now.Before(l.ejectedUntil))
}
