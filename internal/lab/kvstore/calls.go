package kvstore

import (
	"context"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
)

// PathPrefix is the prefix of the paths of all calls.
const PathPrefix = "/portgauge/"

// Handler returns a handler that serves the store's calls.
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

// admit ends expired leases, sends the epoch, and applies the faults Refuse and Silent.
func (s *Store) admit(c *gin.Context) {
	if s.isSilent() {
		<-c.Request.Context().Done()
		c.Abort()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch > 0 {
		c.Header("Store-Era", strconv.FormatInt(s.epoch, 10))
	}
	s.expire(time.Now())
	if s.faults.Refuse != 0 {
		c.AbortWithStatus(s.faults.Refuse)
	}
}

func (s *Store) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Silent
}

func (s *Store) getKey(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	item, found := s.items[c.Query("TlsKey")]
	if !found {
		c.Status(http.StatusNotFound)
		return
	}
	c.JSON(http.StatusOK, item)
}

// pageSize is the maximum number of items in a page of a range.
const pageSize = 50

func (s *Store) getRange(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible, at := s.items, s.revision
	if c.Query("stale") == "1" && s.faults.HoldStale {
		visible, at = s.stale.items, s.stale.revision
	}
	items := []Item{}
	for key, item := range visible {
		if strings.HasPrefix(key, c.Query("PathPrefix")) && key > c.Query("after") {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > pageSize
	c.JSON(http.StatusOK, gin.H{"items": items[:min(len(items), pageSize)], "more": more, "at": at})
}

func (s *Store) watch(c *gin.Context) {
	after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
	waitMillis, _ := strconv.ParseInt(c.Query("WaitMs"), 10, 64)
	ctx, cancel := context.WithTimeout(c.Request.Context(), time.Duration(waitMillis)*time.Millisecond)
	defer cancel()
	epoch := s.Epoch()
	for {
		s.mu.Lock()
		if after < s.compacted || after > s.revision || s.epoch != epoch {
			s.mu.Unlock()
			c.Status(http.StatusGone)
			return
		}
		events, at, changed, isSilent := s.eventsAfter(after, c.Query("PathPrefix")), s.revision, s.changed, s.faults.SilentWatches
		s.mu.Unlock()
		if len(events) > 0 && !isSilent {
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
