package rolloutcontrol

import (
	"github.com/portgauge/portgauge/internal/fleet/peer"
	"github.com/portgauge/portgauge/internal/rollout/evidence"
)

// addOwnRows adds this node's own rows to the tallies. They are for services that it evaluates.
func (c *Controller) addOwnRows(rows []evidence.Row) {
	from := process{node: c.deps.Self.ID, start: c.reporter.start}
	if dropped := c.tallies.add(from, c.deps.Self.Address, rows, c.deps.Clock.Now()); dropped > 0 {
		c.ownRowsDropped(dropped)
	}
}

func (c *Controller) ownRowsDropped(rows int) {
	c.deps.Events.RowsDropped(RowsDroppedEvent{Rows: rows})
}

// HandleReports adds the counts of another node. If they include an aborted spec, it sends the abort back.
func (c *Controller) HandleReports(from string, reports peer.RolloutReports) {
	rows, err := unpack(reports.Rows)
	if err != nil {
		c.deps.Events.RowsDropped(RowsDroppedEvent{From: from, Err: err})
		return
	}
	view := c.deps.Catalog.View()
	wanted := rows[:0]
	aborted := map[specKey]bool{}
	for _, row := range rows {
		id := specKey{row.Service, row.SpecID}
		if c.isWanted(view, id) {
			wanted = append(wanted, row)
			aborted[id] = c.aborts.has(id)
		}
	}
	if dropped := c.tallies.add(process{reports.Node, reports.StartUnixNano}, from, wanted, c.deps.Clock.Now()); dropped > 0 {
		c.deps.Events.RowsDropped(RowsDroppedEvent{From: from, Rows: dropped})
	}
	for id, isAborted := range aborted {
		if isAborted {
			c.sendAbort(from, id)
		}
	}
}

// HandleAbort handles an abort message from an evaluator node.
func (c *Controller) HandleAbort(from string, abort peer.RolloutAbort) {
	id := specKey{abort.Service, abort.SpecID}
	if !c.isWanted(c.deps.Catalog.View(), id) || !c.aborts.add(id, "held by a message from "+from) {
		return
	}
	c.deps.Splitter.Abort(id.service, id.specID)
	c.deps.Events.Aborted(AbortEvent{Service: id.service, SpecID: id.specID, From: from})
}
