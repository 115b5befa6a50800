package rolloutcontrol

import (
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// keepOwn takes this node's own counts where it is a judge.
func (c *Controller) keepOwn(rows []evidence.Row) {
	from := process{node: c.deps.Self.ID, start: c.reporter.start}
	if dropped := c.tallies.add(from, c.deps.Self.Address, rows, c.deps.Clock.Now()); dropped > 0 {
		c.dropOwn(dropped)
	}
}

func (c *Controller) dropOwn(rows int) { c.deps.Events.RowsDropped(RowsDroppedEvent{Rows: rows}) }

// HandleReports takes the counts of another node. A node that counts for an order that is held is told so.
func (c *Controller) HandleReports(from string, reports peer.RolloutReports) {
	rows, err := unpack(reports.Rows)
	if err != nil {
		c.deps.Events.RowsDropped(RowsDroppedEvent{From: from, Err: err})
		return
	}
	view := c.deps.Catalog.View()
	wanted := rows[:0]
	held := map[orderKey]bool{}
	for _, row := range rows {
		order := orderKey{row.Service, row.Order}
		if c.isWanted(view, order) {
			wanted = append(wanted, row)
			held[order] = c.holds.has(order)
		}
	}
	if dropped := c.tallies.add(process{reports.Node, reports.StartUnixNano}, from, wanted, c.deps.Clock.Now()); dropped > 0 {
		c.deps.Events.RowsDropped(RowsDroppedEvent{From: from, Rows: dropped})
	}
	for order, isHeld := range held {
		if isHeld {
			c.sendHold(from, order)
		}
	}
}

// HandleHold takes a judge's word that an order's version is bad.
func (c *Controller) HandleHold(from string, hold peer.RolloutHold) {
	order := orderKey{hold.Service, hold.Order}
	if !c.isWanted(c.deps.Catalog.View(), order) || !c.holds.add(order, "held by the word of "+from) {
		return
	}
	c.deps.Splitter.Hold(order.service, order.id)
	c.deps.Events.Held(HoldEvent{Service: order.service, Order: order.id, From: from})
}

func (c *Controller) sendHold(address string, order orderKey) {
	c.deps.Sender.Send(address, peer.Message{RolloutHold: &peer.RolloutHold{Service: order.service, Order: order.id}})
}

// warnJudges tells the other judges of a hold, also those that told of no counts, until its state is written: any of
// them may be the one whose write the store takes.
func (c *Controller) warnJudges(now time.Time, view *catalog.View, t *activeOrder, order orderKey) {
	if now.Sub(t.warnedAt) < c.cfg.ReportInterval {
		return
	}
	t.warnedAt = now
	for _, judge := range c.judges.of(view, order.service) {
		if judge.ID != c.deps.Self.ID {
			c.sendHold(judge.Address, order)
		}
	}
}

// hold has all nodes that told of an order send nothing more to its version, whatever the store says.
func (c *Controller) hold(order orderKey, reason string) {
	if !c.holds.add(order, reason) {
		return
	}
	c.deps.Splitter.Hold(order.service, order.id)
	nodes := 0
	for _, address := range c.tallies.addresses(order) {
		if address != c.deps.Self.Address {
			c.sendHold(address, order)
			nodes++
		}
	}
	c.deps.Events.Held(HoldEvent{Service: order.service, Order: order.id, Reason: reason, Nodes: nodes})
}
