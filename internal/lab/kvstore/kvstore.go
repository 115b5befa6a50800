// Package kvstore is a small stand-in of the users' metadata store, for tests and the lab.
//
// It keeps what the published protocol promises: linearizable reads and transactions, watches
// that wait, leases, dropped history; and it misbehaves on request: it refuses, is silent, loses
// answers after the change was made, hushes watches, and comes back from a backup.
package kvstore

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"
)

// Item is one key.
type Item struct {
	Key      string `json:"TlsKey"`
	Value    []byte `json:"Value,omitempty"`
	Revision int64  `json:"Revision"`
	Made     int64  `json:"made,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// Faults are what the store does wrong.
type Faults struct {
	// Refuse answers every call with this status, if it is not 0.
	Refuse int
	// Silent answers nothing until the caller gives up.
	Silent bool
	// LoseAnswers makes changes without answering.
	LoseAnswers bool
	// HoldStale answers stale reads by the state at the time when this was set.
	HoldStale bool
	// HushWatches keeps changes from watches, which answer nothing until they are cut.
	HushWatches bool
}

type lease struct {
	ends       time.Time
	timeToLive time.Duration
}

// Store is the stand-in; safe for concurrent use.
type Store struct {
	mutex     sync.Mutex
	revision  int64
	items     map[string]Item
	history   []Item
	compacted int64
	leases    map[int64]lease
	nextLease int64
	changed   chan struct{}
	faults    Faults
	// epoch grows by one with each restore; clients are sent it unless it is 0.
	epoch  int64
	backup backup
	// stale is what stale reads are answered by while they are held back.
	stale staleState
}

// staleState is the state at an earlier revision.
type staleState struct {
	revision int64
	items    map[string]Item
}

// New returns an empty store of an epoch; epoch 0 is not announced to clients.
func New(epoch int64) *Store {
	return &Store{items: map[string]Item{}, leases: map[int64]lease{}, changed: make(chan struct{}), nextLease: 1, epoch: epoch}
}

// SetFaults changes what the store does wrong.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if faults.HoldStale && !s.faults.HoldStale {
		s.stale = staleState{revision: s.revision, items: maps.Clone(s.items)}
	}
	s.faults = faults
}

// Put writes a key as the operator or a leaf would, and gives the revision.
func (s *Store) Put(key string, value any) int64 {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // tests pass only values that can be encoded
	}
	return s.PutBytes(key, content)
}

// PutBytes writes bytes, which need not be JSON, under a key and gives the revision.
func (s *Store) PutBytes(key string, content []byte) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.write(Item{Key: key, Value: content})
	s.wake()
	return s.revision
}

// Remove removes a key and gives the revision.
func (s *Store) Remove(key string) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
	return s.revision
}

// Compact drops the history.
func (s *Store) Compact() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.history, s.compacted = nil, s.revision
	s.wake()
}

// Item gives a key as it is.
func (s *Store) Item(key string) (Item, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[key]
	return item, found
}

// Keys gives the keys that begin with a prefix, in no order.
func (s *Store) Keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (s *Store) write(item Item) {
	item.Revision, item.Made = s.revision, s.revision
	if known, found := s.items[item.Key]; found {
		item.Made = known.Made
	}
	s.items[item.Key] = item
	s.history = append(s.history, item)
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, Item{Key: key, Revision: s.revision, Gone: true})
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// PathPrefix begins the paths of all calls.
const PathPrefix = "/portgauge/"

// Handler serves the store's calls.
func (s *Store) Handler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	router := gin.New()
	group := router.Group(PathPrefix, s.admit)
	group.GET("/kv-key", s.getKey)
	group.GET("/kv-range", s.getRange)
	group.GET("/kv-watch", s.watch)
	group.POST("/kv-txn", s.transact)
	group.POST("/kv-lease", s.grant)
	group.POST("/kv-keep/:id", s.keep)
	group.DELETE("/kv-lease-end/:id", s.endLease)
	return router
}

// admit ends leases that have expired and refuses the call if the faults say so.
func (s *Store) admit(c *gin.Context) {
	if s.isSilent() {
		<-c.Request.Context().Done()
		c.Abort()
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.epoch > 0 {
		c.Header("Store-Era", strconv.FormatInt(s.epoch, 10))
	}
	s.expire(time.Now())
	if s.faults.Refuse != 0 {
		c.AbortWithStatus(s.faults.Refuse)
	}
}

func (s *Store) isSilent() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.faults.Silent
}

func (s *Store) expire(now time.Time) {
	for id, held := range s.leases {
		if now.After(held.ends) {
			s.dropLease(id)
		}
	}
}

func (s *Store) dropLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, item := range s.items {
		if item.Lease == id {
			s.remove(key)
		}
	}
	s.wake()
}

func (s *Store) getKey(c *gin.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	item, found := s.items[c.Query("TlsKey")]
	if !found {
		c.Status(http.StatusNotFound)
		return
	}
	c.JSON(http.StatusOK, item)
}

// pageItems is how many items a page of a range has.
const pageItems = 50

func (s *Store) getRange(c *gin.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	known, at := s.items, s.revision
	if c.Query("stale") == "1" && s.faults.HoldStale {
		known, at = s.stale.items, s.stale.revision
	}
	items := []Item{}
	for key, item := range known {
		if strings.HasPrefix(key, c.Query("PathPrefix")) && key > c.Query("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageItems
	c.JSON(http.StatusOK, gin.H{"items": items[:min(len(items), pageItems)], "more": more, "at": at})
}

func (s *Store) watch(c *gin.Context) {
	after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(c.Query("WaitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(c.Request.Context(), time.Duration(waitMillis)*time.Millisecond)
	defer cancel()
	epoch := s.Epoch()
	for {
		s.mutex.Lock()
		if after < s.compacted || after > s.revision || s.epoch != epoch {
			s.mutex.Unlock()
			c.Status(http.StatusGone)
			return
		}
		events, at, changed, hushed := s.eventsAfter(after, c.Query("PathPrefix")), s.revision, s.changed, s.faults.HushWatches
		s.mutex.Unlock()
		if len(events) > 0 && !hushed {
			c.JSON(http.StatusOK, gin.H{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			c.JSON(http.StatusOK, gin.H{"events": []Item{}, "at": at})
			return
		}
	}
}

func (s *Store) eventsAfter(after int64, prefix string) []Item {
	var events []Item
	for _, item := range s.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

type transaction struct {
	ExpectedRev []Item
	Put         []Item `json:"put"`
	Remove      []string
}

// foreignKeys begin the keys that callers may not write.
var foreignKeys = []string{"op/", "servers/"}

// writesForeign reports whether a transaction writes a key that callers may not write.
func (t transaction) writesForeign() bool {
	written := slices.Clone(t.Remove)
	for _, item := range t.Put {
		written = append(written, item.Key)
	}
	return slices.ContainsFunc(written, func(key string) bool {
		return slices.ContainsFunc(foreignKeys, func(prefix string) bool { return strings.HasPrefix(key, prefix) })
	})
}

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
	for _, item := range asked.Put {
		if _, found := s.leases[item.Lease]; item.Lease != 0 && !found {
			c.Status(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, item := range asked.Put {
		s.write(item)
	}
	for _, key := range asked.Remove {
		s.remove(key)
	}
	s.wake()
	if s.faults.LoseAnswers {
		panic(http.ErrAbortHandler)
	}
	c.JSON(http.StatusOK, gin.H{"Revision": s.revision})
}

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

func (s *Store) grant(c *gin.Context) {
	var asked struct {
		TimeToLive int64 `json:"ttl_ms"`
	}
	if err := c.BindJSON(&asked); err != nil {
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	timeToLive := time.Duration(asked.TimeToLive) * time.Millisecond
	id := s.nextLease
	s.nextLease++
	s.leases[id] = lease{ends: time.Now().Add(timeToLive), timeToLive: timeToLive}
	c.JSON(http.StatusOK, gin.H{"lease": id, "ttl_ms": asked.TimeToLive})
}

func (s *Store) keep(c *gin.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, _ := strconv.ParseInt(c.Param("id"), 10, 64)
	held, found := s.leases[id]
	if !found {
		c.Status(http.StatusNotFound)
		return
	}
	held.ends = time.Now().Add(held.timeToLive)
	s.leases[id] = held
	c.JSON(http.StatusOK, gin.H{"ttl_ms": held.timeToLive.Milliseconds()})
}

func (s *Store) endLease(c *gin.Context) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id, _ := strconv.ParseInt(c.Param("id"), 10, 64)
	if _, found := s.leases[id]; !found {
		c.Status(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	c.Status(http.StatusOK)
}
