package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// registerFixture is a register with recorded notifications, a map of stored records and a clock that the test sets.
type registerFixture struct {
	*Register
	at          time.Time
	store       map[fingerprint.Fingerprint]*Record
	suspected   []Subject
	dropped     []Subject
	quarantined []Record
	due         []Record
	answered    []Record
}

func newRegisterFixture() *registerFixture {
	f := &registerFixture{at: time.Unix(1000, 0), store: map[fingerprint.Fingerprint]*Record{}}
	f.Register = NewRegister(Deps{
		Config: DefaultConfig(), Clock: func() time.Time { return f.at }, Self: "n1",
		StoredRecord: func(content fingerprint.Fingerprint) *Record { return f.store[content] },
	})
	f.SetListener(f)
	return f
}

func (f *registerFixture) Suspected(subject Subject)       { f.suspected = append(f.suspected, subject) }
func (f *registerFixture) EvidenceDropped(subject Subject) { f.dropped = append(f.dropped, subject) }
func (f *registerFixture) Quarantined(record Record)       { f.quarantined = append(f.quarantined, record) }
func (f *registerFixture) RetestDue(record Record)         { f.due = append(f.due, record) }
func (f *registerFixture) RetestAnswered(record Record)    { f.answered = append(f.answered, record) }

// save stores a record.
func (f *registerFixture) save(record Record, revision int64) {
	record.Revision = revision
	f.store[record.Fingerprint] = &record
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

// crashAll reports crashes of leafs under attempts that were sent together.
func crashAll(execution *Execution, episode int, names ...string) {
	for _, name := range names {
		execution.LeafCrashed(name, episode)
	}
}

// Crashes of the first attempts, which are sent together, and of one probe put a request under quarantine.
func TestCrashesInTwoEpisodesQuarantineRequest(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	stopped := 0
	execution := f.Begin(subject("a"), func() { stopped++ })
	is.Equal(execution.State(), Clear)
	crashAll(execution, 0, leafs("leaf-", 20)...)
	is.Equal(len(f.quarantined), 0)
	is.Equal(f.State(subject("a").Fingerprint), Suspect)
	execution.LeafCrashed("probed", 1)
	is.Equal(len(f.quarantined), 1)
	is.Equal(f.quarantined[0].FoundBy, "n1")
	is.Equal(stopped, 1)
	is.True(execution.IsStopped())
	is.Equal(f.Begin(subject("a"), func() {}).State(), Quarantined)
	is.Equal(f.Begin(subject("b"), func() {}).State(), Clear)
	is.True(f.RetryAfter(subject("a").Fingerprint) > 0)
}

// Crashes under attempts sent together don't put a request under quarantine, and an answer clears it.
func TestSimultaneousCrashesAreOneEpisode(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	execution := f.Begin(subject("a"), func() { t.Error("the execution was stopped") })
	crashAll(execution, 0, leafs("leaf-", 40)...)
	is.Equal(len(f.quarantined), 0)
	execution.Answered()
	is.Equal(f.State(subject("a").Fingerprint), Clear)
	crashAll(execution, 1, leafs("later-", 40)...) // crashes after an answer don't count
	is.Equal(f.State(subject("a").Fingerprint), Clear)
}

// A node never retries an at-most-once request, so the evidence comes from executions at three nodes.
func TestEvidenceOfSeveralNodesIsSummed(t *testing.T) {
	is := is.New(t)
	aggregator := newRegisterFixture()
	for index, name := range leafs("leaf-", 3) {
		other := newRegisterFixture()
		other.Begin(subject("a"), func() {}).LeafCrashed(name, 0)
		is.Equal(len(other.suspected), 1)
		reported, found := other.Evidence(subject("a").Fingerprint)
		is.True(found)
		aggregator.AddEvidence(reported)
		aggregator.AddEvidence(reported) // a repeated report changes nothing
		is.Equal(len(aggregator.quarantined), index/2)
	}
	is.Equal(len(aggregator.suspected), 0) // evidence of other nodes is not reported again
}

// More episodes are required if leafs that had not crashed under the request stopped listening: leafs may crash for
// another reason.
func TestMoreEpisodesAreRequiredIfOtherLeafsStoppedListening(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	execution := f.Begin(subject("a"), func() {})
	crashAll(execution, 0, leafs("leaf-", 20)...)
	execution.LeafNotListening("leaf-3") // this leaf crashed under the request, so it doesn't count as another one
	is.Equal(f.State(subject("a").Fingerprint), Suspect)
	execution.LeafNotListening("another")
	for probe := range DefaultConfig().EpisodesIfOthersNotListening - 1 {
		is.Equal(len(f.quarantined), 0)
		execution.LeafCrashed(fmt.Sprint("probed-", probe), 1+probe)
	}
	is.Equal(len(f.quarantined), 1)
	next := f.Begin(subject("b"), func() {})
	next.LeafNotListening("leaf-0") // its crash is attributed to the first request
	crashAll(next, 0, "x", "y")
	next.LeafCrashed("z", 1)
	is.Equal(len(f.quarantined), 2)
}

// Crashes attributed to one request are not evidence against others that the same leafs were running.
func TestCrashesAttributedToAnotherRequestDoNotCount(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	neighbor := f.Begin(subject("neighbour"), func() {})
	neighbor.LeafCrashed("leaf-0", 0)
	neighbor.LeafCrashed("leaf-1", 1)
	culprit := f.Begin(subject("culprit"), func() {})
	culprit.LeafCrashed("leaf-0", 0)
	culprit.LeafCrashed("leaf-1", 1)
	culprit.LeafCrashed("leaf-2", 2)
	is.Equal(len(f.quarantined), 1)
	is.Equal(f.State(subject("neighbour").Fingerprint), Clear)
	neighbor.LeafCrashed("leaf-2", 2) // reported after the crash was attributed
	is.Equal(f.State(subject("neighbour").Fingerprint), Clear)
}

func TestEvidenceExpires(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-0", 0)
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-1", 0)
	f.at = f.at.Add(DefaultConfig().SuspectMemory)
	is.Equal(f.State(subject("a").Fingerprint), Clear)
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-2", 0)
	is.Equal(len(f.quarantined), 0)
}

// An answer drops the evidence against a suspect at this node and at the nodes that it was reported to.
func TestAnswerDropsEvidenceAtAllNodes(t *testing.T) {
	is := is.New(t)
	f, aggregator := newRegisterFixture(), newRegisterFixture()
	f.Begin(subject("a"), func() {}).LeafCrashed("leaf-0", 0)
	reported, _ := f.Evidence(subject("a").Fingerprint)
	aggregator.AddEvidence(reported)
	is.Equal(aggregator.State(subject("a").Fingerprint), Suspect)
	f.Begin(subject("a"), func() {}).Answered()
	is.Equal(len(f.dropped), 1)
	aggregator.DropEvidence(f.dropped[0].Fingerprint)
	is.Equal(aggregator.State(subject("a").Fingerprint), Clear)
}

// quarantine stores a record of a request.
func (f *registerFixture) quarantine(name string, revision int64, retests int) {
	f.save(Record{Subject: subject(name), Leafs: []string{"x", "y", "z"}, Retests: retests, FoundBy: "n1"}, revision)
}

// A retest is requested once RetestAfter has passed, and a permit allows one execution. After a crash the next delay is
// longer, and after the last retest only an operator can lift the quarantine.
func TestRetestsAreLimitedAndRequirePermit(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	f.quarantine("a", 7, 0)
	begin := func() *Execution { return f.Begin(subject("a"), func() {}) }
	is.Equal(begin().State(), Quarantined)
	f.at = f.at.Add(DefaultConfig().RetestAfter)
	is.Equal(begin().State(), Quarantined)
	is.Equal(begin().State(), Quarantined)
	is.Equal(len(f.due), 1) // two arrivals request one retest
	f.PermitRetest(subject("a").Fingerprint)
	f.quarantine("a", 8, 1)
	retest := begin()
	is.Equal(retest.State(), Suspect)
	is.Equal(begin().State(), Quarantined) // a permit allows one execution
	retest.LeafCrashed("leaf-0", 0)
	is.True(retest.IsStopped())
	is.Equal(begin().State(), Quarantined)
	f.at = f.at.Add(DefaultConfig().RetestAfter)
	begin()
	is.Equal(len(f.due), 1) // the next delay is longer
	f.at = f.at.Add(5 * DefaultConfig().RetestAfter)
	begin()
	is.Equal(len(f.due), 2)
	f.quarantine("a", 9, DefaultConfig().MaxRetests)
	begin()
	f.at = f.at.Add(1000 * time.Hour)
	begin()
	is.Equal(len(f.due), 2)
	is.Equal(f.RetryAfter(subject("a").Fingerprint), time.Duration(0))
}

func TestAnsweredRetestEndsQuarantine(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	f.quarantine("a", 7, 0)
	f.Begin(subject("a"), func() {})
	f.PermitRetest(subject("a").Fingerprint)
	f.Begin(subject("a"), func() {}).Answered()
	is.Equal(len(f.answered), 1)
	is.Equal(f.answered[0].Revision, int64(7))
}

// A record that was stored and then lifted by an operator is not restored from the unsaved records.
func TestLiftedRecordStaysLifted(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	is.True(f.AddRecord(Record{Subject: subject("a"), Leafs: []string{"x"}, FoundBy: "n2"}))
	is.True(!f.AddRecord(Record{Subject: subject("a"), Leafs: []string{"x"}, FoundBy: "n2"}))
	is.Equal(len(f.Unsaved()), 1)
	f.quarantine("a", 7, 0)
	is.Equal(len(f.Unsaved()), 0)
	delete(f.store, subject("a").Fingerprint)
	f.Lift(subject("a").Fingerprint)
	is.Equal(f.State(subject("a").Fingerprint), Clear)
}

// The numbers of suspects and unsaved records are bounded; the oldest are dropped.
func TestSuspectsAndUnsavedRecordsAreBounded(t *testing.T) {
	is := is.New(t)
	f := newRegisterFixture()
	cfg := DefaultConfig()
	for index := range 2 * cfg.MaxSuspects {
		f.at = f.at.Add(time.Millisecond)
		f.Begin(subject(fmt.Sprint(index)), func() {}).LeafCrashed(fmt.Sprint("leaf-", index), 0)
	}
	for index := range 2 * cfg.MaxRecords {
		f.at = f.at.Add(time.Millisecond)
		f.AddRecord(Record{Subject: subject(fmt.Sprint("found-", index)), Leafs: []string{fmt.Sprint("found-leaf-", index)}})
	}
	suspects, unsaved := f.Counts()
	is.Equal(suspects, cfg.MaxSuspects)
	is.Equal(unsaved, cfg.MaxRecords)
	is.Equal(f.State(subject("0").Fingerprint), Clear)
	is.Equal(f.State(subject(fmt.Sprint(2*cfg.MaxSuspects-1)).Fingerprint), Suspect)
}
