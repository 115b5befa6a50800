package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/failure"
)

// event is one request or repeat anywhere in the fleet.
type event struct {
	at     time.Duration
	repeat bool
}

// While nodes join, restart and leave, and whatever they are asked for, the repeats of the fleet over any
// window stay below the ratio of its requests plus the allowance.
func TestTheFleetKeepsTheBoundOverEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Ratio: 0.2, Window: 10 * time.Second, Allowance: 56, Share: 0.85}
		size := rapid.IntRange(1, 12).Draw(t, "nodes")
		start := time.Now()
		elapsed := time.Duration(0)
		weights, sum := rapid.SliceOfN(rapid.IntRange(1, 20), size, size).Draw(t, "parts"), 0
		for _, weight := range weights {
			sum += weight
		}
		newNode := func(index int) *Budgets {
			node := New(config, func(string) float64 { return float64(weights[index]) / float64(sum) })
			node.now = func() time.Time { return start.Add(elapsed) }
			node.start = node.now()
			return node
		}
		nodes := make([]*Budgets, size)
		for index := range nodes {
			nodes[index] = newNode(index)
		}
		elapsed = config.Window
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
		checkWindows(t, config, events)
	})
}

// checkWindows compares the repeats of each window with the largest number of requests in that
// window, the one before it and the one half a window before it.
func checkWindows(t *rapid.T, config Config, events []event) {
	count := func(from, to time.Duration, repeat bool) float64 {
		sum := 0.0
		for _, one := range events {
			if one.repeat == repeat && one.at > from && one.at <= to {
				sum++
			}
		}
		return sum
	}
	for _, last := range events {
		from := last.at - config.Window
		requests := count(from, last.at, false)
		requests = max(requests, count(from-config.Window/2, from+config.Window/2, false))
		requests = max(requests, count(from-config.Window, from, false))
		if repeats := count(from, last.at, true); repeats > config.Ratio*requests+config.Allowance {
			t.Fatalf("%v repeats in the window until %v, %v requests", repeats, last.at, requests)
		}
	}
}

func TestANodeThatStartedLeavesTheAllowanceAlone(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	budgets := New(Config{Ratio: 0.5, Window: 10 * time.Second, Allowance: 100, Share: 1}, func(string) float64 { return 1 })
	budgets.now = func() time.Time { return now }
	budgets.start = now
	is.True(!budgets.Take("s", 0)) // no request yet, no allowance yet
	for range 4 {
		budgets.CountRequest("s")
	}
	is.True(budgets.Take("s", 0))
	is.True(budgets.Take("s", 0))
	is.True(!budgets.Take("s", 0)) // half of four
	now = now.Add(11 * time.Second)
	for range 100 {
		is.True(budgets.Take("s", 0))
	}
	is.True(!budgets.Take("s", 0))
	is.Equal(budgets.FreeShare("s"), 0.0)
}

func TestReserveAndUnknownFleet(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	share := 0.0
	budgets := New(Config{Ratio: 0, Window: time.Second, Allowance: 8, Share: 1}, func(string) float64 { return share })
	budgets.now = func() time.Time { return now }
	budgets.start = now.Add(-time.Minute)
	is.True(!budgets.Take("s", 0)) // its share is unknown
	share = 0.5
	is.True(budgets.Take("s", 0.5))
	is.True(budgets.Take("s", 0.5))
	is.True(!budgets.Take("s", 0.5)) // the other half is reserved
	is.True(budgets.Take("s", 0))
	budgets.Forget(func(string) bool { return false })
	is.True(len(budgets.services) == 1) // it had repeats lately
	now = now.Add(time.Minute)
	budgets.Forget(func(string) bool { return false })
	is.Equal(len(budgets.services), 0)
}

func TestConfigNamesEveryFault(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{Ratio: 2, Allowance: -1}.Validate())), 4)
}
