package catalog

import (
	"time"

	"github.com/portgauge/portgauge/internal/node/boottime"
)

// neverConfirmed is the offset of the initial confirmation, far in the past.
const neverConfirmed = -50 * 365 * 24 * time.Hour

// Now returns the current time of the catalog's clock.
func (c *Catalog) Now() time.Time { return c.clock.Now() }

// Instant returns a reading for ConfirmSince, which computes from it how long the machine was suspended since.
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

// ConfirmSince records that the revision in force was the newest at the given age before now, according to a response
// that was requested at requestedAt. The response may date from before a suspension of the machine since then, so the
// length of the suspension is added to the age.
func (c *Catalog) ConfirmSince(requestedAt boottime.Instant, age time.Duration) {
	c.Confirm(c.Now().Add(-age - requestedAt.Suspended()))
}

// ConfirmedAt returns the time of the catalog's clock at which the revision in force was last known to be the newest.
func (c *Catalog) ConfirmedAt() time.Time { return c.startedAt.Add(time.Duration(c.confirmed.Load())) }

// Age returns how long ago the revision in force was last known to be the newest.
func (c *Catalog) Age() time.Duration { return c.clock.Since(c.ConfirmedAt()) }
