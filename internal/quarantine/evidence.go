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
	// Episode is the same for crashes seen by attempts that were sent without knowledge of each other.
	Episode uint64 `json:"episode"`
}

// Evidence is what one node has seen of a request.
type Evidence struct {
	Subject
	Crashes []Crash `json:"ends,omitempty"`
	// OthersGone says that other leafs, which the request was not at, were found gone.
	OthersGone bool `json:"in_herd,omitempty"`
}

// suspect is a request under which leafs crashed, too few so far.
type suspect struct {
	subject Subject
	// episodes are the episodes of the crashes.
	episodes map[string]uint64 // by leaf
	lastAt   time.Time
	// othersGone says that other leafs, which the request was not at, were found gone.
	othersGone bool
	// isOwn says that this node saw some of the crashes itself, isReported that it reported them to other nodes.
	isOwn      bool
	isReported bool
}

// add adds a crash. A leaf crashes once.
func (s *suspect) add(crash Crash, now time.Time) {
	if _, found := s.episodes[crash.Leaf]; !found && len(s.episodes) < maxLeafs {
		s.episodes[crash.Leaf] = crash.Episode
	}
	s.lastAt = now
}

// removeCrash removes the crash of a leaf that is attributed to another request.
func (s *suspect) removeCrash(leaf string) { delete(s.episodes, leaf) }

// isEnough decides whether the evidence puts the request under quarantine: CrashedLeafs leafs crashed under it, in at least
// Episodes episodes, or EpisodesIfOthersGone if other leafs are gone, too.
//
// Leafs that crash together for another reason make one episode for every request that was at them, so one episode
// proves nothing. A second one means that the request was sent again, knowing of the first, and the leaf crashed
// again. While other leafs go down as well, that may still be a coincidence.
func (s *suspect) isEnough(cfg Config) bool {
	if len(s.episodes) < cfg.CrashedLeafs {
		return false
	}
	seen := map[uint64]bool{}
	for _, episode := range s.episodes {
		seen[episode] = true
	}
	if s.othersGone {
		return len(seen) >= cfg.EpisodesIfOthersGone
	}
	return len(seen) >= cfg.Episodes
}

// reportedCrashes returns the crashes that are reported to others, at most maxReportedCrashes: one of each episode
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

// leafs returns the crashed leafs, as many as fit into a record.
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

// Evidence returns what this node has seen of a request, to report it to others. It returns false if there is
// nothing, for instance because the request was answered meanwhile.
func (r *Register) Evidence(content fingerprint.Fingerprint) (Evidence, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.suspect(content)
	if known == nil || !known.isOwn {
		return Evidence{}, false
	}
	known.isReported = true
	return Evidence{Subject: known.subject, Crashes: known.reportedCrashes(), OthersGone: known.othersGone}, true
}

// addEvidence adds evidence against a request, and puts it under quarantine if that is enough. Crashes attributed to
// another request don't count.
func (r *Register) addEvidence(evidence Evidence, isOwn bool) {
	r.mu.Lock()
	if r.recordOf(evidence.Content) != nil {
		r.mu.Unlock()
		return
	}
	known := r.suspectOf(evidence.Subject)
	for _, crash := range evidence.Crashes {
		if !r.isAttributed(crash.Leaf, evidence.Content) {
			known.add(crash, r.clock.Now())
		}
	}
	known.isOwn = known.isOwn || isOwn
	known.othersGone = known.othersGone || evidence.OthersGone
	switch {
	case len(known.episodes) == 0:
		r.dropSuspect(evidence.Content)
		r.mu.Unlock()
	case known.isEnough(r.cfg):
		record := Record{Subject: known.subject, Leafs: known.leafs(), By: r.self}
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

// noteLeafGone notes that an execution of a request found a leaf gone, and reports whether that is a sign that leafs
// crash together for another reason: it is not if the leaf's crash is attributed to a request, or was one under this
// request.
func (r *Register) noteLeafGone(content fingerprint.Fingerprint, leaf string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, found := r.attributed[leaf]; found {
		return false
	}
	known := r.suspect(content)
	if known == nil {
		return true
	}
	if _, found := known.episodes[leaf]; found {
		return false
	}
	known.othersGone = true
	return true
}

// DropEvidence drops the evidence against a request that was answered at another node.
func (r *Register) DropEvidence(content fingerprint.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropSuspect(content)
}

// isAttributed reports whether a leaf's crash is attributed to another request. The lock must be held.
func (r *Register) isAttributed(leaf string, content fingerprint.Fingerprint) bool {
	by, found := r.attributed[leaf]
	return found && by != content
}

// suspect returns a suspect whose evidence is no older than Config.SuspectMemory, or nil. The lock must be held.
func (r *Register) suspect(content fingerprint.Fingerprint) *suspect {
	known, isKnown := r.suspects[content]
	if !isKnown {
		return nil
	}
	if r.clock.Since(known.lastAt) >= r.cfg.SuspectMemory {
		r.dropSuspect(content)
		return nil
	}
	return known
}

// suspectOf returns the suspect that evidence is added to. The lock must be held.
func (r *Register) suspectOf(subject Subject) *suspect {
	if known := r.suspect(subject.Content); known != nil {
		return known
	}
	if len(r.suspects) >= r.cfg.MaximumSuspects {
		r.dropOldestSuspect()
	}
	known := &suspect{subject: subject, episodes: map[string]uint64{}}
	r.suspects[subject.Content] = known
	r.suspectCount.Store(int64(len(r.suspects)))
	return known
}

func (r *Register) dropSuspect(content fingerprint.Fingerprint) {
	delete(r.suspects, content)
	r.suspectCount.Store(int64(len(r.suspects)))
}

func (r *Register) dropOldestSuspect() {
	var oldest *suspect
	for _, known := range r.suspects {
		if oldest == nil || known.lastAt.Before(oldest.lastAt) {
			oldest = known
		}
	}
	r.dropSuspect(oldest.subject.Content)
}
