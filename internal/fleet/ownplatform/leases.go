package ownplatform

import (
	"context"
	"encoding/json"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/config/catalog"
	"github.com/portgauge/portgauge/internal/config/store"
)

var _ store.Lessor = (*Client)(nil)

// Grant implements store.Lessor.
func (c *Client) Grant(ctx context.Context, timeToLive time.Duration) (int64, time.Duration, error) {
	response, err := c.store.GrantLease(ctx, &platformv1.GrantLeaseRequest{TimeToLiveMillis: timeToLive.Milliseconds()})
	if err != nil {
		return 0, 0, merry.Prepend(err, "store grant lease")
	}
	return response.GetLease(), time.Duration(response.GetTimeToLiveMillis()) * time.Millisecond, nil
}

// Renew implements store.Lessor.
func (c *Client) Renew(ctx context.Context, lease int64) error {
	_, err := c.store.KeepLease(ctx, &platformv1.KeepLeaseRequest{Lease: lease})
	return wrapLeaseError(err, "store keep lease")
}

// Revoke implements store.Lessor.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	_, err := c.store.EndLease(ctx, &platformv1.EndLeaseRequest{Lease: lease})
	return wrapLeaseError(err, "store end lease")
}

// PutLeased implements store.Lessor.
func (c *Client) PutLeased(ctx context.Context, key string, document json.RawMessage, lease int64) error {
	value, err := catalog.NewDocument("", document, nil)
	if err != nil {
		return err
	}
	_, err = c.store.PutLeased(ctx, &platformv1.PutLeasedRequest{Key: key, Value: value, Lease: lease})
	return wrapLeaseError(err, "store put leased")
}

// wrapLeaseError prepends the name of the call to an error. NOT_FOUND means that the lease has expired or was revoked, and
// becomes store.ErrLeaseGone.
func wrapLeaseError(err error, call string) error {
	if status.Code(err) == codes.NotFound {
		return merry.Prepend(store.ErrLeaseGone, call)
	}
	return merry.Prepend(err, call)
}
