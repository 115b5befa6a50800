package search

import (
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// missingReason says why a range is not covered by an answer. Its values are part of the public
// interface.
type missingReason string

// The reasons for a missing range, besides those of the balancer.
const (
	missingDeadline                     = missingReason(scatter.Deadline)
	missingSnapshotGone   missingReason = "SNAPSHOT_GONE"
	missingLeafFailed                   = missingReason(scatter.LeafFailed)
	missingShed                         = missingReason(scatter.Shed)
	missingTruncated      missingReason = "TRUNCATED_BY_LEAF"
	missingAnswerSize     missingReason = "ANSWER_SIZE"
	missingOutcomeUnknown missingReason = "OUTCOME_UNKNOWN"
	missingUnknownLeaf    missingReason = "UNKNOWN_LEAF"
	missingNotRepeated    missingReason = "NOT_REPEATED"
	missingRetryBudget    missingReason = "RETRY_BUDGET"
)

// shardOutcome is the result of the scatter step for one shard range of the plan.
type shardOutcome struct {
	shardRange manifest.ShardRange
	reply      *shardReply
	// reason is set if there is no reply.
	reason missingReason
}

// page is a merged answer.
type page struct {
	rows []*searchv1.Row
	// queried is the part of the query's range that this page covers or misses.
	queried keyspace.Range
	nextKey string
	covered []keyspace.Range
	missing []missingRange
	// queriedWeight and coveredWeight are in the units of the manifest's weights.
	queriedWeight float64
	coveredWeight float64
}

type missingRange struct {
	keys   keyspace.Range
	reason missingReason
}

// merge joins the parts' rows in key order into one page. Parts are in key order and don't
// overlap, so that rows need not be compared and no row can appear twice. The page ends at the
// limit of rows or bytes; what lies beyond is neither covered nor missing.
func merge(queried keyspace.Range, outcomes []shardOutcome, limit, maximumBytes int) page {
	merged := page{queried: queried}
	size := 0
	for _, outcome := range outcomes {
		if outcome.reply == nil {
			merged.miss(outcome.shardRange, outcome.shardRange.Range, outcome.reason)
			continue
		}
		covered := outcome.reply.covered
		for _, row := range outcome.reply.rows {
			size += len(row.GetKey()) + len(row.GetValue())
			if size > maximumBytes && len(merged.rows) > 0 {
				merged.end(outcome.shardRange, keyspace.Range{From: covered.From, To: row.GetKey()}, row.GetKey())
				return merged
			}
			merged.rows = append(merged.rows, &searchv1.Row{Key: row.GetKey(), Value: row.GetValue()})
			if len(merged.rows) == limit {
				next := keyspace.After(row.GetKey())
				merged.end(outcome.shardRange, keyspace.Range{From: covered.From, To: next}, next)
				return merged
			}
		}
		merged.cover(outcome.shardRange, covered)
	}
	return merged
}

// cover adds a part's covered range to the page, and what the leaf left out as missing.
func (p *page) cover(shardRange manifest.ShardRange, covered keyspace.Range) {
	p.queriedWeight += float64(shardRange.Shard.Weight)
	missing := shardRange.Range.Subtract([]keyspace.Range{covered})
	p.covered = append(p.covered, covered)
	if len(missing) == 0 {
		p.coveredWeight += float64(shardRange.Shard.Weight)
	}
	for _, rest := range missing {
		p.missing = append(p.missing, missingRange{keys: rest, reason: missingTruncated})
	}
}

// miss adds a missing range to the page.
func (p *page) miss(shardRange manifest.ShardRange, keys keyspace.Range, reason missingReason) {
	p.queriedWeight += float64(shardRange.Shard.Weight)
	p.missing = append(p.missing, missingRange{keys: keys, reason: reason})
}

// end ends the page inside a part, and shrinks the asked range accordingly.
func (p *page) end(shardRange manifest.ShardRange, covered keyspace.Range, next string) {
	if p.queried.To != "" && next >= p.queried.To {
		p.cover(shardRange, keyspace.Range{From: covered.From, To: shardRange.Range.To})
		return
	}
	p.queriedWeight += float64(shardRange.Shard.Weight)
	p.coveredWeight += float64(shardRange.Shard.Weight)
	p.queried.To = next
	p.nextKey = next
	if !covered.Empty() {
		p.covered = append(p.covered, covered)
	}
}

func (p *page) complete() bool { return len(p.missing) == 0 }

// coverage returns the page's coverage, computed only from what was merged.
func (p *page) coverage() *searchv1.Coverage {
	coverage := &searchv1.Coverage{Complete: p.complete(), Fraction: 1}
	if p.queriedWeight > 0 {
		coverage.Fraction = p.coveredWeight / p.queriedWeight
	}
	for _, missed := range p.missing {
		coverage.Missing = append(coverage.Missing, &searchv1.MissingRange{
			Range:  &searchv1.KeyRange{From: missed.keys.From, To: missed.keys.To},
			Reason: string(missed.reason),
		})
	}
	return coverage
}
