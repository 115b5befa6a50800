package registry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
)

// configurationWait is how long a node that starts waits for its configuration before it registers without
// checking for an earlier record.
const configurationWait = 2 * time.Second

// leasedRecord is a node's record with the lease that it is bound to, for the next process of the node.
type leasedRecord struct {
	catalog.NodeRecord
	Lease int64 `json:"lease,omitempty"`
}

// previousRecord finds the record of an earlier process of the node in the configuration. The zero value finds
// none.
type previousRecord struct {
	known *catalog.Catalog
	ready <-chan struct{}
	// seen is the lease of the record when the node registered last.
	seen int64
}

// lease returns the lease of the node's record if that equals the node's own present record; otherwise 0. It
// waits for the configuration.
func (p *previousRecord) lease(ctx context.Context, self catalog.NodeRecord) int64 {
	if p.known == nil || !p.await(ctx) {
		return 0
	}
	record := p.read(self.ID)
	p.seen = record.Lease
	if record.NodeRecord != self {
		return 0
	}
	return record.Lease
}

// await waits for the configuration and reports whether there is any.
func (p *previousRecord) await(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, configurationWait)
	defer cancel()
	select {
	case <-p.ready:
		return true
	case <-ctx.Done():
		return false
	}
}

// isReplaced reports whether the node's record is now bound to another lease than the one that is renewed: the
// node resumed by an old state, or a write whose outcome was unknown took effect late.
func (p *previousRecord) isReplaced(self catalog.NodeRecord, lease int64) bool {
	if p.known == nil {
		return false
	}
	written := p.read(self.ID).Lease
	return written != 0 && written != lease && written != p.seen
}

// revision returns the revision in force; 0 if there is no configuration.
func (p *previousRecord) revision() int64 {
	if p.known == nil {
		return 0
	}
	return p.known.Revision()
}

// read returns the record in force; an empty one if there is none or it can't be decoded.
func (p *previousRecord) read(id string) leasedRecord {
	var record leasedRecord
	entry, found := p.known.Entry(catalog.NodeKey(id))
	if !found || entry.Deleted {
		return leasedRecord{}
	}
	document, err := catalog.DecodeDocument(entry)
	if err != nil || json.Unmarshal(document, &record) != nil {
		return leasedRecord{} // the catalog has reported this value as rejected
	}
	return record
}
