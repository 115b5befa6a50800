package registry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// configurationWait is how long a starting node waits for its configuration before it registers without checking for
// a record of a previous process.
const configurationWait = 2 * time.Second

// leasedRecord is a node's record with the lease that it is bound to. The next process of the node reads it.
type leasedRecord struct {
	catalog.NodeRecord
	Lease int64 `json:"lease,omitempty"`
}

// previousRecord finds the record of a previous process of the node in the configuration. The zero value finds none.
type previousRecord struct {
	catalog *catalog.Catalog
	ready   <-chan struct{}
	// seenLease is the lease in the record when the node last registered.
	seenLease int64
}

// lease waits for the configuration and returns the lease of the record in it; 0 if that record differs from self.
func (p *previousRecord) lease(ctx context.Context, self catalog.NodeRecord) int64 {
	if p.catalog == nil || !p.awaitReady(ctx) {
		return 0
	}
	record := p.read(self.ID)
	p.seenLease = record.Lease
	if record.NodeRecord != self {
		return 0
	}
	return record.Lease
}

// awaitReady waits up to configurationWait for the configuration, and reports whether there is one.
func (p *previousRecord) awaitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	select {
	case <-p.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// isReplaced reports whether the node's record is bound to a lease other than the one that the node renews. This
// happens if the node resumed from an old state, or if a write with an unknown outcome took effect late.
func (p *previousRecord) isReplaced(self catalog.NodeRecord, lease int64) bool {
	if p.catalog == nil {
		return false
	}
	written := p.read(self.ID).Lease
	return written != 0 && written != lease && written != p.seenLease
}

// revision returns the revision in force; 0 if there is no configuration.
func (p *previousRecord) revision() int64 {
	if p.catalog == nil {
		return 0
	}
	return p.catalog.Revision()
}

// read returns the record in force; the zero value if there is none or it can't be decoded.
func (p *previousRecord) read(id string) leasedRecord {
	var record leasedRecord
	entry, found := p.catalog.Entry(catalog.NodeKey(id))
	if !found || entry.Deleted {
		return leasedRecord{}
	}
	document, err := catalog.DecodeDocument(entry)
	if err != nil || json.Unmarshal(document, &record) != nil {
		return leasedRecord{} // the catalog has reported this value as rejected
	}
	return record
}
