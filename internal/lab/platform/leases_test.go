package platform

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
)

const lives = 30 * time.Second

// leased returns a platform with key "k" under a lease.
type leased struct {
	*Platform
	t     *testing.T
	lease int64
}

func newLeased(t *testing.T) *leased {
	t.Helper()
	p := New(1000)
	granted, err := p.GrantLease(t.Context(), &platformv1.GrantLeaseRequest{TimeToLiveMillis: lives.Milliseconds()})
	if err != nil {
		t.Fatal(err)
	}
	_, err = p.PutLeased(t.Context(), &platformv1.PutLeasedRequest{Key: "k", Value: []byte("v"), Lease: granted.GetLease()})
	if err != nil {
		t.Fatal(err)
	}
	return &leased{p, t, granted.GetLease()}
}

// isThere reports whether the key exists.
func (l *leased) isThere() bool {
	l.t.Helper()
	read, err := l.Get(l.t.Context(), &platformv1.GetRequest{Key: "k"})
	if err != nil {
		l.t.Fatal(err)
	}
	return !read.GetEntry().GetDeleted()
}

func (l *leased) keep() error {
	_, err := l.KeepLease(l.t.Context(), &platformv1.KeepLeaseRequest{Lease: l.lease})
	return err
}

func inLease(t *testing.T, test func(is *is.I, l *leased)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { test(is.New(t), newLeased(t)) })
}

func TestKeysGoWithALeaseThatIsNotKept(t *testing.T) {
	inLease(t, func(is *is.I, l *leased) {
		for range 3 {
			time.Sleep(lives - time.Second)
			is.NoErr(l.keep())
			is.True(l.isThere())
		}
		time.Sleep(lives + time.Millisecond)
		is.True(!l.isThere())
		is.Equal(status.Code(l.keep()), codes.NotFound)
		_, err := l.PutLeased(t.Context(), &platformv1.PutLeasedRequest{Key: "k", Lease: l.lease})
		is.Equal(status.Code(err), codes.NotFound)
	})
}

func TestNoLeaseEndsWhileTheStoreIsDown(t *testing.T) {
	inLease(t, func(is *is.I, l *leased) {
		l.SetFaults(Faults{StoreDown: true})
		time.Sleep(10 * lives)
		l.SetFaults(Faults{})
		is.True(l.isThere())
		is.NoErr(l.keep())
		time.Sleep(lives + time.Millisecond)
		is.True(!l.isThere())
	})
}

// A key that was written again is no longer under its lease.
func TestKeyWrittenAnewOutlivesTheLease(t *testing.T) {
	inLease(t, func(is *is.I, l *leased) {
		read, err := l.Get(t.Context(), &platformv1.GetRequest{Key: "k"})
		is.NoErr(err)
		swapped, err := l.CompareAndSwap(t.Context(), &platformv1.CompareAndSwapRequest{Key: "k", ExpectedRevision: read.GetEntry().GetRevision()})
		is.NoErr(err)
		is.True(swapped.GetSwapped())
		_, err = l.EndLease(t.Context(), &platformv1.EndLeaseRequest{Lease: l.lease})
		is.NoErr(err)
		is.True(l.isThere())
	})
}
