package rolloutcontrol

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

func drawRow(t *rapid.T) evidence.Row {
	name := rapid.StringN(0, 12, 40)
	counts := rapid.SliceOfN(rapid.Int64Range(0, 1000), 0, 48)
	return evidence.Row{
		Key: evidence.Key{
			Service: name.Draw(t, "service"), SpecID: rapid.Int64Range(0, 1<<50).Draw(t, "spec"), Route: name.Draw(t, "route"),
			Version: name.Draw(t, "version"), Leaf: name.Draw(t, "leaf"), Zone: name.Draw(t, "zone"),
		},
		Tally: evidence.Tally{
			Failures: rapid.Int64Range(0, 1000).Draw(t, "failures"),
			Answered: counts.Draw(t, "answered"), Cancelled: counts.Draw(t, "cancelled"),
		},
	}
}

// Unpacked rows equal the packed ones, and rows that don't fit leave the content unchanged.
func TestPackRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rows := rapid.SliceOfN(rapid.Custom(drawRow), 0, 30).Draw(t, "rows")
		room := packedRoom("node")
		var packed packer
		var sent []evidence.Row
		for _, row := range rows {
			if packed.add(row, room) {
				sent = append(sent, row)
			}
		}
		if len(packed.content) > room {
			t.Fatalf("packed %d bytes, want at most %d", len(packed.content), room)
		}
		got, err := unpack(packed.content)
		if err != nil || len(got) != len(sent) {
			t.Fatalf("unpacked %d of %d rows: %v", len(got), len(sent), err)
		}
		for index, row := range got {
			if row.Key != sent[index].Key || row.Failures != sent[index].Failures || !sameCounts(row.Answered, sent[index].Answered) || !sameCounts(row.Cancelled, sent[index].Cancelled) {
				t.Fatalf("got %v, want %v", row, sent[index])
			}
		}
	})
}

// sameCounts reports whether histograms are equal without their trailing empty buckets.
func sameCounts(a, b evidence.Histogram) bool {
	return slices.Equal(withoutTail(a), withoutTail(b))
}

func withoutTail(counts evidence.Histogram) evidence.Histogram {
	for len(counts) > 0 && counts[len(counts)-1] == 0 {
		counts = counts[:len(counts)-1]
	}
	return counts
}

func FuzzUnpack(f *testing.F) {
	var packed packer
	packed.add(evidence.Row{Key: evidence.Key{Service: "s", Leaf: "l"}, Tally: evidence.Tally{Answered: evidence.Histogram{0, 1}}}, 1000)
	f.Add(packed.content)
	f.Add([]byte{0, 255, 255, 255, 255, 255, 255, 255, 255, 127})
	f.Fuzz(func(t *testing.T, content []byte) {
		rows, err := unpack(content)
		if err != nil && len(rows) > 0 {
			t.Fatal("unpack returned rows of a malformed report")
		}
	})
}

// The sum contains the newest row of each process, whatever the order and repetition of reports.
func TestSumsAreIndependentOfReportOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := specKey{"s", 1}
		type report struct {
			from process
			row  evidence.Row
		}
		var all []report
		want := int64(0)
		for number := range rapid.IntRange(1, 6).Draw(t, "processes") {
			from := process{fmt.Sprint("n", number/2), int64(number % 2)}
			steps := rapid.IntRange(1, 5).Draw(t, "steps")
			var counts evidence.Tally
			for range steps {
				counts.Observe(false, time.Millisecond)
				var sum evidence.Tally
				sum.Add(counts)
				all = append(all, report{from, evidence.Row{Key: evidence.Key{Service: "s", SpecID: 1, Version: "b"}, Tally: sum}})
			}
			want += int64(steps)
		}
		all = append(all, all...)
		var reported tallies
		for _, next := range rapid.Permutation(all).Draw(t, "reports") {
			reported.add(next.from, "address", []evidence.Row{next.row}, time.Now())
		}
		rows, _ := reported.sum(id)
		if len(rows) != 1 || rows[0].Attempts() != want {
			t.Fatalf("got %v, want %d attempts", rows, want)
		}
	})
}

// An evaluator node stores a bounded number of rows, accepts newer counts of stored rows, and has room again after a
// spec has ended.
func TestTalliesAreBounded(t *testing.T) {
	is := is.New(t)
	var reported tallies
	rowOf := func(leaf, attempts int) evidence.Row {
		return evidence.Row{
			Key:   evidence.Key{Service: "s", SpecID: 1, Leaf: fmt.Sprint(leaf)},
			Tally: evidence.Tally{Answered: evidence.Histogram{int64(attempts)}},
		}
	}
	for leaf := range maxRows {
		is.Equal(reported.add(process{"n", 1}, "a", []evidence.Row{rowOf(leaf, 1)}, time.Now()), 0)
	}
	is.Equal(reported.add(process{"n", 1}, "a", []evidence.Row{rowOf(maxRows, 1), rowOf(0, 2)}, time.Now()), 1)
	is.Equal(reported.add(process{"other", 1}, "b", []evidence.Row{rowOf(0, 1)}, time.Now()), 1)
	is.Equal(reported.addresses(specKey{"s", 1}), []string{"a"})
	rows, _ := reported.sum(specKey{"s", 1})
	is.Equal(attemptsOf(rows), int64(maxRows+1))
	reported.retain(func(specKey) bool { return false })
	is.Equal(reported.size, 0)
	is.Equal(len(reported.rollouts), 0)
}

// The evaluator nodes are in distinct zones if possible, and a node that leaves does not change the first evaluator
// node.
func TestEvaluatorNodesAreInDistinctZonesAndStable(t *testing.T) {
	is := is.New(t)
	nodes := map[string]catalog.NodeRecord{}
	for number := range 20 {
		id := fmt.Sprint("n", number)
		nodes[id] = catalog.NodeRecord{ID: id, Zone: fmt.Sprint("z", number%2)}
	}
	first := map[string]bool{}
	for number := range 100 {
		service := fmt.Sprint("s", number)
		evaluatorNodes := evaluatorNodesOf(nodes, service, 3)
		is.Equal(len(evaluatorNodes), 3)
		is.True(evaluatorNodes[0].Zone != evaluatorNodes[1].Zone)
		first[evaluatorNodes[0].ID] = true
		removed := nodes[evaluatorNodes[1].ID]
		delete(nodes, removed.ID)
		is.Equal(evaluatorNodesOf(nodes, service, 3)[0], evaluatorNodes[0])
		nodes[removed.ID] = removed
	}
	is.True(len(first) > 10) // services have different evaluator nodes
	is.Equal(len(evaluatorNodesOf(map[string]catalog.NodeRecord{"n0": {ID: "n0"}}, "s", 3)), 1)
}

func TestValidateNamesEveryInvalidField(t *testing.T) {
	is := is.New(t)
	is.NoErr(DefaultConfig().Validate())
	is.Equal(len(failure.Faults(Config{MaxRetryPause: -1}.Validate())), 13)
}

// countingSender counts the sent rows.
type countingSender struct{ rows int }

func (c *countingSender) Send(_ string, message peer.Message) {
	rows, err := unpack(message.RolloutReports.Rows)
	if err != nil {
		panic(err)
	}
	c.rows += len(rows)
}

// A row that is larger than a datagram does not prevent other rows from being sent.
func TestRowLargerThanDatagramIsDropped(t *testing.T) {
	is := is.New(t)
	counts := &testNode{id: "n", rows: map[evidence.Key]evidence.Tally{}, changed: map[evidence.Key]bool{}}
	long := evidence.Key{Service: strings.Repeat("x", maxNameBytes+1), SpecID: 1}
	counts.observe(long, false)
	counts.observe(evidence.Key{Service: "s", SpecID: 1}, false)
	dropped, sender := 0, countingSender{}
	r := newReporter(Deps{Config: DefaultConfig(), Self: catalog.NodeRecord{ID: "n"}, Counts: counts, Sender: &sender}, nil, func(rows int) { dropped += rows })
	evaluatorNodes := func(string) []catalog.NodeRecord {
		return []catalog.NodeRecord{{ID: "evaluator", Address: "evaluator"}}
	}
	r.step(time.Now(), evaluatorNodes, func(specKey) bool { return true })
	is.Equal(dropped, 1)
	is.Equal(sender.rows, 1)
	is.Equal(len(r.outboxes), 0)
}
