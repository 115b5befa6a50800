package reachability

import (
	"context"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// maxPending bounds the open requests; further ones count as unanswered.
const maxPending = 4096

// Sender sends datagrams to nodes; peer.Transport is one.
type Sender interface {
	Send(address string, message peer.Message)
}

// Datagrams is the Prober over peer datagrams; safe for concurrent use.
type Datagrams struct {
	sender Sender
	// zoneLost is called with a zone that another node has lost.
	zoneLost func(zone string)

	mu      sync.Mutex
	pending peer.Pending
}

var _ Prober = (*Datagrams)(nil)

// NewDatagrams returns a prober; OnZoneLost sets who learns of zones that other nodes lost.
func NewDatagrams(sender Sender) *Datagrams {
	return &Datagrams{sender: sender, zoneLost: func(string) {}}
}

// OnZoneLost sets the function that is called with a zone that another node has lost. It must be set before
// datagrams arrive.
func (d *Datagrams) OnZoneLost(zoneLost func(zone string)) { d.zoneLost = zoneLost }

// Ping implements Prober.
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

// SendZoneLost implements Prober.
func (d *Datagrams) SendZoneLost(node catalog.NodeRecord, zone string) {
	d.sender.Send(node.Address, peer.Message{Reachability: &peer.Reachability{Lost: zone}})
}

// Handle handles a datagram: it answers a ping, and passes on an answer or the announcement of a lost zone.
func (d *Datagrams) Handle(from string, reach peer.Reachability) {
	switch {
	case reach.Lost != "":
		d.zoneLost(reach.Lost)
	case reach.Answer:
		d.answered(reach.Number)
	default:
		d.sender.Send(from, peer.Message{Reachability: &peer.Reachability{Number: reach.Number, Answer: true}})
	}
}

// open returns the number of a new request; the channel is nil when there are too many.
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

func (d *Datagrams) answered(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending.Answer(number)
}
