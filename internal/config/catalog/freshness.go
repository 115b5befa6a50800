package catalog

import (
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// neverConfirmed is when the revision in force of a new catalog was the newest: long before any.
const neverConfirmed = -50 * 365 * 24 * time.Hour

// Now returns the instant by the catalog's clock.
func (c *Catalog) Now() time.Time { return c.clock.Now() }

// Mark returns the instant by which ConfirmSince tells whether the machine was suspended.
func (c *Catalog) Mark() boottime.Mark { return c.clock.Mark() }

// Confirm records that the revision in force was the newest at the given time by the catalog's clock, see Now.
func (c *Catalog) Confirm(at time.Time) {
	c.isProvisional.Store(false)
	after := int64(at.Sub(c.startedAt))
	for {
		known := c.confirmed.Load()
		if after <= known || c.confirmed.CompareAndSwap(known, after) {
			return
		}
	}
}

// ConfirmSince records that the revision in force was the newest so long before an answer that was asked for at a mark. One
// that had come before the machine was suspended is as old as that, too.
func (c *Catalog) ConfirmSince(asked boottime.Mark, age time.Duration) {
	c.Confirm(c.Now().Add(-age - asked.Suspended()))
}

// ConfirmedAt returns when the revision in force was last known to be the newest, by the catalog's clock. What passed
// since does not depend on the time of day.
func (c *Catalog) ConfirmedAt() time.Time { return c.startedAt.Add(time.Duration(c.confirmed.Load())) }

// Age returns how long ago the revision in force was last known to be the newest.
func (c *Catalog) Age() time.Duration { return c.clock.Since(c.ConfirmedAt()) }
