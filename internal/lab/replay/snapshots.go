package replay

import (
	"sort"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/platform"
)

// publication is a snapshot and the time at which the store accepted it.
type publication struct {
	snapshot string
	at       time.Time
}

// publicationHistory contains the publications of a service, ordered by time.
type publicationHistory struct {
	publications []publication
}

func publicationsOf(rec *recording, service string) publicationHistory {
	var found publicationHistory
	for _, write := range rec.writes {
		if write.Key != catalog.ManifestKey(service) || write.Deleted {
			continue
		}
		if snapshot := snapshotIn(write); snapshot != "" {
			found.publications = append(found.publications, publication{snapshot: snapshot, at: time.UnixMicro(write.At)})
		}
	}
	sort.Slice(found.publications, func(i, j int) bool { return found.publications[i].at.Before(found.publications[j].at) })
	return found
}

// staleness returns the time from the replacement of an execution's snapshot to the execution, or 0 if the snapshot was
// current or was not published.
func (h publicationHistory) staleness(execution leaf.Execution) time.Duration {
	at := time.UnixMicro(execution.At)
	replacedAt := time.Time{}
	for index, published := range h.publications {
		if published.at.After(at) {
			break
		}
		if published.snapshot == execution.SnapshotID {
			replacedAt = time.Time{}
			if index+1 < len(h.publications) && h.publications[index+1].at.Before(at) {
				replacedAt = h.publications[index+1].at
			}
		}
	}
	if replacedAt.IsZero() {
		return 0
	}
	return at.Sub(replacedAt)
}

func snapshotIn(write platform.Write) string {
	message, err := catalog.DecodeManifest(catalog.Entry{Value: []byte(write.Value)})
	if err != nil {
		return ""
	}
	return message.GetSnapshotId()
}

func changeIDIn(value string) string {
	envelope, err := catalog.OpenEnvelope([]byte(value))
	if err != nil {
		return ""
	}
	return envelope.ChangeID
}
