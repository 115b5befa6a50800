package gateway

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/leaf/leafhttp"
	"github.com/portgauge/portgauge/internal/rollout/canary"
)

// If no leaf of the serving version can be asked, the canary version is asked within the slack, but gets no share of the
// requests that are refused, also if that is known only when the attempts are planned.
func TestCanaryIsNoLastResort(t *testing.T) {
	lost := func(b *canaryGateway) { b.lose("s0a", "s0b") }
	leaving := func(b *canaryGateway) {
		for _, id := range []string{"s0a", "s0b"} {
			b.balancer.SetLeaving(id, time.Now().Add(time.Hour))
		}
	}
	for name, vanish := range map[string]func(*canaryGateway){"lost": lost, "leaving": leaving} {
		for _, slack := range []float64{0, 20} {
			t.Run(fmt.Sprint(name, slack), func(t *testing.T) {
				cfg := canary.DefaultConfig()
				cfg.Slack = slack
				withCanary(t, cfg, func(is *is.I, b *canaryGateway) {
					time.Sleep(30 * time.Second)
					vanish(b)
					answers := 0
					for range 100 {
						if _, err := b.Serve(b.t.Context(), newRequest("/single/1")); err == nil {
							answers++
						}
					}
					is.Equal(len(b.queried()), answers)
					used := cfg.Used * slack
					is.True(float64(answers) >= used && float64(answers) <= slack)
				})
			})
		}
	}
}

// Requests whose only serving leafs are in trouble don't count for the share of the canary version.
func TestCrashedLeafsEarnNoShare(t *testing.T) {
	withCanary(t, canary.DefaultConfig(), func(is *is.I, b *canaryGateway) {
		works := b.leafs.answer
		b.leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf == "s0a" || leaf == "s0b" {
				return time.Millisecond, nil, &leafhttp.RefusedConnectionError{Cause: errSilent}
			}
			return works(leaf)
		}
		for range 500 {
			_, _ = b.Serve(b.t.Context(), newRequest("/single/1"))
		}
		canaryRequests := 0
		for _, leaf := range b.queried() {
			if isCanary(leaf) {
				canaryRequests++
			}
		}
		is.True(canaryRequests <= 4) // a tenth of the requests before the leafs were known to be in trouble
	})
}

// A request that is refused for its other shards takes nothing from the slack.
func TestRefusedRequestsTakeNoCanaryShare(t *testing.T) {
	cfg := canary.DefaultConfig()
	cfg.Slack = 20
	withCanary(t, cfg, func(is *is.I, b *canaryGateway) {
		time.Sleep(30 * time.Second)
		b.lose("s0a", "s0b", "s1a", "s1b", "s2a", "s2b", "s3a", "s3b")
		for range 50 {
			_, err := b.Serve(b.t.Context(), newRequest("/pages/1"))
			is.Equal(failure.From(err).Code, failure.Overloaded)
		}
		is.Equal(len(b.queried()), 0)
		for range 16 { // all of the slack is left
			_, err := b.Serve(b.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
		}
	})
}

// Requests that are refused before an attempt don't count for the share.
func TestRefusedRequestsAreNotCounted(t *testing.T) {
	half := allToCanary()
	half.Share = 0.5
	withCanary(t, half, func(is *is.I, b *canaryGateway) {
		for _, service := range []string{"s1", "s2", "s3"} {
			b.lose(service+"a", service+"b")
		}
		for range 101 { // an odd number, so that one more would be drawn
			_, err := b.Serve(b.t.Context(), newRequest("/pages/1"))
			is.Equal(failure.From(err).Code, failure.Overloaded)
		}
		_, err := b.Serve(b.t.Context(), newRequest("/single/1"))
		is.NoErr(err)
		is.True(!slices.ContainsFunc(b.queried(), isCanary))
	})
}
