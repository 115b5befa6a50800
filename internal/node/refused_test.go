package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Each key is told of once a minute, however often it is refused, and many keys no more than so many times.
func TestRefusedValuesAreToldOfOnceAMinute(t *testing.T) {
	is := is.New(t)
	var r refusals
	now := time.Now()
	is.True(r.isNews("a", now))
	is.True(!r.isNews("a", now.Add(refusedAgain-1)))
	is.True(r.isNews("b", now.Add(time.Second)))
	is.True(r.isNews("a", now.Add(refusedAgain)))
	later := now.Add(time.Hour)
	told := 0
	for index := range 2 * mostRefused {
		if r.isNews(fmt.Sprint(index), later) {
			told++
		}
	}
	is.Equal(told, mostRefused)
}
