package peer

import (
	"testing"

	"github.com/matryer/is"
)

// A late answer to a request of an earlier process at the same address is ignored. Guards against a node that takes the
// answer of a node that was frozen, to a probe sent before a restart, for the answer to its own probe.
func TestAnswerToEarlierProcessIsIgnored(t *testing.T) {
	is := is.New(t)
	var earlier, later Pending
	const requests = 8
	var late []uint64
	for range requests {
		number, _ := earlier.Open()
		late = append(late, number)
	}
	var pending []<-chan struct{}
	for range requests {
		_, answered := later.Open()
		pending = append(pending, answered)
	}
	for _, number := range late {
		later.Answer(number)
	}
	for _, answered := range pending {
		select {
		case <-answered:
			t.Error("a late answer was accepted")
		default:
		}
	}
	is.Equal(later.Len(), requests)
}
