package search

import (
	"fmt"
	"sort"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/config/manifest"
)

// For any partition, missing or truncated replies and limit, each key of the page's range is either in exactly one row
// or in exactly one missing range.
func TestMergeAccountsForEveryKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		keys := rapid.SliceOfNDistinct(rapid.StringMatching("[a-h]{1,3}"), 0, 30, rapid.ID[string]).Draw(t, "keys")
		sort.Strings(keys)
		limit := rapid.IntRange(1, 40).Draw(t, "limit")
		outcomes := drawOutcomes(t, keys, limit)
		merged := merge(keyspace.Range{}, outcomes, limit, 1<<20)
		counts := map[string]int{}
		for index, row := range merged.rows {
			if index > 0 && merged.rows[index-1].GetKey() >= row.GetKey() {
				t.Fatalf("rows out of order at %q", row.GetKey())
			}
			counts[row.GetKey()]++
		}
		for _, key := range keys {
			if !merged.keys.Contains(key) {
				continue
			}
			missing := 0
			for _, missed := range merged.missing {
				if missed.keys.Contains(key) {
					missing++
				}
			}
			if counts[key]+missing != 1 {
				t.Fatalf("key %q: %d rows, %d missing ranges", key, counts[key], missing)
			}
		}
		if (merged.coverage().GetFraction() == 1) != merged.complete() {
			t.Fatalf("fraction %v, complete %v", merged.coverage().GetFraction(), merged.complete())
		}
		if len(merged.rows) > limit {
			t.Fatalf("%d rows, limit %d", len(merged.rows), limit)
		}
	})
}

func drawOutcomes(t *rapid.T, keys []string, limit int) []shardOutcome {
	boundaries := rapid.SliceOfNDistinct(rapid.StringMatching("[a-h]{1,2}"), 0, 6, rapid.ID[string]).Draw(t, "boundaries")
	sort.Strings(boundaries)
	var outcomes []shardOutcome
	from := ""
	for number, to := range append(boundaries, "") {
		shardRange := manifest.ShardRange{
			Shard: &manifest.Shard{ID: fmt.Sprint(number), Weight: uint64(rapid.IntRange(1, 9).Draw(t, "weight"))},
			Range: keyspace.Range{From: from, To: to},
		}
		from = to
		outcome := shardOutcome{shardRange: shardRange, reason: missingDeadline}
		if rapid.Bool().Draw(t, "answered") {
			outcome.reply = drawReply(t, shardRange.Range, keys, limit)
		}
		outcomes = append(outcomes, outcome)
	}
	return outcomes
}

// drawReply returns a leaf's reply for a shard range: up to the limit, or truncated.
func drawReply(t *rapid.T, keys keyspace.Range, all []string, limit int) *shardReply {
	reply := &shardReply{covered: keys}
	most := min(limit, rapid.IntRange(1, 40).Draw(t, "most"))
	for _, key := range all {
		if !keys.Contains(key) {
			continue
		}
		reply.rows = append(reply.rows, &leafv1.Row{Key: key})
		if len(reply.rows) == most {
			reply.covered.To = keyspace.After(key)
			break
		}
	}
	return reply
}

func TestMergeStopsAtAnswerSize(t *testing.T) {
	is := is.New(t)
	shardRange := manifest.ShardRange{Shard: &manifest.Shard{ID: "s", Weight: 1}}
	reply := &shardReply{rows: []*leafv1.Row{{Key: "a", Value: make([]byte, 60)}, {Key: "b", Value: make([]byte, 60)}}}
	merged := merge(keyspace.Range{}, []shardOutcome{{shardRange: shardRange, reply: reply}}, 10, 100)
	is.Equal(len(merged.rows), 1)
	is.Equal(merged.nextKey, "b")
	is.True(merged.complete())
}
