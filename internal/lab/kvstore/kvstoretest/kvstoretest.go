// Package kvstoretest wraps the stand-in store of package kvstore for tests that count its calls or read its revision.
package kvstoretest

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"github.com/portgauge/portgauge/internal/lab/kvstore"
)

// Store is a stand-in store that counts the calls that its Handler receives; safe for concurrent use.
type Store struct {
	*kvstore.Store

	mutex sync.Mutex
	calls map[string]int
}

// New returns an empty store of an epoch; epoch 0 is not announced to clients.
func New(epoch int64) *Store {
	return &Store{Store: kvstore.New(epoch), calls: map[string]int{}}
}

// Handler serves the store's calls and counts them.
func (s *Store) Handler() http.Handler {
	served := s.Store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mutex.Lock()
		s.calls[strings.Split(strings.TrimPrefix(r.URL.Path, kvstore.PathPrefix), "/")[0]]++
		s.mutex.Unlock()
		served.ServeHTTP(w, r)
	})
}

// Calls returns how many calls of a name, such as kv-range, were received.
func (s *Store) Calls(name string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls[name]
}

// Revision returns the store's revision. It panics if the store refuses calls.
func (s *Store) Revision() int64 {
	answer := httptest.NewRecorder()
	s.Store.Handler().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, kvstore.PathPrefix+"kv-range?PathPrefix=none", nil))
	var page struct {
		Revision int64 `json:"at"`
	}
	if err := json.Unmarshal(answer.Body.Bytes(), &page); err != nil {
		panic(err)
	}
	return page.Revision
}
