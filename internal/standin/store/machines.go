package store

import (
	"cmp"
	"context"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// machineEvent is a change to the list that becomes visible after the lag.
type machineEvent struct {
	At      time.Time
	Machine objectstore.Machine
	Removed bool
}

// Register adds a machine to the list, or changes its entry. It shows after
// the lag.
func (m *Memory) RegisterMachine(machine objectstore.Machine) {
	m.record(machine, false)
}

// UnregisterMachine takes a machine off the list. It stays listed for the lag.
func (m *Memory) UnregisterMachine(name string) {
	m.record(objectstore.Machine{
		Name: name,
	}, true)
}

// Machines implements [objectstore.Directory].
func (m *Memory) Machines(ctx context.Context) ([]objectstore.Machine, error) {
	m.calls.Add(objectstore.MachinesCall)
	if err := m.checkListUp(); err != nil {
		return nil, err
	}
	if err := sleep(ctx, m.Faults().Delay); err != nil {
		return nil, unreached("machines", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	list := make([]objectstore.Machine, 0, len(m.listed))
	for _, machine := range m.listed {
		list = append(list, machine)
	}
	slices.SortFunc(list, func(a, b objectstore.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

func (m *Memory) record(machine objectstore.Machine, removed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pending = append(m.pending, machineEvent{
		At:      m.now(),
		Machine: machine,
		Removed: removed,
	})
}

// settle makes the changes visible that are older than the lag. The caller
// holds the lock.
func (m *Memory) settle() {
	if m.listed == nil {
		m.listed = make(map[string]objectstore.Machine)
	}
	visible := m.now().Add(-m.MachineLag)
	for len(m.pending) > 0 && !m.pending[0].At.After(visible) {
		m.show(m.pending[0])
		m.pending = m.pending[1:]
	}
}

func (m *Memory) show(event machineEvent) {
	if event.Removed {
		delete(m.listed, event.Machine.Name)
		return
	}
	m.listed[event.Machine.Name] = event.Machine
}
