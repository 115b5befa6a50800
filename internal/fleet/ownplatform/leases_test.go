package ownplatform

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
)

// A document written under a lease can be read like any other, and is deleted when the lease ends.
func TestLeasedDocumentIsDeletedWithItsLease(t *testing.T) {
	is := is.New(t)
	client := start(t)
	lease, granted, err := client.Grant(t.Context(), time.Minute)
	is.NoErr(err)
	is.Equal(granted, time.Minute)
	is.NoErr(client.PutLeased(t.Context(), "k", []byte(`{"id":"n"}`), lease))
	entry, err := client.Get(t.Context(), "k")
	is.NoErr(err)
	document, err := catalog.DecodeDocument(*entry)
	is.NoErr(err)
	is.Equal(string(document), `{"id":"n"}`)
	is.NoErr(client.Renew(t.Context(), lease))
	is.NoErr(client.Revoke(t.Context(), lease))
	entry, err = client.Get(t.Context(), "k")
	is.NoErr(err)
	is.True(entry.Deleted)
	is.True(errors.Is(client.Renew(t.Context(), lease), store.ErrLeaseGone))
	is.True(errors.Is(client.Revoke(t.Context(), lease), store.ErrLeaseGone))
	is.True(errors.Is(client.PutLeased(t.Context(), "k", []byte(`1`), lease), store.ErrLeaseGone))
}
