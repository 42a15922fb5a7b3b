package daemon

import (
	"context"
	"errors"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
)

const (
	// minMachinePollInterval is the minimum time between two reads of the platform's list
	// of machines.
	minMachinePollInterval = time.Second
	// maxMachineReadsPerSecond is how often all hosts together may read the list.
	maxMachineReadsPerSecond = 300
)

// machineList is the platform's list of machines as last read, by kind.
type machineList struct {
	entryHosts     []objectstore.Machine
	backendServers []objectstore.Machine
}

// pollMachines reads the platform's list of machines every machinePollInterval until the
// context ends.
func (d *daemon) pollMachines(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.readMachines(ctx); err != nil {
			d.log.Write(observe.MachineListUnreadable, zap.Error(err))
		}
		sleep(ctx, d.machinePollInterval())
	}
}

// machinePollInterval returns the time between two reads of the list by this host. It
// grows with the number of hosts, to keep their reads together within
// maxMachineReadsPerSecond.
func (d *daemon) machinePollInterval() time.Duration {
	hosts := len(d.nonDrainingHosts())
	return max(minMachinePollInterval, time.Duration(hosts)*time.Second/maxMachineReadsPerSecond)
}

// readMachines reads the list of machines and passes it to the components that use it.
func (d *daemon) readMachines(ctx context.Context) error {
	machines, err := d.machineDirectory.Machines(ctx)
	var invalid *objectstore.InvalidMachinesError
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	list := &machineList{}
	for _, m := range machines {
		switch m.Kind {
		case objectstore.EntryHost:
			list.entryHosts = append(list.entryHosts, m)
		case objectstore.BackendServer:
			list.backendServers = append(list.backendServers, m)
		}
	}
	d.machines.Store(list)
	d.fleetNode.SetMachines(machines)
	d.pool.SetMachines(list.backendServers)
	d.refreshLimits()
	// New backend servers may have slots for queued requests.
	d.handler.DispatchQueued()
	return err
}

// isEntryHost reports whether the address is that of an entry host on the platform's
// list.
func (d *daemon) isEntryHost(address netip.AddrPort) bool {
	list := d.machines.Load()
	return list != nil && slices.ContainsFunc(list.entryHosts, func(m objectstore.Machine) bool { return m.Address == address })
}

// updateHostSelector replaces the host selector by one for the current hosts and client
// blocks.
func (d *daemon) updateHostSelector() {
	blocks := d.clientBlocks.Load()
	if blocks == nil {
		return
	}
	d.hostSelector.Store(steer.NewHostSelector(d.lookUpHosts(), *blocks))
}
