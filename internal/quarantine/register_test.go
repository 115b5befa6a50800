package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// fleet is a register with its announcements, a store, and a clock that is set.
type fleet struct {
	*Register
	at          time.Time
	store       map[fingerprint.Fingerprint]*Record
	suspected   []Subject
	acquitted   []Subject
	quarantined []Record
	due         []Record
	survived    []Record
}

func newFleet() *fleet {
	f := &fleet{at: time.Unix(1000, 0), store: map[fingerprint.Fingerprint]*Record{}}
	f.Register = NewRegister(Deps{
		Config: DefaultConfig(), Clock: func() time.Time { return f.at }, Self: "n1",
		StoredRecord: func(content fingerprint.Fingerprint) *Record { return f.store[content] },
	})
	f.SetListener(f)
	return f
}

func (f *fleet) Suspected(subject Subject)       { f.suspected = append(f.suspected, subject) }
func (f *fleet) EvidenceDropped(subject Subject) { f.acquitted = append(f.acquitted, subject) }
func (f *fleet) Quarantined(record Record)       { f.quarantined = append(f.quarantined, record) }
func (f *fleet) RetestDue(record Record)         { f.due = append(f.due, record) }
func (f *fleet) RetestAnswered(record Record)    { f.survived = append(f.survived, record) }

// save puts a record into the store.
func (f *fleet) save(record Record, revision int64) {
	record.Revision = revision
	f.store[record.Content] = &record
	f.ConfirmStored(record)
}

func subject(name string) Subject {
	return NewSubject(fingerprint.Of(fingerprint.Content{Method: "GET", Host: "h", Path: "/" + name}), "/"+name, "192.0.2.1")
}

func leafs(prefix string, count int) []string {
	names := make([]string, count)
	for index := range names {
		names[index] = fmt.Sprint(prefix, index)
	}
	return names
}

// crashAll makes leafs crash under attempts of an execution that were sent together.
func crashAll(execution *Execution, number int, names ...string) {
	for _, name := range names {
		execution.LeafCrashed(name, number)
	}
}

// One attempt is sent to every shard, and one more that knows their outcome.
func TestEndsInTwoEpisodesPutARequestUnderQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	stopped := 0
	execution := f.Begin(subject("a"), func() { stopped++ })
	is.Equal(execution.State(), Clear)
	crashAll(execution, 0, leafs("leaf-", 20)...)
	is.Equal(len(f.quarantined), 0)
	is.Equal(f.State(subject("a").Content), Suspect)
	execution.LeafCrashed("probed", 1)
	is.Equal(len(f.quarantined), 1)
	is.Equal(f.quarantined[0].By, "n1")
	is.Equal(stopped, 1)
	is.True(execution.IsStopped())
	is.Equal(f.Begin(subject("a"), func() {}).State(), Quarantined)
	is.Equal(f.Begin(subject("b"), func() {}).State(), Clear)
	is.True(f.RetryAfter(subject("a").Content) > 0)
}

// A request that was at leafs which crashed together is not put under quarantine, also if it is tried again at others
// that are gone.
func TestAHerdOfCrashesIsOneEpisode(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	execution := f.Begin(subject("a"), func() { t.Error("stopped") })
	crashAll(execution, 0, leafs("leaf-", 40)...)
	is.Equal(len(f.quarantined), 0)
	execution.Answered()
	is.Equal(f.State(subject("a").Content), Clear)
	crashAll(execution, 1, leafs("later-", 40)...) // after an answer of any leaf nothing counts
	is.Equal(f.State(subject("a").Content), Clear)
}

// Requests that must run at most once are never sent again by a node: executions at three nodes make up the evidence.
func TestEvidenceOfManyNodes(t *testing.T) {
	is := is.New(t)
	aggregator := newFleet()
	for index, name := range leafs("leaf-", 3) {
		other := newFleet()
		other.Begin(subject("a"), func() {}).LeafCrashed(name, 0)
		is.Equal(len(other.suspected), 1)
		reported, found := other.Evidence(subject("a").Content)
		is.True(found)
		aggregator.AddEvidence(reported)
		aggregator.AddEvidence(reported) // a repeated report changes nothing
		is.Equal(len(aggregator.quarantined), index/2)
	}
	is.Equal(len(aggregator.suspected), 0) // evidence of others is not reported again
}

// If leafs are gone that the request was not at, leafs may be crashing for another reason: more episodes are needed.
func TestMoreEpisodesAreWantedInAHerd(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	execution := f.Begin(subject("a"), func() {})
	crashAll(execution, 0, leafs("leaf-", 20)...)
	execution.LeafGone("leaf-3") // it crashed under the request
	is.Equal(f.State(subject("a").Content), Suspect)
	execution.LeafGone("another")
	for probe := range DefaultConfig().EpisodesIfOthersGone - 1 {
		is.Equal(len(f.quarantined), 0)
		execution.LeafCrashed(fmt.Sprint("probed-", probe), 1+probe)
	}
	is.Equal(len(f.quarantined), 1)
	next := f.Begin(subject("b"), func() {})
	next.LeafGone("leaf-0") // by the other one's doing
	crashAll(next, 0, "x", "y")
	next.LeafCrashed("z", 1)
	is.Equal(len(f.quarantined), 2)
}

// Crashes attributed to one request don't count against others that were at the same leafs.
func TestNeighboursAreExplainedAway(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	neighbour := f.Begin(subject("neighbour"), func() {})
	neighbour.LeafCrashed("leaf-0", 0)
	neighbour.LeafCrashed("leaf-1", 1)
	culprit := f.Begin(subject("culprit"), func() {})
	culprit.LeafCrashed("leaf-0", 0)
	culprit.LeafCrashed("leaf-1", 1)
	culprit.LeafCrashed("leaf-2", 2)
	is.Equal(len(f.quarantined), 1)
	is.Equal(f.State(subject("neighbour").Content), Clear)
	neighbour.LeafCrashed("leaf-2", 2) // reported late
	is.Equal(f.State(subject("neighbour").Content), Clear)
}

func TestEvidenceLapses(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-0", 0)
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-1", 0)
	f.at = f.at.Add(DefaultConfig().SuspectMemory)
	is.Equal(f.State(subject("a").Content), Clear)
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-2", 0)
	is.Equal(len(f.quarantined), 0)
}

// A suspect that is answered at this node is cleared here and at the nodes it was reported to.
func TestAnAnswerAcquitsEverywhere(t *testing.T) {
	is := is.New(t)
	f, aggregator := newFleet(), newFleet()
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-0", 0)
	reported, _ := f.Evidence(subject("a").Content)
	aggregator.AddEvidence(reported)
	is.Equal(aggregator.State(subject("a").Content), Suspect)
	f.Begin(subject("a"), func() {}).Answered()
	is.Equal(len(f.acquitted), 1)
	aggregator.DropEvidence(f.acquitted[0].Content)
	is.Equal(aggregator.State(subject("a").Content), Clear)
}

// quarantine puts a request under quarantine by a record in the store.
func (f *fleet) quarantine(name string, revision int64, retests int) {
	f.save(Record{Subject: subject(name), Leafs: []string{"x", "y", "z"}, Retests: retests, By: "n1"}, revision)
}

// A request that arrives again after RetestAfter is still refused, and a retest is requested. With a permit of the store
// one execution may go to one leaf. If that crashes, the next delay is longer; after the last retest only an operator
// lifts the quarantine.
func TestRetestsAreFewAndPermitted(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.quarantine("a", 7, 0)
	come := func() *Execution { return f.Begin(subject("a"), func() {}) }
	is.Equal(come().State(), Quarantined)
	f.at = f.at.Add(DefaultConfig().RetestAfter)
	is.Equal(come().State(), Quarantined)
	is.Equal(come().State(), Quarantined)
	is.Equal(len(f.due), 1) // once, however often it comes
	f.PermitRetest(subject("a").Content)
	f.quarantine("a", 8, 1)
	retest := come()
	is.Equal(retest.State(), Suspect)
	is.Equal(come().State(), Quarantined) // one execution only
	retest.LeafCrashed("leaf-0", 0)
	is.True(retest.IsStopped())
	is.Equal(come().State(), Quarantined)
	f.at = f.at.Add(DefaultConfig().RetestAfter)
	come()
	is.Equal(len(f.due), 1) // the next delay is longer
	f.at = f.at.Add(5 * DefaultConfig().RetestAfter)
	come()
	is.Equal(len(f.due), 2)
	f.quarantine("a", 9, DefaultConfig().MaximumRetests)
	come()
	f.at = f.at.Add(1000 * time.Hour)
	come()
	is.Equal(len(f.due), 2)
	is.Equal(f.RetryAfter(subject("a").Content), time.Duration(0))
}

func TestAnsweredRetestEndsQuarantine(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	f.quarantine("a", 7, 0)
	f.Begin(subject("a"), func() {})
	f.PermitRetest(subject("a").Content)
	f.Begin(subject("a"), func() {}).Answered()
	is.Equal(len(f.survived), 1)
	is.Equal(f.survived[0].Revision, int64(7))
}

// A record that the store had and an operator lifted stays lifted.
func TestLifted(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	is.True(f.AddRecord(Record{Subject: subject("a"), Leafs: []string{"x"}, By: "n2"}))
	is.True(!f.AddRecord(Record{Subject: subject("a"), Leafs: []string{"x"}, By: "n2"}))
	is.Equal(len(f.Unsaved()), 1)
	f.quarantine("a", 7, 0)
	is.Equal(len(f.Unsaved()), 0)
	delete(f.store, subject("a").Content)
	f.Lift(subject("a").Content)
	is.Equal(f.State(subject("a").Content), Clear)
}

// A caller who crashes a leaf with each of many requests fills the table of suspects with the newest of them only.
func TestTablesAreBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet()
	cfg := DefaultConfig()
	for index := range 2 * cfg.MaximumSuspects {
		f.at = f.at.Add(time.Millisecond)
		f.Begin(subject(fmt.Sprint(index)), func() {}).LeafCrashed(fmt.Sprint("leaf-", index), 0)
	}
	for index := range 2 * cfg.MaximumRecords {
		f.at = f.at.Add(time.Millisecond)
		f.AddRecord(Record{Subject: subject(fmt.Sprint("found-", index)), Leafs: []string{fmt.Sprint("found-leaf-", index)}})
	}
	suspects, unsaved := f.Counts()
	is.Equal(suspects, cfg.MaximumSuspects)
	is.Equal(unsaved, cfg.MaximumRecords)
	is.Equal(f.State(subject("0").Content), Clear)
	is.Equal(f.State(subject(fmt.Sprint(2*cfg.MaximumSuspects-1)).Content), Suspect)
}
