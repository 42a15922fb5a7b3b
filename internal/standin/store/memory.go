/*
Package store stands in for the platform: its object store and its lagging
list of machines, in memory, with faults on command.

[Memory] is the platform itself and serves tests directly; its waits use the
time package only, so it runs inside testing/synctest. [Server] puts it behind
HTTP, and [NewCommand] runs that as a process. [Link] is one host's way to a
Memory, which can be cut.

# Usage

	memory := &store.Memory{}
	version, err := memory.Put(ctx, "table/head", value, objectstore.IfAbsent{})
	memory.SetFaults(store.Faults{
		LoseReplies: 1,
	})
*/
package store

import (
	"context"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Memory is a platform in memory. Its zero value is empty and ready, and it is
// safe for concurrent use.
type Memory struct {
	// Clock is nil for time.Now.
	Clock func() time.Time
	// MachineLag is how much later than the truth the list of machines is.
	MachineLag time.Duration

	calls objectstore.CallCounter

	mu      sync.Mutex
	version objectstore.Version
	// objects holds removed keys too, as watches report them.
	objects map[string]objectstore.Object
	// changed is closed at the next write or change of faults.
	changed chan struct{}
	faults  Faults
	// past is what stale calls see, fixed when staleness was commanded.
	past        map[string]objectstore.Object
	pastVersion objectstore.Version

	pending []machineEvent
	listed  map[string]objectstore.Machine
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

// changes returns the channel that the next change closes. The caller holds
// the lock.
func (m *Memory) changes() <-chan struct{} {
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	return m.changed
}

// announce wakes all waiting watches. The caller holds the lock.
func (m *Memory) announce() {
	if m.changed == nil {
		return
	}
	close(m.changed)
	m.changed = nil
}

// sleep waits or returns the context's error.
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
