package catalog

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

func contentOf(path string) fingerprint.Fingerprint {
	return fingerprint.Of(fingerprint.Content{Path: path})
}

func quarantineChange(t interface{ Fatal(...any) }, revision int64, path string, deleted bool) Change {
	document, err := json.Marshal(quarantine.Record{Subject: quarantine.NewSubject(contentOf(path), path, ""), FoundBy: "n"})
	if err != nil {
		t.Fatal(err)
	}
	value, err := NewDocument("", document, nil)
	if err != nil {
		t.Fatal(err)
	}
	return Change{Entry: Entry{Key: QuarantineKey(contentOf(path).String()), Value: value, Revision: revision, Deleted: deleted}, Previous: revision - 1}
}

// In any order of changes and whole states, the requests quarantined on a node match the store at the node's revision.
func TestQuarantineMatchesStoreInAnyInterleaving(t *testing.T) {
	paths := []string{"/a", "/b"}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 12).Draw(t, "changes")
		var log []Change
		for revision := range int64(count) {
			log = append(log, quarantineChange(t, revision+1, rapid.SampledFrom(paths).Draw(t, "path"), rapid.Bool().Draw(t, "lifted")))
		}
		node := New(func(key string, err error) { t.Fatal(key, err) })
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			from := rapid.IntRange(0, count-1).Draw(t, "from")
			to := rapid.IntRange(from+1, count).Draw(t, "to")
			if rapid.Bool().Draw(t, "whole") {
				node.Replace(withoutTombstones(stateAt(log, int64(to))))
			} else {
				node.ApplyAll(log[from:to])
			}
			wanted := map[string]int64{}
			for _, entry := range withoutTombstones(stateAt(log, node.Revision())).Entries {
				wanted[entry.Key] = entry.Revision
			}
			for _, path := range paths {
				record, revision := node.Quarantine(contentOf(path)), wanted[QuarantineKey(contentOf(path).String())]
				if (record != nil) != (revision > 0) || record != nil && record.Revision != revision {
					t.Fatalf("%s: %v at %d, wanted revision %d", path, record, node.Revision(), revision)
				}
			}
		}
	})
}

// A record under the key of another request, or under a key that isn't a fingerprint, is rejected.
func TestQuarantineRecordMustMatchItsKey(t *testing.T) {
	is := is.New(t)
	rejections := 0
	node := New(func(string, error) { rejections++ })
	wrong := quarantineChange(t, 1, "/a", false)
	wrong.Entry.Key = QuarantineKey(contentOf("/b").String())
	is.True(node.Apply(wrong))
	none := quarantineChange(t, 2, "/a", false)
	none.Entry.Key = QuarantineKey("none")
	is.True(node.Apply(none))
	is.Equal(rejections, 2)
	is.Equal(len(node.View().Quarantine), 0)
}
