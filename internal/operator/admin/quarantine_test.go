package admin

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/quarantine"
	"github.com/portgauge/portgauge/internal/quarantine/fingerprint"
)

// Lifting a quarantine with another revision than the current one must be a conflict.
func TestQuarantineIsListedAndLifted(t *testing.T) {
	is := is.New(t)
	admin, cat := newTestAdmin()
	content := fingerprint.Of(fingerprint.Content{Path: "/a"})
	record := quarantine.Record{Subject: quarantine.NewSubject(content, "/a", "192.0.2.1"), Leafs: []string{"x", "y"}, Retests: 1, FoundBy: "n1"}
	document, err := json.Marshal(record)
	is.NoErr(err)
	value, err := catalog.NewDocument("", document, nil)
	is.NoErr(err)
	_, err = admin.store.CompareAndSwap(t.Context(), catalog.QuarantineKey(content.String()), 0, value, false)
	is.NoErr(err)

	listed := admin.ListQuarantine().GetRequests()
	is.Equal(len(listed), 1)
	is.Equal(listed[0].GetContent(), content.String())
	is.Equal(listed[0].GetPath(), "/a")
	is.Equal(listed[0].GetLeafs(), []string{"x", "y"})
	is.Equal(listed[0].GetTrials(), int32(1))

	lift := func(text string, revision int64) error {
		_, err := admin.LiftQuarantine(t.Context(), &adminv1.LiftQuarantineRequest{Content: text, ExpectedRevision: revision})
		return err
	}
	is.Equal(failure.From(lift("zz", 1)).Field, "content")
	is.Equal(failure.From(lift(content.String(), 0)).Field, "expected_revision")
	is.True(failure.Is(lift(content.String(), listed[0].GetRevision()+1), failure.RevisionConflict))
	is.True(cat.Quarantine(content) != nil)
	is.NoErr(lift(content.String(), listed[0].GetRevision()))
	is.True(cat.Quarantine(content) == nil)
	is.Equal(len(admin.ListQuarantine().GetRequests()), 0)
}
