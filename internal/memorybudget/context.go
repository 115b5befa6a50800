package memorybudget

import "context"

type holdKey struct{}

// NewContext returns a context whose reservations a hold keeps.
func NewContext(ctx context.Context, hold *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, hold)
}

// FromContext returns the hold of a context; nil if it has none.
func FromContext(ctx context.Context) *Hold {
	hold, _ := ctx.Value(holdKey{}).(*Hold)
	return hold
}
