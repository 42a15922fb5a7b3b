package daemon

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/steer"
)

// machinesPeriod is the time between two reads of the platform's list.
const machinesPeriod = time.Second

// machineList is one reading of the platform's list.
type machineList struct {
	entries  []platform.Machine
	backends []platform.Machine
}

// followMachines reads the platform's list until the context ends.
func (d *daemon) followMachines(ctx context.Context) {
	for ctx.Err() == nil {
		if err := d.readMachines(ctx); err != nil {
			d.log.Write(observe.MachinesUnreadable, zap.Error(err))
		}
		pause(ctx, machinesPeriod)
	}
}

func (d *daemon) readMachines(ctx context.Context) error {
	machines, err := d.directory.Machines(ctx)
	if err != nil {
		return err
	}
	list := &machineList{}
	for _, m := range machines {
		switch m.Kind {
		case platform.EntryHost:
			list.entries = append(list.entries, m)
		case platform.BackendServer:
			list.backends = append(list.backends, m)
		}
	}
	d.machines.Store(list)
	d.pool.SetMachines(list.backends)
	d.handler.Wake()
	d.refreshLookup()
	return nil
}

// refreshLookup rebuilds the look-up answers from what is known now.
func (d *daemon) refreshLookup() {
	list := d.machines.Load()
	blocks := d.blocks.Load()
	if list == nil || blocks == nil {
		return
	}
	hosts := make([]steer.Host, 0, len(list.entries))
	for _, m := range list.entries {
		if host, usable := d.lookupHost(m); usable {
			hosts = append(hosts, host)
		}
	}
	d.lookup.Store(steer.NewLookup(hosts, *blocks))
}

// lookupHost tells whether a listed entry host belongs in look-up answers.
func (d *daemon) lookupHost(m platform.Machine) (steer.Host, bool) {
	leaving := m.State == platform.Leaving
	if m.Name == d.settings.Host && d.leaving.Load() {
		leaving = true
	}
	return steer.Host{
		Name:     m.Name,
		Region:   m.Region,
		Zone:     m.Zone,
		Address:  m.Address,
		Leaving:  leaving,
		Headroom: 1,
	}, true
}

// addressOf returns the address of a listed entry host.
func (d *daemon) addressOf(host string) (netip.AddrPort, bool) {
	list := d.machines.Load()
	if list == nil {
		return netip.AddrPort{}, false
	}
	for _, m := range list.entries {
		if m.Name == host {
			return m.Address, true
		}
	}
	return netip.AddrPort{}, false
}
