package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each key is logged once a minute, however often it is rejected, and the number of keys is bounded.
func TestRefusedValuesAreToldOfOnceAMinute(t *testing.T) {
	is := is.New(t)
	var r rejectedValues
	now := time.Now()
	is.True(r.isDue("a", now))
	is.True(!r.isDue("a", now.Add(rejectedLogInterval-1)))
	is.True(r.isDue("b", now.Add(time.Second)))
	is.True(r.isDue("a", now.Add(rejectedLogInterval)))
	later := now.Add(time.Hour)
	told := 0
	for index := range 2 * maxRejectedKeys {
		if r.isDue(fmt.Sprint(index), later) {
			told++
		}
	}
	is.Equal(told, maxRejectedKeys)
}
