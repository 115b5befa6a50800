package canary

import (
	"fmt"
	"time"
)

// The rates of requests and sizes of versions that each case is played with.
var (
	rates = []float64{1, 5, 40, 500}
	sizes = []int{3, 30}
)

// Good gives the cases of good versions.
func Good() []Case {
	var cases []Case
	for _, mishap := range Mishaps() {
		cases = append(cases, atRates(Case{Name: string(mishap), Mishap: mishap})...)
	}
	return append(cases,
		Case{Name: "none, 2 routes, 40/s, 3 leafs", PerSecond: 40, Leafs: 3, Routes: 2},
		Case{Name: "none, 1 s, 40/s, 3 leafs", PerSecond: 40, Leafs: 3, Duration: time.Second},
		Case{Name: "none, 120 s, 40/s, 3 leafs", PerSecond: 40, Leafs: 3, Duration: 2 * time.Minute})
}

// Bad gives the cases of bad versions.
func Bad() []Case {
	var cases []Case
	for _, part := range []float64{0.05, 0.1, 0.2, 0.4, 1} {
		cases = append(cases, atRates(Case{Name: fmt.Sprintf("fails %g", part), Fault: Fault{Failing: part}})...)
	}
	for _, part := range []float64{0.3, 1} {
		for _, factor := range []float64{1.5, 2, 3, 5, 8} {
			cases = append(cases, atRates(Case{Name: fmt.Sprintf("%g times slower %g", factor, part), Fault: Fault{Slow: factor, SlowShare: part}})...)
		}
	}
	return append(cases, special()...)
}

// special gives faults that show in a part of the order or of the requests only.
func special() []Case {
	var cases []Case
	for _, part := range []float64{0.2, 1} {
		name := fmt.Sprintf("fails %g", part)
		cases = append(cases, atRates(Case{Name: name + " from half on", Fault: Fault{Failing: part, From: 0.5}})...)
		cases = append(cases, atRates(Case{Name: name + " from 0.8 on", Fault: Fault{Failing: part, From: 0.8}})...)
		cases = append(cases, atRates(Case{Name: name + " on 1 of 2 routes", Routes: 2, Fault: Fault{Failing: part, LastRoute: true}})...)
		cases = append(cases, atRates(Case{Name: name + " under load", Fault: Fault{Failing: part, UnderLoad: true}})...)
	}
	slow := Fault{Slow: 4, SlowShare: 0.5}
	half, load, route := slow, slow, slow
	half.From, load.UnderLoad, route.LastRoute = 0.5, true, true
	cases = append(cases, atRates(Case{Name: "4 times slower 0.5 from half on", Fault: half})...)
	cases = append(cases, atRates(Case{Name: "4 times slower 0.5 under load", Fault: load})...)
	return append(cases, atRates(Case{Name: "4 times slower 0.5 on 1 of 2", Routes: 2, Fault: route})...)
}

// atRates gives a case at each rate, with large versions only at the two higher ones.
func atRates(of Case) []Case {
	var cases []Case
	for _, rate := range rates {
		for _, size := range sizes {
			if size != sizes[0] && (rate == rates[0] || rate == rates[1]) {
				continue
			}
			c := of
			c.PerSecond, c.Leafs = rate, size
			c.Name = fmt.Sprintf("%s, %g/s, %d leafs", of.Name, rate, size)
			cases = append(cases, c)
		}
	}
	return cases
}
