package reachability

import (
	"context"
	"sync"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
)

// Sender sends datagrams to nodes; peer.Transport is one.
type Sender interface {
	Send(address string, message peer.Message)
}

// Datagrams is the Asker over peer datagrams; safe for concurrent use.
type Datagrams struct {
	sender Sender
	// told takes a zone that another node has lost.
	told func(zone string)

	mu      sync.Mutex
	next    uint64
	pending map[uint64]chan struct{} // by number; an open question each
}

var _ Prober = (*Datagrams)(nil)

// NewDatagrams returns an prober; OnTold says who hears of zones that others lost.
func NewDatagrams(sender Sender) *Datagrams {
	return &Datagrams{sender: sender, told: func(string) {}, pending: map[uint64]chan struct{}{}}
}

// OnZoneLost sets who is told of a zone that another node has lost. It must be set before datagrams come in.
func (d *Datagrams) OnZoneLost(told func(zone string)) { d.told = told }

// mostPending bounds the open questions; further ones count as unanswered at once.
const mostPending = 4096

// Answers implements Asker.
func (d *Datagrams) Ping(ctx context.Context, node catalog.NodeRecord) bool {
	number, answered := d.open()
	if answered == nil {
		return false
	}
	defer d.close(number)
	d.sender.Send(node.Address, peer.Message{Reach: &peer.Reach{Number: number}})
	select {
	case <-answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// Tell implements Asker.
func (d *Datagrams) AnnounceLost(node catalog.NodeRecord, zone string) {
	d.sender.Send(node.Address, peer.Message{Reach: &peer.Reach{Lost: zone}})
}

// Handle takes a datagram: it answers a question, and takes an answer or what another node tells.
func (d *Datagrams) Handle(from string, reach peer.Reach) {
	switch {
	case reach.Lost != "":
		d.told(reach.Lost)
	case reach.Answer:
		d.answered(reach.Number)
	default:
		d.sender.Send(from, peer.Message{Reach: &peer.Reach{Number: reach.Number, Answer: true}})
	}
}

// open counts a question in; the channel is nil when there are too many.
func (d *Datagrams) open() (uint64, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.pending) >= mostPending {
		return 0, nil
	}
	d.next++
	answered := make(chan struct{})
	d.pending[d.next] = answered
	return d.next, answered
}

func (d *Datagrams) close(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, number)
}

func (d *Datagrams) answered(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if answered, found := d.pending[number]; found {
		close(answered)
		delete(d.pending, number)
	}
}
