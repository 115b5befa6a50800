package kvstore

import (
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"
)

type lease struct {
	ends       time.Time
	timeToLive time.Duration
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
