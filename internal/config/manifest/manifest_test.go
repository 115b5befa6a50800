package manifest

import (
	"fmt"
	"sort"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/keyspace"
	"github.com/portgauge/portgauge/internal/failure"
)

func manifestOf(boundaries []string) *adminv1.SnapshotManifest {
	message := &adminv1.SnapshotManifest{Service: "service", SnapshotId: "v1"}
	from := ""
	for number, to := range append(boundaries, "") {
		message.Shards = append(message.Shards, &adminv1.Shard{
			Id: fmt.Sprintf("s%d", number), KeyFrom: from, KeyTo: to, LeafIds: []string{"leaf"},
		})
		from = to
	}
	return message
}

func drawBoundaries(t *rapid.T) []string {
	boundaries := rapid.SliceOfNDistinct(rapid.StringMatching("[a-z]{1,4}"), 0, 12, rapid.ID[string]).Draw(t, "boundaries")
	sort.Strings(boundaries)
	return boundaries
}

// Every key of a queried range is in exactly one shard range of the plan.
func TestPlanTilesQueriedRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		compiled, err := New(manifestOf(drawBoundaries(t)))
		if err != nil {
			t.Fatal(err)
		}
		queried := keyspace.Range{From: rapid.StringMatching("[a-z]{0,4}").Draw(t, "from"), To: rapid.StringMatching("[a-z]{0,4}").Draw(t, "to")}
		key := rapid.StringMatching("[a-z]{0,5}").Draw(t, "key")
		times := 0
		for _, shardRange := range compiled.Plan(queried) {
			if shardRange.Range.Contains(key) {
				times++
			}
		}
		expected := 0
		if queried.Contains(key) {
			expected = 1
		}
		if times != expected {
			t.Fatalf("key %q is in %d shard ranges", key, times)
		}
	})
}

// Moving one boundary of a valid manifest causes a gap or an overlap, which is rejected.
func TestMovedBoundaryIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		message := manifestOf(drawBoundaries(t))
		shard := message.Shards[rapid.IntRange(0, len(message.Shards)-1).Draw(t, "shard")]
		moved := rapid.StringMatching("[a-z]{1,5}").Draw(t, "moved")
		if moved == shard.GetKeyFrom() {
			return
		}
		shard.KeyFrom = moved
		_, err := New(message)
		if !failure.Is(err, failure.InvalidField) {
			t.Fatalf("the manifest was not rejected: %v", err)
		}
	})
}

func TestInvalidManifestsAreRejected(t *testing.T) {
	cases := map[string]struct {
		change func(*adminv1.SnapshotManifest)
		field  string
	}{
		"no service":  {func(m *adminv1.SnapshotManifest) { m.Service = "" }, "manifest.service"},
		"no id":       {func(m *adminv1.SnapshotManifest) { m.SnapshotId = "" }, "manifest.snapshot_id"},
		"no shards":   {func(m *adminv1.SnapshotManifest) { m.Shards = nil }, "manifest.shards"},
		"no replica":  {func(m *adminv1.SnapshotManifest) { m.Shards[1].LeafIds = nil }, "manifest.shards[1].leaf_ids"},
		"twice":       {func(m *adminv1.SnapshotManifest) { m.Shards[1].Id = "s0" }, "manifest.shards[1].id"},
		"same leaf":   {func(m *adminv1.SnapshotManifest) { m.Shards[0].LeafIds = []string{"a", "a"} }, "manifest.shards[0].leaf_ids[1]"},
		"empty range": {func(m *adminv1.SnapshotManifest) { m.Shards[1].KeyTo = "a" }, "manifest.shards[1].key_to"},
		"open middle": {func(m *adminv1.SnapshotManifest) { m.Shards[0].KeyTo = "" }, "manifest.shards"},
		"no end":      {func(m *adminv1.SnapshotManifest) { m.Shards[2].KeyTo = "z" }, "manifest.shards"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			message := manifestOf([]string{"g", "p"})
			test.change(message)
			_, err := New(message)
			is.True(failure.Is(err, failure.InvalidField))
			is.Equal(failure.From(err).Field, test.field)
		})
	}
}

func TestUnknownLeafIsRejected(t *testing.T) {
	is := is.New(t)
	compiled, err := New(manifestOf(nil))
	is.NoErr(err)
	is.NoErr(compiled.CheckLeafs(map[string]bool{"leaf": true}))
	is.True(failure.Is(compiled.CheckLeafs(map[string]bool{}), failure.InvalidField))
}
