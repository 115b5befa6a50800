package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"

	platformv1 "github.com/portgauge/portgauge/gen/portgauge/platform/v1"
	"github.com/portgauge/portgauge/internal/lab/control"
	"github.com/portgauge/portgauge/internal/lab/hollow"
	"github.com/portgauge/portgauge/internal/lab/process"
	"github.com/portgauge/portgauge/internal/lab/retry"
)

// start starts the platform, the hosts of hollow nodes and the real nodes, and waits until all
// hollow nodes know their zones.
func (r *run) start(ctx context.Context) error {
	addresses, err := process.FreeAddresses(2 + r.config.Hosts + 3*r.config.RealNodes)
	if err != nil {
		return err
	}
	r.platformAddress, r.platformControl, addresses = addresses[0], addresses[1], addresses[2:]
	r.platform, err = process.Start("platform", r.programs.Lab, "platform", "--address", r.platformAddress, "--control", r.platformControl,
		"--calls-per-second", fmt.Sprint(callsPerSecond))
	if err != nil {
		return err
	}
	for number := range r.config.Hosts {
		if err := r.startHost(number, addresses[number]); err != nil {
			return err
		}
	}
	nodes, err := r.hollowNodes(ctx)
	if err != nil {
		return err
	}
	addresses = addresses[r.config.Hosts:]
	for number := range r.config.RealNodes {
		own := addresses[3*number : 3*number+3]
		if err := r.startReal(number, own); err != nil {
			return err
		}
		nodes = append(nodes, hollow.NodeAddress{ID: fmt.Sprintf("real-%d", number), Address: own[2], Zone: zoneName(number % r.config.Zones)})
	}
	if err := control.Put(ctx, r.platformControl, "/machines", machinesOf(nodes)); err != nil {
		return err
	}
	for _, address := range r.controls {
		if err := control.Put(ctx, address, "/begin", nil); err != nil {
			return err
		}
	}
	return r.waitUntilReady(ctx)
}

func zoneName(number int) string { return fmt.Sprintf("zone-%02d", number) }

func (r *run) startHost(number int, controlAddress string) error {
	first := number * r.config.Nodes / r.config.Hosts
	end := (number + 1) * r.config.Nodes / r.config.Hosts
	arguments := []string{
		"hollow", "--name", "hollow", "--first", fmt.Sprint(first), "--count", fmt.Sprint(end - first),
		"--platform", r.platformAddress, "--control", controlAddress,
	}
	for zone := range r.config.Zones {
		arguments = append(arguments, "--zones", zoneName(zone))
	}
	host, err := process.Start(fmt.Sprintf("host-%d", number), r.programs.Lab, arguments...)
	if err != nil {
		return err
	}
	r.hosts = append(r.hosts, host)
	r.controls = append(r.controls, controlAddress)
	return nil
}

func (r *run) startReal(number int, addresses []string) error {
	real, err := process.Start(fmt.Sprintf("real-%d", number), r.programs.Portgauge, "node",
		"--set", fmt.Sprintf("node.id=real-%d", number), "--set", "node.zone="+zoneName(number%r.config.Zones),
		"--set", "listen.callers="+addresses[0], "--set", "listen.operators="+addresses[1], "--set", "listen.peers="+addresses[2],
		"--set", "platform.address="+r.platformAddress)
	if err != nil {
		return err
	}
	r.reals = append(r.reals, real)
	r.operators = append(r.operators, addresses[1])
	return nil
}

func (r *run) hollowNodes(ctx context.Context) ([]hollow.NodeAddress, error) {
	var nodes []hollow.NodeAddress
	for number, address := range r.controls {
		var report hollow.Report
		err := retry.Eventually(ctx, startTimeout, func() error { return control.Get(ctx, address, "/nodes", &report) })
		if err != nil {
			return nil, merry.Prepend(err, r.hosts[number].Output())
		}
		nodes = append(nodes, report.Nodes...)
	}
	return nodes, nil
}

func machinesOf(nodes []hollow.NodeAddress) []*platformv1.Machine {
	var list []*platformv1.Machine
	for _, node := range nodes {
		list = append(list, &platformv1.Machine{
			Id: node.ID, Address: node.Address, Zone: node.Zone, Role: "node", State: platformv1.MachineState_MACHINE_STATE_LIVE,
		})
	}
	return list
}

var errNotReady = merry.New("the fleet is not ready")

func (r *run) waitUntilReady(ctx context.Context) error {
	perZone := r.config.Nodes / r.config.Zones
	began := time.Now()
	err := retry.Eventually(ctx, startTimeout, func() error {
		total, err := r.report(ctx)
		if err != nil {
			return err
		}
		if total.Ready < r.config.Nodes || total.MembersLowest < perZone {
			return merry.Appendf(errNotReady, "%d of %d have configuration, the least zone view has %d members", total.Ready, r.config.Nodes, total.MembersLowest)
		}
		return nil
	})
	r.logf("%d hollow nodes in %d zones ready after %.1f s", r.config.Nodes, r.config.Zones, time.Since(began).Seconds())
	return err
}
