package kvstore

import (
	"net/http"
	"slices"
	"strings"

	"github.com/gin-gonic/gin"
)

type transaction struct {
	ExpectedRev []Item
	Put         []Item `json:"put"`
	Remove      []string
}

// foreignKeys are the prefixes of keys that only operators and leafs write.
var foreignKeys = []string{"op/", "servers/"}

// writesForeign reports whether the transaction writes or removes such a key.
func (t transaction) writesForeign() bool {
	written := slices.Clone(t.Remove)
	for _, item := range t.Put {
		written = append(written, item.Key)
	}
	return slices.ContainsFunc(written, func(key string) bool {
		return slices.ContainsFunc(foreignKeys, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	})
}

// transact makes a transaction. A transaction without effect is answered by 403 if it writes a key of others, by 412 with the
// current items if a condition doesn't hold, and by 404 if a lease is over.
func (s *Store) transact(c *gin.Context) {
	var asked transaction
	if err := c.BindJSON(&asked); err != nil {
		return
	}
	if asked.writesForeign() {
		c.Status(http.StatusForbidden)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if current, matches := s.compare(asked.ExpectedRev); !matches {
		c.JSON(http.StatusPreconditionFailed, gin.H{"items": current})
		return
	}
	if !s.hasLeases(asked.Put) {
		c.Status(http.StatusNotFound)
		return
	}
	s.apply(asked)
	if s.faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, gin.H{"Revision": s.revision})
}

// hasLeases reports whether all leases of some items exist. The caller must hold the mutex.
func (s *Store) hasLeases(items []Item) bool {
	for _, item := range items {
		if _, found := s.leases[item.Lease]; item.Lease != 0 && !found {
			return false
		}
	}
	return true
}

// apply makes the writes and removals of a transaction at the next revision. The caller must hold the mutex.
func (s *Store) apply(asked transaction) {
	s.revision++
	for _, item := range asked.Put {
		s.write(item)
	}
	for _, key := range asked.Remove {
		s.remove(key)
	}
	s.wake()
}

// compare reports whether all items have the expected revisions, and returns those that exist. The caller must hold the mutex.
func (s *Store) compare(expected []Item) (current []Item, matches bool) {
	matches = true
	for _, item := range expected {
		known := s.items[item.Key]
		if known.Revision != item.Revision {
			matches = false
		}
		if known.Key != "" {
			current = append(current, known)
		}
	}
	return current, matches
}
