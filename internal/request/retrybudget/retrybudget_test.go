package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
)

// event is a request or a repeat of any node in the fleet.
type event struct {
	at     time.Duration
	repeat bool
}

// For any requests and restarts of the nodes, the repeats of the fleet over any window stay within the ratio of its
// requests plus the allowance.
func TestFleetStaysWithinTheLimitInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56, UsedFraction: 0.85}
		size := rapid.IntRange(1, 12).Draw(t, "nodes")
		start := time.Now()
		elapsed := time.Duration(0)
		weights, sum := rapid.SliceOfN(rapid.IntRange(1, 20), size, size).Draw(t, "parts"), 0
		for _, weight := range weights {
			sum += weight
		}
		newNode := func(index int) *Budgets {
			node := New(cfg, func(string) float64 { return float64(weights[index]) / float64(sum) })
			node.now = func() time.Time { return start.Add(elapsed) }
			node.start = node.now()
			return node
		}
		nodes := make([]*Budgets, size)
		for index := range nodes {
			nodes[index] = newNode(index)
		}
		elapsed = cfg.Window
		var events []event
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			elapsed += time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond
			index := rapid.IntRange(0, size-1).Draw(t, "node")
			if rapid.IntRange(0, 40).Draw(t, "restart") == 0 {
				nodes[index] = newNode(index)
			}
			if rapid.Bool().Draw(t, "request") {
				nodes[index].CountRequest("s")
				events = append(events, event{at: elapsed})
			}
			for range rapid.IntRange(0, 8).Draw(t, "repeats") {
				if nodes[index].Take("s", 0) {
					events = append(events, event{at: elapsed, repeat: true})
				}
			}
		}
		checkWindows(t, cfg, events)
	})
}

// checkWindows compares the repeats in each window with the largest number of requests in that window, the window before
// it and the window half a window earlier.
func checkWindows(t *rapid.T, cfg Config, events []event) {
	count := func(from, to time.Duration, repeat bool) float64 {
		sum := 0.0
		for _, e := range events {
			if e.repeat == repeat && e.at > from && e.at <= to {
				sum++
			}
		}
		return sum
	}
	for _, last := range events {
		from := last.at - cfg.Window
		requests := count(from, last.at, false)
		requests = max(requests, count(from-cfg.Window/2, from+cfg.Window/2, false))
		requests = max(requests, count(from-cfg.Window, from, false))
		if repeats := count(from, last.at, true); repeats > cfg.Ratio*requests+cfg.Allowance {
			t.Fatalf("%v repeats in the window that ends at %v, with %v requests", repeats, last.at, requests)
		}
	}
}

func TestRestartedNodeHasNoAllowanceForOneWindow(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	budgets := New(Config{Ratio: 0.5, Window: 10 * time.Second, Allowance: 100, UsedFraction: 1}, func(string) float64 { return 1 })
	budgets.now = func() time.Time { return now }
	budgets.start = now
	is.True(!budgets.Take("s", 0)) // there are no requests, and no allowance within the first window
	for range 4 {
		budgets.CountRequest("s")
	}
	is.True(budgets.Take("s", 0))
	is.True(budgets.Take("s", 0))
	is.True(!budgets.Take("s", 0)) // the ratio allows half as many repeats as requests
	now = now.Add(11 * time.Second)
	for range 100 {
		is.True(budgets.Take("s", 0))
	}
	is.True(!budgets.Take("s", 0))
	is.Equal(budgets.FreeFraction("s"), 0.0)
}

func TestTakeWithReserveAndUnknownShare(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	share := 0.0
	budgets := New(Config{Ratio: 0, Window: time.Second, Allowance: 8, UsedFraction: 1}, func(string) float64 { return share })
	budgets.now = func() time.Time { return now }
	budgets.start = now.Add(-time.Minute)
	is.True(!budgets.Take("s", 0)) // the node's share is unknown
	share = 0.5
	is.True(budgets.Take("s", 0.5))
	is.True(budgets.Take("s", 0.5))
	is.True(!budgets.Take("s", 0.5)) // the other half is reserved
	is.True(budgets.Take("s", 0))
	budgets.Forget(func(string) bool { return false })
	is.True(len(budgets.services) == 1) // a service with recent repeats is kept
	now = now.Add(time.Minute)
	budgets.Forget(func(string) bool { return false })
	is.Equal(len(budgets.services), 0)
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{Ratio: 2, Allowance: -1}.Validate())), 4)
}
