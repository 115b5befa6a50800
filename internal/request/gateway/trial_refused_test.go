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

// Where no leaf of the serving version can be asked, the version on trial gets the slack and no share of what is
// refused, also where that is known only when the attempts are planned.
func TestTrialIsNoLastResort(t *testing.T) {
	lost := func(b *trialed) { b.lose("s0a", "s0b") }
	leaving := func(b *trialed) {
		for _, id := range []string{"s0a", "s0b"} {
			b.balancer.SetLeaving(id, time.Now().Add(time.Hour))
		}
	}
	for name, vanish := range map[string]func(*trialed){"lost": lost, "leaving": leaving} {
		for _, slack := range []float64{0, 20} {
			t.Run(fmt.Sprint(name, slack), func(t *testing.T) {
				cfg := canary.DefaultConfig()
				cfg.Slack = slack
				inTrial(t, cfg, func(is *is.I, b *trialed) {
					time.Sleep(30 * time.Second)
					vanish(b)
					answers := 0
					for range 100 {
						if _, err := b.Serve(b.t.Context(), ask("/single/1")); err == nil {
							answers++
						}
					}
					is.Equal(len(b.asked()), answers)
					used := cfg.Used * slack
					is.True(float64(answers) >= used && float64(answers) <= slack)
				})
			})
		}
	}
}

// Requests that only leafs in trouble could take earn the version on trial no share: most don't reach the service.
func TestCrashedLeafsEarnNoShare(t *testing.T) {
	inTrial(t, canary.DefaultConfig(), func(is *is.I, b *trialed) {
		works := b.leafs.answer
		b.leafs.answer = func(leaf string) (time.Duration, *leafhttp.Response, error) {
			if leaf == "s0a" || leaf == "s0b" {
				return time.Millisecond, nil, &leafhttp.RefusedConnectionError{Cause: errSilent}
			}
			return works(leaf)
		}
		for range 500 {
			_, _ = b.Serve(b.t.Context(), ask("/single/1"))
		}
		onTrial := 0
		for _, leaf := range b.asked() {
			if isOnTrial(leaf) {
				onTrial++
			}
		}
		is.True(onTrial <= 4) // a tenth of what came before the leafs were found out
	})
}

// A request that is refused for its other shards is not drawn for the version on trial.
func TestRefusedRequestsAreNotDrawn(t *testing.T) {
	cfg := canary.DefaultConfig()
	cfg.Slack = 20
	inTrial(t, cfg, func(is *is.I, b *trialed) {
		time.Sleep(30 * time.Second)
		b.lose("s0a", "s0b", "s1a", "s1b", "s2a", "s2b", "s3a", "s3b")
		for range 50 {
			_, err := b.Serve(b.t.Context(), ask("/pages/1"))
			is.Equal(failure.From(err).Code, failure.Overloaded)
		}
		is.Equal(len(b.asked()), 0)
		for range 16 { // all of the slack is there still
			_, err := b.Serve(b.t.Context(), ask("/single/1"))
			is.NoErr(err)
		}
	})
}

// Requests that are refused before an attempt do not count for the share.
func TestRefusedRequestsAreNotCounted(t *testing.T) {
	half := always()
	half.Share = 0.5
	inTrial(t, half, func(is *is.I, b *trialed) {
		for _, service := range []string{"s1", "s2", "s3"} {
			b.lose(service+"a", service+"b")
		}
		for range 101 { // an odd number, so that one more would be drawn
			_, err := b.Serve(b.t.Context(), ask("/pages/1"))
			is.Equal(failure.From(err).Code, failure.Overloaded)
		}
		_, err := b.Serve(b.t.Context(), ask("/single/1"))
		is.NoErr(err)
		is.True(!slices.ContainsFunc(b.asked(), isOnTrial))
	})
}
