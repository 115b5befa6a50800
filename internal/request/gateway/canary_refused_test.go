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

// If no leaf of the serving version can be queried, the canary version is queried within the slack. Refused requests
// don't increase its share, even if they are refused only after their attempts were planned.
func TestCanaryShareIsBoundedWithoutServingLeafs(t *testing.T) {
	lost := func(g *canaryGateway) { g.removeLeafs("s0a", "s0b") }
	leaving := func(g *canaryGateway) {
		for _, id := range []string{"s0a", "s0b"} {
			g.balancer.SetLeaving(id, time.Now().Add(time.Hour))
		}
	}
	for name, hideLeafs := range map[string]func(*canaryGateway){"lost": lost, "leaving": leaving} {
		for _, slack := range []float64{0, 20} {
			t.Run(fmt.Sprint(name, slack), func(t *testing.T) {
				cfg := canary.DefaultConfig()
				cfg.Slack = slack
				withCanary(t, cfg, func(is *is.I, g *canaryGateway) {
					time.Sleep(30 * time.Second)
					hideLeafs(g)
					answers := 0
					for range 100 {
						if _, err := g.Serve(g.t.Context(), newRequest("/single/1")); err == nil {
							answers++
						}
					}
					is.Equal(len(g.queried()), answers)
					used := cfg.UsedFraction * slack
					is.True(float64(answers) >= used && float64(answers) <= slack)
				})
			})
		}
	}
}

// Requests whose only serving leafs are unhealthy do not count toward the share of the canary version.
func TestUnhealthyServingLeafsEarnNoCanaryShare(t *testing.T) {
	withCanary(t, canary.DefaultConfig(), func(is *is.I, g *canaryGateway) {
		original := g.leafs.answer
		g.leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf == "s0a" || leaf == "s0b" {
				return time.Millisecond, nil, &leafhttp.ConnectionResetError{Cause: errUnresponsive}
			}
			return original(leaf)
		}
		for range 500 {
			_, _ = g.Serve(g.t.Context(), newRequest("/single/1"))
		}
		canaryRequests := 0
		for _, leaf := range g.queried() {
			if isCanary(leaf) {
				canaryRequests++
			}
		}
		is.True(canaryRequests <= 4) // a tenth of the requests before the leafs were known to be unhealthy
	})
}

// A request that is refused because of its other shards uses none of the slack.
func TestRefusedRequestsUseNoCanarySlack(t *testing.T) {
	cfg := canary.DefaultConfig()
	cfg.Slack = 20
	withCanary(t, cfg, func(is *is.I, g *canaryGateway) {
		time.Sleep(30 * time.Second)
		g.removeLeafs("s0a", "s0b", "s1a", "s1b", "s2a", "s2b", "s3a", "s3b")
		for range 50 {
			_, err := g.Serve(g.t.Context(), newRequest("/pages/1"))
			is.Equal(failure.From(err).Code, failure.Overloaded)
		}
		is.Equal(len(g.queried()), 0)
		for range 16 { // all of the slack is left
			_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
			is.NoErr(err)
		}
	})
}

// Requests that are refused before an attempt do not count toward the share.
func TestRefusedRequestsEarnNoCanaryShare(t *testing.T) {
	half := allToCanary()
	half.Share = 0.5
	withCanary(t, half, func(is *is.I, g *canaryGateway) {
		for _, service := range []string{"s1", "s2", "s3"} {
			g.removeLeafs(service+"a", service+"b")
		}
		for range 101 { // an odd number: if they counted, the next request would go to the canary
			_, err := g.Serve(g.t.Context(), newRequest("/pages/1"))
			is.Equal(failure.From(err).Code, failure.Overloaded)
		}
		_, err := g.Serve(g.t.Context(), newRequest("/single/1"))
		is.NoErr(err)
		is.True(!slices.ContainsFunc(g.queried(), isCanary))
	})
}
