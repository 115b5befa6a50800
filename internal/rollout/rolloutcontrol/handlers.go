package rolloutcontrol

import (
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// keepOwn adds this node's own counts where it is an evaluator node.
func (c *Controller) keepOwn(rows []evidence.Row) {
	from := process{node: c.deps.Self.ID, start: c.reporter.start}
	if dropped := c.tallies.add(from, c.deps.Self.Address, rows, c.deps.Clock.Now()); dropped > 0 {
		c.dropOwn(dropped)
	}
}

func (c *Controller) dropOwn(rows int) { c.deps.Events.RowsDropped(RowsDroppedEvent{Rows: rows}) }

// HandleReports adds the counts of another node. If it counts for an order that is held, it is sent the hold.
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

// HandleHold handles an evaluator node's message that an order's version is bad.
func (c *Controller) HandleHold(from string, hold peer.RolloutHold) {
	order := orderKey{hold.Service, hold.Order}
	if !c.isWanted(c.deps.Catalog.View(), order) || !c.holds.add(order, "held by a message from "+from) {
		return
	}
	c.deps.Splitter.Hold(order.service, order.id)
	c.deps.Events.Held(HoldEvent{Service: order.service, Order: order.id, From: from})
}
