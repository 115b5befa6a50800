package scale

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	adminv1 "github.com/portgauge/portgauge/gen/portgauge/admin/v1"
	"github.com/portgauge/portgauge/gen/portgauge/admin/v1/adminv1connect"
	"github.com/portgauge/portgauge/internal/api"
	"github.com/portgauge/portgauge/internal/lab/retry"
)

// serviceCount is how many services the changes are spread over.
const serviceCount = 10

// changer changes services in turn through one node, as operators' automation does.
type changer struct {
	client     adminv1connect.AdminServiceClient
	specs      []*adminv1.ServiceSpec
	revisions  []int64
	next       int
	valueBytes int
}

func newChanger(client adminv1connect.AdminServiceClient, config Config) *changer {
	made := &changer{client: client, revisions: make([]int64, serviceCount)}
	for number := range serviceCount {
		spec := &adminv1.ServiceSpec{Name: fmt.Sprintf("service-%02d", number)}
		for leaf := range config.Leafs {
			spec.Leafs = append(spec.Leafs, &adminv1.Leaf{
				Id: fmt.Sprintf("leaf-%02d-%04d", number, leaf), Address: fmt.Sprintf("10.%d.%d.%d:7500", number, leaf/200, leaf%200+1),
				Zone: zoneName(leaf % config.Zones),
			})
		}
		made.specs = append(made.specs, spec)
	}
	made.valueBytes = proto.Size(made.specs[0])
	return made
}

// createAll creates the services; the first call may come before its node is ready.
func (c *changer) createAll(ctx context.Context) error {
	for range c.specs {
		err := retry.Eventually(ctx, startTimeout, func() error {
			_, err := c.change(ctx)
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// change applies the next service with a new limit and gives the revision that accepted it.
func (c *changer) change(ctx context.Context) (int64, error) {
	number := c.next % len(c.specs)
	spec := c.specs[number]
	spec.ConcurrencyLimit = uint32(1 + (c.next/len(c.specs))%1000)
	response, err := c.client.ApplyService(ctx, connect.NewRequest(&adminv1.ApplyServiceRequest{
		Spec: spec, ExpectedRevision: c.revisions[number],
	}))
	if err != nil {
		return 0, api.FailureOf(err)
	}
	c.next++
	c.revisions[number] = response.Msg.GetRevision()
	return c.revisions[number], nil
}

// steadily brings changes at a daily rate for a while.
func (c *changer) steadily(ctx context.Context, span time.Duration, perDay int) ([]int64, error) {
	interval := 24 * time.Hour / time.Duration(perDay)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var revisions []int64
	for end := time.Now().Add(span); time.Now().Before(end); {
		revision, err := c.change(ctx)
		if err != nil {
			return revisions, err
		}
		revisions = append(revisions, revision)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return revisions, ctx.Err()
		}
	}
	return revisions, nil
}

// burst brings so many changes, spread over a span.
func (c *changer) burst(ctx context.Context, count int, span time.Duration) ([]int64, error) {
	var revisions []int64
	began := time.Now()
	for number := range count {
		time.Sleep(time.Until(began.Add(span * time.Duration(number) / time.Duration(count))))
		revision, err := c.change(ctx)
		if err != nil {
			return revisions, err
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}
