package kvstore

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

type lease struct {
	expiresAt time.Time
	ttl       time.Duration
}

func (s *Store) grant(c *gin.Context) {
	var request struct {
		TimeToLive int64 `json:"ttl_ms"`
	}
	if err := c.BindJSON(&request); err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(request.TimeToLive) * time.Millisecond
	id := s.nextLease
	s.nextLease++
	s.leases[id] = lease{expiresAt: time.Now().Add(ttl), ttl: ttl}
	c.JSON(http.StatusOK, gin.H{"lease": id, "ttl_ms": request.TimeToLive})
}

func (s *Store) keep(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(c.Param("id"), 10, 64)
	current, found := s.leases[id]
	if !found {
		c.Status(http.StatusNotFound)
		return
	}
	current.expiresAt = time.Now().Add(current.ttl)
	s.leases[id] = current
	c.JSON(http.StatusOK, gin.H{"ttl_ms": current.ttl.Milliseconds()})
}

func (s *Store) endLease(c *gin.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id, _ := strconv.ParseInt(c.Param("id"), 10, 64)
	if _, found := s.leases[id]; !found {
		c.Status(http.StatusNotFound)
		return
	}
	s.dropLease(id)
	c.Status(http.StatusOK)
}

func (s *Store) expire(now time.Time) {
	for id, current := range s.leases {
		if now.After(current.expiresAt) {
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
	s.notifyWatches()
}
