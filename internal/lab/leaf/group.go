package leaf

import (
	"context"
	"net/http"

	"github.com/gin-gonic/gin"
	"golang.org/x/sync/errgroup"

	"github.com/portgauge/portgauge/internal/failure"
	"github.com/portgauge/portgauge/internal/lab/control"
)

// Group is many leafs in one process, each on an address of its own.
type Group struct {
	leafs     []*Leaf
	addresses []string
}

// GroupFaults sets the faults of the leafs numbered from First to before End.
type GroupFaults struct {
	First  int    `json:"first"`
	End    int    `json:"end"`
	Faults Faults `json:"faults"`
}

// GroupCounts is what the leafs of a group ran and refused so far.
type GroupCounts struct {
	Executions int64   `json:"executions"`
	Refusals   int64   `json:"refusals"`
	PerLeaf    []int64 `json:"per_leaf"`
}

// NewGroup makes leafs of one configuration, with the given ids and addresses.
func NewGroup(config Config, ids, addresses []string) (*Group, error) {
	if len(ids) != len(addresses) || len(ids) == 0 {
		return nil, failure.Invalid("addresses", "%d addresses for %d leafs", len(addresses), len(ids))
	}
	group := &Group{addresses: addresses}
	for number, id := range ids {
		own := config
		own.ID = id
		made, err := New(own)
		if err != nil {
			return nil, err
		}
		if number > 0 {
			made.indexes = group.leafs[0].indexes
		}
		group.leafs = append(group.leafs, made)
	}
	return group, nil
}

// Serve serves all leafs, and the group's control calls, until the context ends.
func (g *Group) Serve(ctx context.Context, controlAddress string) error {
	var serving errgroup.Group
	for number, served := range g.leafs {
		serving.Go(func() error { return served.Serve(ctx, g.addresses[number], "") })
	}
	router := control.NewRouter()
	router.PUT("/faults", func(c *gin.Context) {
		var change GroupFaults
		if !control.Read(c, &change) {
			return
		}
		if change.First < 0 || change.End > len(g.leafs) || change.First > change.End {
			control.Refuse(c, failure.Invalid("first, end", "must lie within the %d leafs", len(g.leafs)))
			return
		}
		for _, changed := range g.leafs[change.First:change.End] {
			if err := changed.SetFaults(change.Faults); err != nil {
				control.Refuse(c, err)
				return
			}
		}
		c.Status(http.StatusNoContent)
	})
	router.GET("/counts", func(c *gin.Context) { c.JSON(http.StatusOK, g.counts()) })
	serving.Go(func() error { return control.Serve(ctx, controlAddress, router) })
	return serving.Wait()
}

func (g *Group) counts() GroupCounts {
	var total GroupCounts
	for _, counted := range g.leafs {
		ran, refused := counted.executed.Load(), counted.refused.Load()
		total.Executions += ran
		total.Refusals += refused
		total.PerLeaf = append(total.PerLeaf, ran)
	}
	return total
}
