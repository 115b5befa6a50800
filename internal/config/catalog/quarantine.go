package catalog

import (
	"maps"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

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
	if record.Fingerprint != content {
		return failure.Invalid("content", "%s; must match the key", record.Fingerprint)
	}
	if d.view.Quarantine == nil {
		d.view.Quarantine = map[fingerprint.Fingerprint]*quarantine.Record{}
	}
	d.view.Quarantine[content] = record
	return nil
}

// Quarantine returns the record of a quarantined request, nil for any other request.
func (c *Catalog) Quarantine(content fingerprint.Fingerprint) *quarantine.Record {
	return c.View().Quarantine[content]
}
