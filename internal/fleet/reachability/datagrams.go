package reachability

import (
	"context"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// maxPending bounds the number of pending pings; further pings are not sent and count as unanswered.
const maxPending = 4096

// Sender sends datagrams to nodes; peer.Transport implements it.
type Sender interface {
	Send(address string, message peer.Message)
}

// Datagrams implements Pinger over peer datagrams. It is safe for concurrent use.
type Datagrams struct {
	sender Sender
	// onZoneLost is called with a zone that another node has lost.
	onZoneLost func(zone string)

	mu      sync.Mutex
	pending peer.Pending
}

var _ Pinger = (*Datagrams)(nil)

// NewDatagrams returns a pinger that ignores announcements of lost zones until OnZoneLost is called.
func NewDatagrams(sender Sender) *Datagrams {
	return &Datagrams{sender: sender, onZoneLost: func(string) {}}
}

// OnZoneLost sets the function that is called with each zone that another node has lost. It must be called before the
// first datagram arrives.
func (d *Datagrams) OnZoneLost(zoneLost func(zone string)) { d.onZoneLost = zoneLost }

// Ping implements Pinger.
func (d *Datagrams) Ping(ctx context.Context, node catalog.NodeRecord) bool {
	number, answered := d.open()
	if answered == nil {
		return false
	}
	defer d.close(number)
	d.sender.Send(node.Address, peer.Message{Reachability: &peer.Reachability{Number: number}})
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// SendZoneLost implements Pinger.
func (d *Datagrams) SendZoneLost(node catalog.NodeRecord, zone string) {
	d.sender.Send(node.Address, peer.Message{Reachability: &peer.Reachability{Lost: zone}})
}

// Handle handles a datagram: a ping, the answer to a ping, or the announcement of a lost zone.
func (d *Datagrams) Handle(from string, reach peer.Reachability) {
	switch {
	case reach.Lost != "":
		d.onZoneLost(reach.Lost)
	case reach.Answer:
		d.recordAnswer(reach.Number)
	default:
		d.sender.Send(from, peer.Message{Reachability: &peer.Reachability{Number: reach.Number, Answer: true}})
	}
}

// open returns the number of a new ping and a channel that its answer closes. The channel is nil if maxPending pings are
// pending.
func (d *Datagrams) open() (uint64, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending.Len() >= maxPending {
		return 0, nil
	}
	return d.pending.Open()
}

func (d *Datagrams) close(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending.Close(number)
}

func (d *Datagrams) recordAnswer(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending.Answer(number)
}
