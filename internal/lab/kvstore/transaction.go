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

// reservedPrefixes are the prefixes of keys that only operators and leafs may write.
var reservedPrefixes = []string{"op/", "servers/"}

// writesReserved reports whether the transaction writes or removes a key with a reserved prefix.
func (t transaction) writesReserved() bool {
	written := slices.Clone(t.Remove)
	for _, item := range t.Put {
		written = append(written, item.Key)
	}
	return slices.ContainsFunc(written, func(key string) bool {
		return slices.ContainsFunc(reservedPrefixes, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	})
}

// transact applies a transaction. It applies nothing and answers 403 if the transaction writes a reserved key, 412 with the
// current items if a condition doesn't hold, and 404 if a lease doesn't exist.
func (s *Store) transact(c *gin.Context) {
	var request transaction
	if err := c.BindJSON(&request); err != nil {
		return
	}
	if request.writesReserved() {
		c.Status(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, matches := s.compare(request.ExpectedRev); !matches {
		c.JSON(http.StatusPreconditionFailed, gin.H{"items": current})
		return
	}
	if !s.hasLeases(request.Put) {
		c.Status(http.StatusNotFound)
		return
	}
	s.apply(request)
	if s.faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, gin.H{"Revision": s.revision})
}

// hasLeases reports whether the leases of all items exist. s.mu must be held.
func (s *Store) hasLeases(items []Item) bool {
	for _, item := range items {
		if _, found := s.leases[item.Lease]; item.Lease != 0 && !found {
			return false
		}
	}
	return true
}

// apply applies the writes and removals of a transaction at the next revision. s.mu must be held.
func (s *Store) apply(request transaction) {
	s.revision++
	for _, item := range request.Put {
		s.write(item)
	}
	for _, key := range request.Remove {
		s.remove(key)
	}
	s.notifyWatches()
}

// compare reports whether all items have the expected revisions, and returns the items that exist. s.mu must be held.
func (s *Store) compare(expected []Item) (current []Item, matches bool) {
	matches = true
	for _, item := range expected {
		stored := s.items[item.Key]
		if stored.Revision != item.Revision {
			matches = false
		}
		if stored.Key != "" {
			current = append(current, stored)
		}
	}
	return current, matches
}
