package catalog

import (
	"maps"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// compileQuarantine puts the quarantine of a request, or its end, into force.
func (d *draft) compileQuarantine(key string, entry Entry) error {
	content, err := fingerprint.Parse(key)
	if err != nil {
		return err
	}
	if !d.ownsQuarantine {
		d.view.Quarantine = maps.Clone(d.view.Quarantine)
		d.ownsQuarantine = true
	}
	if entry.Deleted {
		delete(d.view.Quarantine, content)
		return nil
	}
	document, err := DecodeDocument(entry)
	if err != nil {
		return err
	}
	record, err := quarantine.ParseRecord(document, entry.Revision)
	if err != nil {
		return err
	}
	if record.Content != content {
		return failure.Invalid("content", "%s; must be that of the key", record.Content)
	}
	if d.view.Quarantine == nil {
		d.view.Quarantine = map[fingerprint.Fingerprint]*quarantine.Record{}
	}
	d.view.Quarantine[content] = record
	return nil
}

// Quarantine returns the record of a request under quarantine; nil for any other.
func (c *Catalog) Quarantine(content fingerprint.Fingerprint) *quarantine.Record {
	return c.View().Quarantine[content]
}
