package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A key that is rejected often must not flood the log, and the number of stored keys is bounded.
func TestRejectedValueIsLoggedOncePerInterval(t *testing.T) {
	is := is.New(t)
	var r rejectedValues
	now := time.Now()
	is.True(r.isDue("a", now))
	is.True(!r.isDue("a", now.Add(rejectedLogInterval-1)))
	is.True(r.isDue("b", now.Add(time.Second)))
	is.True(r.isDue("a", now.Add(rejectedLogInterval)))
	later := now.Add(time.Hour)
	loggedKeys := 0
	for index := range 2 * maxRejectedKeys {
		if r.isDue(fmt.Sprint(index), later) {
			loggedKeys++
		}
	}
	is.Equal(loggedKeys, maxRejectedKeys)
}
