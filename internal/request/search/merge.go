package search

import (
	searchv1 "github.com/portgauge/portgauge/gen/portgauge/search/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/config/manifest"
	"github.com/portgauge/portgauge/internal/request/scatter"
)

// missingReason is the reason why an answer doesn't cover a range. Its values are part of the public API.
type missingReason string

// The reasons for a missing range, in addition to the balancer's. OUTCOME_UNKNOWN, UNKNOWN_LEAF and RETRY_BUDGET are
// part of the API, but this version doesn't set them.
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

// shardOutcome is the result of the scatter for one shard range of the plan.
type shardOutcome struct {
	shardRange manifest.ShardRange
	reply      *shardReply
	// reason is set if there is no reply.
	reason missingReason
}

// page is a merged answer.
type page struct {
	rows []*searchv1.Row
	// keys is the range of the search that this page accounts for, as covered or missing.
	keys    keyspace.Range
	nextKey string
	covered []keyspace.Range
	missing []missingRange
	// queriedWeight and coveredWeight are sums of the manifest's shard weights.
	queriedWeight float64
	coveredWeight float64
}

type missingRange struct {
	keys   keyspace.Range
	reason missingReason
}

// merge concatenates the rows of all shard ranges into one page. The outcomes are in key order and don't overlap, so
// rows need not be compared and no row can appear twice. The page ends at the limit of rows or bytes; keys beyond it
// are neither covered nor missing.
func merge(keys keyspace.Range, outcomes []shardOutcome, limit, maximumBytes int) page {
	merged := page{keys: keys}
	size := 0
	for _, outcome := range outcomes {
		if outcome.reply == nil {
			merged.addMissing(outcome.shardRange, outcome.shardRange.Range, outcome.reason)
			continue
		}
		covered := outcome.reply.covered
		for _, row := range outcome.reply.rows {
			size += len(row.GetKey()) + len(row.GetValue())
			if size > maximumBytes && len(merged.rows) > 0 {
				merged.endWithin(outcome.shardRange, keyspace.Range{From: covered.From, To: row.GetKey()}, row.GetKey())
				return merged
			}
			merged.rows = append(merged.rows, &searchv1.Row{Key: row.GetKey(), Value: row.GetValue()})
			if len(merged.rows) == limit {
				next := keyspace.After(row.GetKey())
				merged.endWithin(outcome.shardRange, keyspace.Range{From: covered.From, To: next}, next)
				return merged
			}
		}
		merged.addCovered(outcome.shardRange, covered)
	}
	return merged
}

// addCovered adds the covered range of a reply to the page, and the rest of the shard range as missing.
func (p *page) addCovered(shardRange manifest.ShardRange, covered keyspace.Range) {
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

// addMissing adds a shard range without a reply to the page.
func (p *page) addMissing(shardRange manifest.ShardRange, keys keyspace.Range, reason missingReason) {
	p.queriedWeight += float64(shardRange.Shard.Weight)
	p.missing = append(p.missing, missingRange{keys: keys, reason: reason})
}

// endWithin ends the page within a shard range, and shortens the page's key range accordingly.
func (p *page) endWithin(shardRange manifest.ShardRange, covered keyspace.Range, next string) {
	if p.keys.To != "" && next >= p.keys.To {
		p.addCovered(shardRange, keyspace.Range{From: covered.From, To: shardRange.Range.To})
		return
	}
	p.queriedWeight += float64(shardRange.Shard.Weight)
	p.coveredWeight += float64(shardRange.Shard.Weight)
	p.keys.To = next
	p.nextKey = next
	if !covered.Empty() {
		p.covered = append(p.covered, covered)
	}
}

func (p *page) complete() bool { return len(p.missing) == 0 }

// coverage returns the coverage of the page, computed only from the merged outcomes.
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
