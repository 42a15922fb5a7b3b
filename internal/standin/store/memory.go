/*
Package store is an in-memory stand-in for the object store and the machine list
of the platform that trefoilline runs on, for tests and local runs. Entry hosts
read their configuration from the object store, keep shared state in it, and find
each other through the machine list. The stand-in can simulate outages, delays,
dropped replies and stale reads.

Tests use [Memory] directly; it waits with the time package only, so it runs
inside testing/synctest. [Server] serves a Memory over HTTP, and [NewCommand]
runs a Server as a process. [Link] connects one host to a Memory and can be
taken down.

# Usage

	memory := &store.Memory{}
	version, err := memory.Put(ctx, "table/head", value, objectstore.IfAbsent{})
	memory.SetFaults(store.Faults{
		DropWriteReplies: 1,
	})
*/
package store

import (
	"context"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Memory is an in-memory object store and machine list. Its zero value is empty
// and ready to use. It is safe for concurrent use.
type Memory struct {
	// Clock returns the time by which MachineLag is counted; nil means time.Now.
	// Delays and watches always use the time package.
	Clock func() time.Time
	// MachineLag is the delay after which a change to the machine list becomes
	// visible.
	MachineLag time.Duration

	calls objectstore.CallCounter

	mu      sync.Mutex
	version objectstore.Version
	// objects also holds deleted objects, because watches report deletions.
	objects map[string]objectstore.Object
	// nextChange is closed at the next write or change of faults; nil if
	// nothing waits for it.
	nextChange chan struct{}
	faults     Faults
	// snapshot is the copy of objects that stale calls return; see SetFaults.
	snapshot        map[string]objectstore.Object
	snapshotVersion objectstore.Version

	pendingMachineChanges []machineChange
	visibleMachines       map[string]objectstore.Machine
}

var (
	_ objectstore.Store     = (*Memory)(nil)
	_ objectstore.Directory = (*Memory)(nil)
)

func (m *Memory) now() time.Time {
	if m.Clock != nil {
		return m.Clock()
	}
	return time.Now()
}

// changeSignal returns a channel that is closed at the next write or change of
// faults. The caller holds m.mu.
func (m *Memory) changeSignal() <-chan struct{} {
	if m.nextChange == nil {
		m.nextChange = make(chan struct{})
	}
	return m.nextChange
}

// notifyWatches wakes all pending watches. The caller holds m.mu.
func (m *Memory) notifyWatches() {
	if m.nextChange == nil {
		return
	}
	close(m.nextChange)
	m.nextChange = nil
}

// sleep waits, and returns the context's error if the context ends first.
func sleep(ctx context.Context, wait time.Duration) error {
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
