package store

import (
	"cmp"
	"context"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// machineChange is a change to the machine list, which becomes visible
// MachineLag after At.
type machineChange struct {
	At      time.Time
	Machine objectstore.Machine
	Removed bool
}

// RegisterMachine adds a machine to the list, or replaces its entry. The change
// becomes visible after MachineLag.
func (m *Memory) RegisterMachine(machine objectstore.Machine) {
	m.enqueueMachineChange(machine, false)
}

// UnregisterMachine removes a machine from the list. The change becomes visible
// after MachineLag.
func (m *Memory) UnregisterMachine(name string) {
	m.enqueueMachineChange(objectstore.Machine{
		Name: name,
	}, true)
}

// Machines implements [objectstore.Directory].
func (m *Memory) Machines(ctx context.Context) ([]objectstore.Machine, error) {
	m.calls.Add(objectstore.MachinesCall)
	if err := m.checkMachineListUp(); err != nil {
		return nil, err
	}
	if err := sleep(ctx, m.Faults().Delay); err != nil {
		return nil, unavailableError("machines", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.applyDueMachineChanges()
	list := make([]objectstore.Machine, 0, len(m.visibleMachines))
	for _, machine := range m.visibleMachines {
		list = append(list, machine)
	}
	slices.SortFunc(list, func(a, b objectstore.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return list, nil
}

func (m *Memory) enqueueMachineChange(machine objectstore.Machine, removed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingMachineChanges = append(m.pendingMachineChanges, machineChange{
		At:      m.now(),
		Machine: machine,
		Removed: removed,
	})
}

// applyDueMachineChanges makes the changes visible that were made at least
// MachineLag ago. The caller holds m.mu.
func (m *Memory) applyDueMachineChanges() {
	if m.visibleMachines == nil {
		m.visibleMachines = make(map[string]objectstore.Machine)
	}
	cutoff := m.now().Add(-m.MachineLag)
	for len(m.pendingMachineChanges) > 0 && !m.pendingMachineChanges[0].At.After(cutoff) {
		m.applyMachineChange(m.pendingMachineChanges[0])
		m.pendingMachineChanges = m.pendingMachineChanges[1:]
	}
}

func (m *Memory) applyMachineChange(change machineChange) {
	if change.Removed {
		delete(m.visibleMachines, change.Machine.Name)
		return
	}
	m.visibleMachines[change.Machine.Name] = change.Machine
}
