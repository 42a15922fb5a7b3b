package daemon

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/steer"
)

const (
	// machinesPeriod is the least time between two reads of the platform's list.
	machinesPeriod = time.Second
	// machineReads is how many reads a second all hosts together may make.
	machineReads = 300
)

// machineList is one reading of the platform's list.
type machineList struct {
	entries  []objectstore.Machine
	backends []objectstore.Machine
}

// followMachines reads the platform's list until the context ends.
func (d *daemon) followMachines(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.readMachines(ctx); err != nil {
			d.log.Write(observe.MachineListUnreadable, zap.Error(err))
		}
		pause(ctx, d.machinesPause())
	}
}

// machinesPause keeps the calls of all hosts together under machineReads a
// second.
func (d *daemon) machinesPause() time.Duration {
	hosts := len(d.working())
	return max(machinesPeriod, time.Duration(hosts)*time.Second/machineReads)
}

func (d *daemon) readMachines(ctx context.Context) error {
	machines, err := d.directory.Machines(ctx)
	if err != nil {
		return err
	}
	list := &machineList{}
	for _, m := range machines {
		switch m.Kind {
		case objectstore.EntryHost:
			list.entries = append(list.entries, m)
		case objectstore.BackendServer:
			list.backends = append(list.backends, m)
		}
	}
	d.machines.Store(list)
	d.node.SetMachines(machines)
	d.pool.SetMachines(list.backends)
	d.refreshLimits()
	d.handler.Wake()
	return nil
}

// isEntryHost tells whether the address is that of an entry host on the
// platform's list.
func (d *daemon) isEntryHost(address netip.AddrPort) bool {
	list := d.machines.Load()
	return list != nil && slices.ContainsFunc(list.entries, func(m objectstore.Machine) bool { return m.Address == address })
}

// refreshLookup rebuilds the look-up answers from what is known now.
func (d *daemon) refreshLookup() {
	blocks := d.blocks.Load()
	if blocks == nil {
		return
	}
	d.lookup.Store(steer.NewHostSelector(d.lookupHosts(), *blocks))
}
