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

// Store is a stand-in store that counts the calls that its Handler receives. It is safe for concurrent use.
type Store struct {
	*kvstore.Store

	mu    sync.Mutex
	calls map[string]int
}

// New returns an empty store with the given epoch. Epoch 0 is not sent to clients.
func New(epoch int64) *Store {
	return &Store{Store: kvstore.New(epoch), calls: map[string]int{}}
}

// Handler returns a handler that serves the store's calls and counts them.
func (s *Store) Handler() http.Handler {
	inner := s.Store.Handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[strings.Split(strings.TrimPrefix(r.URL.Path, kvstore.PathPrefix), "/")[0]]++
		s.mu.Unlock()
		inner.ServeHTTP(w, r)
	})
}

// Calls returns the number of received calls with the given name, such as kv-range.
func (s *Store) Calls(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[name]
}

// Revision returns the store's revision. The call isn't counted. It panics if the store refuses calls, and blocks while the
// store is silent.
func (s *Store) Revision() int64 {
	recorder := httptest.NewRecorder()
	s.Store.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, kvstore.PathPrefix+"kv-range?PathPrefix=none", nil))
	var page struct {
		Revision int64 `json:"at"`
	}
	if err := json.Unmarshal(recorder.Body.Bytes(), &page); err != nil {
		panic(err)
	}
	return page.Revision
}
