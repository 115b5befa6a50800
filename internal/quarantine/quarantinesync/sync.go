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

// homes is how many nodes add up the evidence against a request, and how many besides the one that found it write its
// record: any two may be gone.
const homes = 3

// Bounds of what waits: findings to be carried, and changes of the configuration.
const (
	backlog       = 256
	changeBacklog = 256
)

// Sender sends datagrams; peer.SocketTransport is the real one.
type Sender interface {
	Send(address string, message peer.Message)
}

// EventLog is told of findings.
type EventLog interface {
	// Quarantined tells of a request under quarantine; from is the peer address of who told of it, empty where this node
	// found it.
	Quarantined(record quarantine.Record, from string)
	// Saved tells that the store took a record, or why not.
	Saved(record quarantine.Record, err error)
	// Trial tells that a request under quarantine may be tried once more, or why not.
	Trial(record quarantine.Record, err error)
	// Lifted tells that a request is under quarantine no more.
	Lifted(content fingerprint.Fingerprint)
	// Dropped tells that so many findings were not carried.
	Dropped(findings int)
}

// Deps are what a Sync is built from.
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

// Sync carries findings; safe for concurrent use.
type Sync struct {
	deps     Deps
	findings chan func(context.Context)
	running  sync.WaitGroup

	mu sync.Mutex
	// waiting are the requests whose evidence is about to be told of.
	waiting map[fingerprint.Fingerprint]bool
	// heardAt is when a record came to this node that the store does not have.
	heardAt map[fingerprint.Fingerprint]time.Time
	// toldAt is when all nodes were told again of a record that the store does not have.
	toldAt map[fingerprint.Fingerprint]time.Time
	// saved are records that the store took or is asked to, with the revision that was in force then, until they are in
	// force here. A restore of the store in between may have lost them.
	saved map[fingerprint.Fingerprint]int64
}

var _ quarantine.Listener = (*Sync)(nil)

// New makes a Sync and has the register tell it of its findings.
func New(deps Deps) *Sync {
	s := &Sync{
		deps: deps, findings: make(chan func(context.Context), backlog), waiting: map[fingerprint.Fingerprint]bool{},
		heardAt: map[fingerprint.Fingerprint]time.Time{}, toldAt: map[fingerprint.Fingerprint]time.Time{}, saved: map[fingerprint.Fingerprint]int64{},
	}
	deps.Register.SetListener(s)
	return s
}

// Run carries findings until the context ends.
func (s *Sync) Run(ctx context.Context) {
	defer s.running.Wait()
	changes, stop := s.deps.Catalog.Subscribe(changeBacklog)
	defer stop()
	ticker := time.NewTicker(s.deps.Config.SaveInterval)
	defer ticker.Stop()
	for {
		select {
		case finding := <-s.findings:
			finding(ctx)
		case change := <-changes:
			s.takeChange(change)
		case <-ticker.C:
			s.saveAll(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// carry queues what is to be done about a finding.
func (s *Sync) carry(finding func(context.Context)) {
	select {
	case s.findings <- finding:
	default:
		s.deps.Events.Dropped(1)
	}
}

// Suspected implements quarantine.Listener: the evidence is told of after a while, unless an answer takes it back.
func (s *Sync) Suspected(subject quarantine.Subject) {
	s.mu.Lock()
	isWaiting := s.waiting[subject.Content]
	s.waiting[subject.Content] = true
	s.mu.Unlock()
	if isWaiting {
		return
	}
	time.AfterFunc(s.deps.Config.ReportDelay, func() {
		s.mu.Lock()
		delete(s.waiting, subject.Content)
		s.mu.Unlock()
		s.report(subject.Content)
	})
	time.AfterFunc(s.deps.Config.RepeatDelay, func() { s.report(subject.Content) })
}

// report tells the homes of a request what this node has against it.
func (s *Sync) report(content fingerprint.Fingerprint) {
	evidence, found := s.deps.Register.Evidence(content)
	if !found {
		return
	}
	s.tellHomes(content, peer.Quarantine{Evidence: &evidence})
}

// Acquitted implements quarantine.Listener.
func (s *Sync) Acquitted(subject quarantine.Subject) {
	s.tellHomes(subject.Content, peer.Quarantine{Answered: subject.Content})
}

func (s *Sync) tellHomes(content fingerprint.Fingerprint, told peer.Quarantine) {
	for _, node := range s.homesOf(content) {
		if node.ID != s.deps.Self.ID {
			s.deps.Sender.Send(node.Address, peer.Message{Quarantine: &told})
		}
	}
}

// homesOf gives the nodes that add up the evidence against a request.
func (s *Sync) homesOf(content fingerprint.Fingerprint) []catalog.NodeRecord {
	ranked := registry.Ranked(s.deps.Catalog.View().Nodes, content.String())
	return ranked[:min(len(ranked), homes)]
}

// Quarantined implements quarantine.Listener: all nodes are told, and the store is written to.
func (s *Sync) Quarantined(record quarantine.Record) {
	s.deps.Events.Quarantined(record, "")
	s.tellAll(record)
	s.carry(func(ctx context.Context) { s.save(ctx, record) })
}

// tellAll tells all nodes of a record. At 3,300 nodes that is 3,300 datagrams of up to 1,400 bytes from one node: 53 bytes a
// second over a day if there is one finding a day.
func (s *Sync) tellAll(record quarantine.Record) {
	for _, node := range s.deps.Catalog.View().Nodes {
		if node.ID != s.deps.Self.ID {
			s.deps.Sender.Send(node.Address, peer.Message{Quarantine: &peer.Quarantine{Record: &record}})
		}
	}
}

// Handle takes what another node tells.
func (s *Sync) Handle(from string, told peer.Quarantine) {
	switch {
	case told.Evidence != nil:
		s.deps.Register.AddEvidence(*told.Evidence)
	case told.Record != nil:
		s.heardRecord(from, *told.Record)
	case !told.Answered.IsZero():
		s.deps.Register.Acquit(told.Answered)
	}
}

func (s *Sync) heardRecord(from string, record quarantine.Record) {
	if record.Validate() != nil || !s.deps.Register.AddRecord(record) {
		return
	}
	s.mu.Lock()
	s.heardAt[record.Content] = time.Now()
	s.mu.Unlock()
	s.deps.Events.Quarantined(record, from)
}

// takeChange learns which requests the store has under quarantine, and which no more.
func (s *Sync) takeChange(change catalog.Change) {
	for _, entry := range change.Entries() {
		content, isQuarantine := catalog.QuarantinedContent(entry.Key)
		if !isQuarantine {
			continue
		}
		s.mu.Lock()
		delete(s.heardAt, content)
		delete(s.saved, content)
		s.mu.Unlock()
		// What is in force may be newer than the change.
		if record := s.deps.Catalog.Quarantine(content); record != nil {
			s.deps.Register.ConfirmStored(*record)
			continue
		}
		s.deps.Register.Lift(content)
		s.deps.Events.Lifted(content)
	}
}
