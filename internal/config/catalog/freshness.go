package catalog

import (
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// neverConfirmed is the offset of the initial confirmation, far in the past.
const neverConfirmed = -50 * 365 * 24 * time.Hour

// Now returns the current time of the catalog's clock.
func (c *Catalog) Now() time.Time { return c.clock.Now() }

// Instant returns the current reading of the clock, for ConfirmSince.
func (c *Catalog) Instant() boottime.Instant { return c.clock.Instant() }

// Confirm records that the revision in force was the newest at the given time of the catalog's clock, see Now.
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

// ConfirmSince records that the revision in force was the newest one age ago, according to a response that was requested
// at requestedAt. If the machine was suspended in between, the response may be from before the suspension, so its length
// is added to the age.
func (c *Catalog) ConfirmSince(requestedAt boottime.Instant, age time.Duration) {
	c.Confirm(c.Now().Add(-age - requestedAt.Suspended()))
}

// ConfirmedAt returns the time of the catalog's clock at which the revision in force was last known to be the newest.
func (c *Catalog) ConfirmedAt() time.Time { return c.startedAt.Add(time.Duration(c.confirmed.Load())) }

// Age returns how long ago the revision in force was last known to be the newest.
func (c *Catalog) Age() time.Duration { return c.clock.Since(c.ConfirmedAt()) }
