package search

import (
	"bytes"
	"strings"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
)

// dropReason is the reason why a leaf's reply is not merged.
type dropReason string

// The reasons for dropping a reply.
const (
	replyAccepted     dropReason = ""
	dropWrongIdentity dropReason = "WRONG_IDENTITY"
	dropForeignRow    dropReason = "FOREIGN_ROW"
	dropUnorderedRows dropReason = "UNORDERED_ROWS"
	dropTooManyRows   dropReason = "TOO_MANY_ROWS"
	dropWrongCoverage dropReason = "WRONG_COVERAGE"
	dropUnmatchedRow  dropReason = "UNMATCHED_ROW"
)

// shardReply is a verified reply: its rows are all matching rows of the covered range.
type shardReply struct {
	covered keyspace.Range
	rows    []*leafv1.Row
}

// verify checks a reply against the request of its attempt. A reply with a different identity, or with a covered range
// or rows that can't answer the request, is dropped as a whole.
func verify(request *leafv1.SearchShardRequest, response *leafv1.SearchShardResponse) (shardReply, dropReason) {
	if !sameIdentity(request.GetIdentity(), response.GetIdentity()) {
		return shardReply{}, dropWrongIdentity
	}
	queried := keyspace.Range{From: request.GetKeyFrom(), To: request.GetKeyTo()}
	covered := keyspace.Range{From: response.GetCoveredFrom(), To: response.GetCoveredTo()}
	if covered.From != queried.From || covered.Empty() || !queried.Covers(covered) {
		return shardReply{}, dropWrongCoverage
	}
	if len(response.GetRows()) > int(request.GetLimit()) {
		return shardReply{}, dropTooManyRows
	}
	if reason := verifyRows(request.GetFilter(), covered, response.GetRows()); reason != replyAccepted {
		return shardReply{}, reason
	}
	return shardReply{covered: covered, rows: response.GetRows()}, replyAccepted
}

func verifyRows(filter string, covered keyspace.Range, rows []*leafv1.Row) dropReason {
	previous := ""
	for index, row := range rows {
		if !covered.Contains(row.GetKey()) {
			return dropForeignRow
		}
		if index > 0 && row.GetKey() <= previous {
			return dropUnorderedRows
		}
		if !Matches(filter, row.GetKey(), row.GetValue()) {
			return dropUnmatchedRow
		}
		previous = row.GetKey()
	}
	return replyAccepted
}

// Matches reports whether a row matches a filter.
func Matches(filter, key string, value []byte) bool {
	return filter == "" || strings.Contains(key, filter) || bytes.Contains(value, []byte(filter))
}

func sameIdentity(queried, echoed *leafv1.AttemptIdentity) bool {
	return echoed != nil &&
		queried.GetNonce() == echoed.GetNonce() &&
		queried.GetAttempt() == echoed.GetAttempt() &&
		queried.GetRequestId() == echoed.GetRequestId() &&
		queried.GetShardId() == echoed.GetShardId() &&
		queried.GetSnapshotId() == echoed.GetSnapshotId()
}
