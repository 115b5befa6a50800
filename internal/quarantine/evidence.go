package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Crash is the crash of a leaf under a request.
type Crash struct {
	Leaf string `json:"leaf"`
	// Episode is equal for crashes under attempts that were sent together.
	Episode uint64 `json:"episode"`
}

// Evidence is one node's evidence against a request.
type Evidence struct {
	Subject
	Crashes []Crash `json:"ends,omitempty"`
	// OthersNotListening is true if attempts of the request found leafs no longer listening that had not crashed under
	// it.
	OthersNotListening bool `json:"in_herd,omitempty"`
}

// suspect is a request with evidence that is not sufficient for a quarantine.
type suspect struct {
	subject Subject
	// episodes are the episodes of the crashes, by leaf.
	episodes map[string]uint64
	lastAt   time.Time
	// othersNotListening is true if attempts of the request found leafs no longer listening that had not crashed under
	// it.
	othersNotListening bool
	// isOwn is true if this node detected some of the crashes, isReported if it reported them to other nodes.
	isOwn      bool
	isReported bool
}

// add adds a crash. Further crashes of the same leaf only renew the time.
func (s *suspect) add(crash Crash, now time.Time) {
	if _, found := s.episodes[crash.Leaf]; !found && len(s.episodes) < maxLeafs {
		s.episodes[crash.Leaf] = crash.Episode
	}
	s.lastAt = now
}

// removeCrash removes the crash of a leaf that is attributed to another request.
func (s *suspect) removeCrash(leaf string) { delete(s.episodes, leaf) }

// isSufficient decides whether at least CrashedLeafs leafs crashed under the request, in at least Episodes episodes, or
// EpisodesIfOthersNotListening if other leafs stopped listening too. One episode proves nothing: leafs that crash
// together for another reason cause one for each request that they run. A second one means that the request was sent
// again and crashed another leaf; if others stopped listening too, this may still be a coincidence.
func (s *suspect) isSufficient(cfg Config) bool {
	if len(s.episodes) < cfg.CrashedLeafs {
		return false
	}
	seen := map[uint64]bool{}
	for _, episode := range s.episodes {
		seen[episode] = true
	}
	if s.othersNotListening {
		return len(seen) >= cfg.EpisodesIfOthersNotListening
	}
	return len(seen) >= cfg.Episodes
}

// reportedCrashes returns the crashes to report to other nodes, at most maxReportedCrashes: the first of each episode
// before the rest.
func (s *suspect) reportedCrashes() []Crash {
	var first, rest []Crash
	seen := map[uint64]bool{}
	for _, leaf := range slices.Sorted(maps.Keys(s.episodes)) {
		crash := Crash{Leaf: leaf, Episode: s.episodes[leaf]}
		if seen[crash.Episode] {
			rest = append(rest, crash)
			continue
		}
		seen[crash.Episode] = true
		first = append(first, crash)
	}
	crashes := append(first, rest...)
	return crashes[:min(len(crashes), maxReportedCrashes)]
}

// leafs returns as many of the crashed leafs as fit into a record.
func (s *suspect) leafs() []string {
	var leafs []string
	size := 0
	for _, leaf := range slices.Sorted(maps.Keys(s.episodes)) {
		if size += len(leaf); size > maxLeafBytes {
			break
		}
		leafs = append(leafs, leaf)
	}
	return leafs
}

// AddEvidence adds the evidence of another node.
func (r *Register) AddEvidence(evidence Evidence) { r.addEvidence(evidence, false) }

// Evidence returns this node's evidence against a request, to be reported to other nodes. It returns false if there is
// none, for instance because the request has been answered in the meantime.
func (r *Register) Evidence(content fingerprint.Fingerprint) (Evidence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	entry := r.findSuspect(content)
	if entry == nil || !entry.isOwn {
		return Evidence{}, false
	}
	entry.isReported = true
	return Evidence{Subject: entry.subject, Crashes: entry.reportedCrashes(), OthersNotListening: entry.othersNotListening}, true
}

// addEvidence adds evidence against a request, and puts the request under quarantine if the evidence is sufficient.
// Crashes attributed to another request don't count.
func (r *Register) addEvidence(evidence Evidence, isOwn bool) {
	r.mu.Lock()
	if r.recordOf(evidence.Fingerprint) != nil {
		r.mu.Unlock()
		return
	}
	entry := r.findOrAddSuspect(evidence.Subject)
	for _, crash := range evidence.Crashes {
		if !r.isAttributed(crash.Leaf, evidence.Fingerprint) {
			entry.add(crash, r.clock.Now())
		}
	}
	entry.isOwn = entry.isOwn || isOwn
	entry.othersNotListening = entry.othersNotListening || evidence.OthersNotListening
	switch {
	case len(entry.episodes) == 0:
		r.dropSuspect(evidence.Fingerprint)
		r.mu.Unlock()
	case entry.isSufficient(r.cfg):
		record := Record{Subject: entry.subject, Leafs: entry.leafs(), FoundBy: r.self}
		toHalt := r.addUnsaved(record)
		r.mu.Unlock()
		haltAll(toHalt)
		r.listener.Quarantined(record)
	default:
		r.mu.Unlock()
		if isOwn {
			r.listener.Suspected(evidence.Subject)
		}
	}
}

// noteLeafNotListening notes that an attempt of a request found a leaf no longer listening, and reports whether this
// indicates that leafs crash for another reason. It does not if the leaf crashed under this request, or if its crash is
// attributed to a request.
func (r *Register) noteLeafNotListening(content fingerprint.Fingerprint, leaf string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.attributed[leaf]; found {
		return false
	}
	entry := r.findSuspect(content)
	if entry == nil {
		return true
	}
	if _, found := entry.episodes[leaf]; found {
		return false
	}
	entry.othersNotListening = true
	return true
}

// DropEvidence drops the evidence against a request that was answered at another node.
func (r *Register) DropEvidence(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropSuspect(content)
}

// isAttributed reports whether a leaf's crash is attributed to another request. r.mu must be held.
func (r *Register) isAttributed(leaf string, content fingerprint.Fingerprint) bool {
	by, found := r.attributed[leaf]
	return found && by != content
}

// findSuspect returns the suspect, or nil if there is none or its evidence has expired (Config.SuspectMemory).
// r.mu must be held.
func (r *Register) findSuspect(content fingerprint.Fingerprint) *suspect {
	entry, found := r.suspects[content]
	if !found {
		return nil
	}
	if r.clock.Since(entry.lastAt) >= r.cfg.SuspectMemory {
		r.dropSuspect(content)
		return nil
	}
	return entry
}

// findOrAddSuspect returns the suspect, and adds it if there is none. r.mu must be held.
func (r *Register) findOrAddSuspect(subject Subject) *suspect {
	if entry := r.findSuspect(subject.Fingerprint); entry != nil {
		return entry
	}
	if len(r.suspects) >= r.cfg.MaxSuspects {
		r.dropOldestSuspect()
	}
	entry := &suspect{subject: subject, episodes: map[string]uint64{}}
	r.suspects[subject.Fingerprint] = entry
	r.suspectCount.Store(int64(len(r.suspects)))
	return entry
}

// dropSuspect drops the evidence against a request. r.mu must be held.
func (r *Register) dropSuspect(content fingerprint.Fingerprint) {
	delete(r.suspects, content)
	r.suspectCount.Store(int64(len(r.suspects)))
}

// dropOldestSuspect drops the suspect whose last crash is the oldest. r.mu must be held.
func (r *Register) dropOldestSuspect() {
	var oldest *suspect
	for _, entry := range r.suspects {
		if oldest == nil || entry.lastAt.Before(oldest.lastAt) {
			oldest = entry
		}
	}
	r.dropSuspect(oldest.subject.Fingerprint)
}
