package search

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	leafv1 "github.com/portgauge/portgauge/gen/portgauge/leaf/v1"
)

func validExchange() (*leafv1.SearchShardRequest, *leafv1.SearchShardResponse) {
	identity := &leafv1.AttemptIdentity{RequestId: "r", SnapshotId: "v1", ShardId: "s", Attempt: 1, Nonce: 7}
	request := &leafv1.SearchShardRequest{Identity: identity, KeyFrom: "b", KeyTo: "m", Filter: "x", Limit: 3}
	response := &leafv1.SearchShardResponse{
		Identity: proto.CloneOf(identity), CoveredFrom: "b", CoveredTo: "m",
		Rows: []*leafv1.Row{{Key: "bx"}, {Key: "c", Value: []byte("x")}},
	}
	return request, response
}

func TestVerifyAcceptsOnlyTheAttemptsOwnReply(t *testing.T) {
	cases := map[string]struct {
		mutate func(*leafv1.SearchShardResponse)
		reason dropReason
	}{
		"valid":            {func(*leafv1.SearchShardResponse) {}, replyAccepted},
		"ends early":       {func(r *leafv1.SearchShardResponse) { r.CoveredTo = "d" }, replyAccepted},
		"no identity":      {func(r *leafv1.SearchShardResponse) { r.Identity = nil }, dropWrongIdentity},
		"other request":    {func(r *leafv1.SearchShardResponse) { r.Identity.RequestId = "q" }, dropWrongIdentity},
		"other snapshot":   {func(r *leafv1.SearchShardResponse) { r.Identity.SnapshotId = "v2" }, dropWrongIdentity},
		"other shard":      {func(r *leafv1.SearchShardResponse) { r.Identity.ShardId = "t" }, dropWrongIdentity},
		"other attempt":    {func(r *leafv1.SearchShardResponse) { r.Identity.Attempt = 2 }, dropWrongIdentity},
		"other nonce":      {func(r *leafv1.SearchShardResponse) { r.Identity.Nonce = 8 }, dropWrongIdentity},
		"starts late":      {func(r *leafv1.SearchShardResponse) { r.CoveredFrom = "c" }, dropWrongCoverage},
		"ends late":        {func(r *leafv1.SearchShardResponse) { r.CoveredTo = "z" }, dropWrongCoverage},
		"no end":           {func(r *leafv1.SearchShardResponse) { r.CoveredTo = "" }, dropWrongCoverage},
		"row before range": {func(r *leafv1.SearchShardResponse) { r.Rows[0].Key = "ax" }, dropForeignRow},
		"row after range":  {func(r *leafv1.SearchShardResponse) { r.Rows[1].Key = "mx" }, dropForeignRow},
		"row twice":        {func(r *leafv1.SearchShardResponse) { r.Rows[1].Key = "bx" }, dropUnorderedRows},
		"row not matching": {func(r *leafv1.SearchShardResponse) { r.Rows[1].Value = nil }, dropUnmatchedRow},
		"beyond the limit": {func(r *leafv1.SearchShardResponse) { r.Rows = append(r.Rows, r.Rows...) }, dropTooManyRows},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request, response := validExchange()
			test.mutate(response)
			_, reason := verify(request, response)
			is.Equal(reason, test.reason)
		})
	}
}
