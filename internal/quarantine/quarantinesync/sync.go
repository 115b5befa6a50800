package quarantinesync

import (
	"context"
	"sync"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/fleet/registry"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// aggregatorCount is the number of nodes that sum the evidence against a request, and that write its record to the
// store if the node that found it does not. Any two of them may be down.
const aggregatorCount = 3

// Capacities of the queues of findings and of configuration changes.
const (
	queueLength   = 256
	changeBacklog = 256
)

// Sender sends datagrams; peer.SocketTransport implements it.
type Sender interface {
	Send(address string, message peer.Message)
}

// EventLog records findings.
type EventLog interface {
	// Quarantined records that a request was put under quarantine; from is the peer address of the node that sent the
	// record, empty if it is this node's own.
	Quarantined(record quarantine.Record, from string)
	// Saved records that the store accepted a record, or the error of a write or a removal.
	Saved(record quarantine.Record, err error)
	// Retest records that the store permitted a retest, or the error.
	Retest(record quarantine.Record, err error)
	// Lifted records that a request is no longer under quarantine.
	Lifted(content fingerprint.Fingerprint)
	// Dropped records that a number of findings were dropped because the queue was full.
	Dropped(findings int)
}

// Deps are the dependencies of a Sync.
type Deps struct {
	Config   Config
	Limits   quarantine.Config
	Register *quarantine.Register
	Catalog  *catalog.Catalog
	Store    store.Store
	Self     catalog.NodeRecord
	Sender   Sender
	Events   EventLog
}

// Sync sends a register's findings to other nodes and to the store, and applies theirs to the register. It is safe for
// concurrent use.
type Sync struct {
	deps  Deps
	queue chan func(context.Context)
	calls sync.WaitGroup

	mu sync.Mutex
	// reportPending contains the requests whose evidence waits for its first report.
	reportPending map[fingerprint.Fingerprint]bool
	// receivedAt are the times at which this node received unsaved records.
	receivedAt map[fingerprint.Fingerprint]time.Time
	// broadcastAt are the times of the last repeated broadcasts of unsaved records.
	broadcastAt map[fingerprint.Fingerprint]time.Time
	// savedAtRevision contains the records whose write has begun or succeeded, but which are not in the catalog yet,
	// with the catalog's revision at the start of the write. A restore of the store may have lost them since.
	savedAtRevision map[fingerprint.Fingerprint]int64
}

var _ quarantine.Listener = (*Sync)(nil)

// New returns a Sync and sets it as the register's listener.
func New(deps Deps) *Sync {
	s := &Sync{
		deps: deps, queue: make(chan func(context.Context), queueLength), reportPending: map[fingerprint.Fingerprint]bool{},
		receivedAt: map[fingerprint.Fingerprint]time.Time{}, broadcastAt: map[fingerprint.Fingerprint]time.Time{}, savedAtRevision: map[fingerprint.Fingerprint]int64{},
	}
	deps.Register.SetListener(s)
	return s
}

// Run processes findings and configuration changes until the context is done.
func (s *Sync) Run(ctx context.Context) {
	defer s.calls.Wait()
	changes, stop := s.deps.Catalog.Subscribe(changeBacklog)
	defer stop()
	ticker := time.NewTicker(s.deps.Config.SaveInterval)
	defer ticker.Stop()
	for {
		select {
		case finding := <-s.queue:
			finding(ctx)
		case change := <-changes:
			s.handleChange(change)
		case <-ticker.C:
			s.saveAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// enqueue queues the handler of a finding for Run, and drops it if the queue is full.
func (s *Sync) enqueue(finding func(context.Context)) {
	select {
	case s.queue <- finding:
	default:
		s.deps.Events.Dropped(1)
	}
}

// Suspected implements quarantine.Listener. It reports the evidence after ReportDelay and again after RepeatDelay,
// unless an answer has dropped it.
func (s *Sync) Suspected(subject quarantine.Subject) {
	s.mu.Lock()
	isPending := s.reportPending[subject.Fingerprint]
	s.reportPending[subject.Fingerprint] = true
	s.mu.Unlock()
	if isPending {
		return
	}
	time.AfterFunc(s.deps.Config.ReportDelay, func() {
		s.mu.Lock()
		delete(s.reportPending, subject.Fingerprint)
		s.mu.Unlock()
		s.report(subject.Fingerprint)
	})
	time.AfterFunc(s.deps.Config.RepeatDelay, func() { s.report(subject.Fingerprint) })
}

// report sends this node's evidence against a request to the aggregators.
func (s *Sync) report(content fingerprint.Fingerprint) {
	evidence, found := s.deps.Register.Evidence(content)
	if !found {
		return
	}
	s.sendToAggregators(content, peer.Quarantine{Evidence: &evidence})
}

// EvidenceDropped implements quarantine.Listener. It makes the aggregators drop their evidence, too.
func (s *Sync) EvidenceDropped(subject quarantine.Subject) {
	s.sendToAggregators(subject.Fingerprint, peer.Quarantine{Answered: subject.Fingerprint})
}

func (s *Sync) sendToAggregators(content fingerprint.Fingerprint, message peer.Quarantine) {
	for _, node := range s.aggregatorsOf(content) {
		if node.ID != s.deps.Self.ID {
			s.deps.Sender.Send(node.Address, peer.Message{Quarantine: &message})
		}
	}
}

// aggregatorsOf returns the nodes that sum the evidence against a request, by rank.
func (s *Sync) aggregatorsOf(content fingerprint.Fingerprint) []catalog.NodeRecord {
	ranked := registry.RendezvousOrder(s.deps.Catalog.View().Nodes, content.String())
	return ranked[:min(len(ranked), aggregatorCount)]
}

// Quarantined implements quarantine.Listener. It sends the record to all nodes and writes it to the store.
func (s *Sync) Quarantined(record quarantine.Record) {
	s.deps.Events.Quarantined(record, "")
	s.broadcast(record)
	s.enqueue(func(ctx context.Context) { s.save(ctx, record) })
}

// broadcast sends a record to every other node, one datagram each.
func (s *Sync) broadcast(record quarantine.Record) {
	for _, node := range s.deps.Catalog.View().Nodes {
		if node.ID != s.deps.Self.ID {
			s.deps.Sender.Send(node.Address, peer.Message{Quarantine: &peer.Quarantine{Record: &record}})
		}
	}
}

// Handle processes a message from another node.
func (s *Sync) Handle(from string, message peer.Quarantine) {
	switch {
	case message.Evidence != nil:
		s.deps.Register.AddEvidence(*message.Evidence)
	case message.Record != nil:
		s.handleRecord(from, *message.Record)
	case !message.Answered.IsZero():
		s.deps.Register.DropEvidence(message.Answered)
	}
}

func (s *Sync) handleRecord(from string, record quarantine.Record) {
	if record.Validate() != nil || !s.deps.Register.AddRecord(record) {
		return
	}
	s.mu.Lock()
	s.receivedAt[record.Fingerprint] = time.Now()
	s.mu.Unlock()
	s.deps.Events.Quarantined(record, from)
}

// handleChange applies the quarantine records that a configuration change adds or removes.
func (s *Sync) handleChange(change catalog.Change) {
	for _, entry := range change.Entries() {
		content, isQuarantine := catalog.QuarantinedContent(entry.Key)
		if !isQuarantine {
			continue
		}
		s.mu.Lock()
		delete(s.receivedAt, content)
		delete(s.savedAtRevision, content)
		s.mu.Unlock()
		// The catalog may be newer than the change.
		if record := s.deps.Catalog.Quarantine(content); record != nil {
			s.deps.Register.ConfirmStored(*record)
			continue
		}
		s.deps.Register.Lift(content)
		s.deps.Events.Lifted(content)
	}
}
