package replay

import (
	"sort"
	"time"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/lab/leaf"
	"github.com/portgauge/portgauge/internal/lab/platform"
)

// publication is a snapshot that the store accepted at a time.
type publication struct {
	snapshot string
	at       time.Time
}

// history has the publications of a service in order.
type history struct {
	published []publication
}

func currentSnapshots(e *recording, service string) history {
	var found history
	for _, write := range e.writes {
		if write.Key != catalog.SnapshotKey(service) || write.Deleted {
			continue
		}
		if snapshot := snapshotIn(write); snapshot != "" {
			found.published = append(found.published, publication{snapshot: snapshot, at: time.UnixMicro(write.At)})
		}
	}
	sort.Slice(found.published, func(i, j int) bool { return found.published[i].at.Before(found.published[j].at) })
	return found
}

// age returns how long before an execution its snapshot had been replaced, or 0.
func (h history) age(execution leaf.Execution) time.Duration {
	at := time.UnixMicro(execution.At)
	replacedAt := time.Time{}
	for index, published := range h.published {
		if published.at.After(at) {
			break
		}
		if published.snapshot == execution.SnapshotID {
			replacedAt = time.Time{}
			if index+1 < len(h.published) && h.published[index+1].at.Before(at) {
				replacedAt = h.published[index+1].at
			}
		}
	}
	if replacedAt.IsZero() {
		return 0
	}
	return at.Sub(replacedAt)
}

func snapshotIn(write platform.Write) string {
	message, err := catalog.DecodeSnapshot(catalog.Entry{Value: []byte(write.Value)})
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
