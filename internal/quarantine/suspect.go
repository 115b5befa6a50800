package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Crash is the end of a leaf under a request.
type Crash struct {
	Leaf string `json:"leaf"`
	// Episode is the same for ends that were seen by attempts sent without knowledge of each other.
	Episode uint64 `json:"episode"`
}

// Evidence is what one node has against a request.
type Evidence struct {
	Subject
	Crashes []Crash `json:"ends,omitempty"`
	// InHerd says that leafs were gone besides on which the request was not.
	InHerd bool `json:"in_herd,omitempty"`
}

// suspect is a request under which leafs ended, too few so far.
type suspect struct {
	subject Subject
	// episodes are those of the leafs' ends.
	episodes map[string]uint64 // by leaf
	lastAt   time.Time
	// inHerd says that leafs were gone besides on which the request was not.
	inHerd bool
	// isOwn says that this node saw some of the ends itself, isReported that it told other nodes of it.
	isOwn      bool
	isReported bool
}

// add takes an end in. A leaf ends once.
func (s *suspect) add(end Crash, now time.Time) {
	if _, found := s.episodes[end.Leaf]; !found && len(s.episodes) < mostLeafs {
		s.episodes[end.Leaf] = end.Episode
	}
	s.lastAt = now
}

// explain takes a leaf's end out that another request is known to have brought about.
func (s *suspect) explain(leaf string) { delete(s.episodes, leaf) }

// isEnough reports whether the evidence is.
func (s *suspect) isEnough(cfg Config) bool {
	if len(s.episodes) < cfg.Ends {
		return false
	}
	seen := map[uint64]bool{}
	for _, episode := range s.episodes {
		seen[episode] = true
	}
	if s.inHerd {
		return len(seen) >= cfg.HerdEpisodes
	}
	return len(seen) >= cfg.Episodes
}

// ends gives as much of the evidence as others are told: one end of each episode before the rest.
func (s *suspect) ends() []Crash {
	var first, rest []Crash
	seen := map[uint64]bool{}
	for _, leaf := range slices.Sorted(maps.Keys(s.episodes)) {
		end := Crash{Leaf: leaf, Episode: s.episodes[leaf]}
		if seen[end.Episode] {
			rest = append(rest, end)
			continue
		}
		seen[end.Episode] = true
		first = append(first, end)
	}
	ends := append(first, rest...)
	return ends[:min(len(ends), mostEnds)]
}

// leafs gives as many of the leafs as a record holds.
func (s *suspect) leafs() []string {
	var leafs []string
	size := 0
	for _, leaf := range slices.Sorted(maps.Keys(s.episodes)) {
		if size += len(leaf); size > leafBytes {
			break
		}
		leafs = append(leafs, leaf)
	}
	return leafs
}
