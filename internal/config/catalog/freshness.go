package catalog

import (
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// neverConfirmed is the confirmation of a new catalog, far in the past.
const neverConfirmed = -50 * 365 * 24 * time.Hour

// Now returns the present instant by the catalog's clock.
func (c *Catalog) Now() time.Time { return c.clock.Now() }

// Instant returns a mark for ConfirmSince, which finds from it whether the machine was suspended since.
func (c *Catalog) Instant() boottime.Instant { return c.clock.Instant() }

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

// ConfirmSince records that the revision in force was the newest for some time, age, before a response that was
// requested at a mark. If the machine was suspended since the mark, the response may be from before that.
func (c *Catalog) ConfirmSince(requestedAt boottime.Instant, age time.Duration) {
	c.Confirm(c.Now().Add(-age - requestedAt.Suspended()))
}

// ConfirmedAt returns when the revision in force was last known to be the newest, by the catalog's clock.
func (c *Catalog) ConfirmedAt() time.Time { return c.startedAt.Add(time.Duration(c.confirmed.Load())) }

// Age returns how long ago the revision in force was last known to be the newest.
func (c *Catalog) Age() time.Duration { return c.clock.Since(c.ConfirmedAt()) }
