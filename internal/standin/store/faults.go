package store

import (
	"maps"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Faults is the set of failures that a [Memory] simulates. The zero value
// simulates none.
type Faults struct {
	// Down makes every call to the object store fail with an
	// [objectstore.UnavailableError].
	Down bool
	// MachineListDown does the same for calls to the machine list.
	MachineListDown bool
	// Delay is added to each call that is not failed at once. Of a write's delay,
	// half passes before the write takes effect and half after; a write that
	// fails its condition, or whose reply is dropped, waits for the first half
	// only.
	Delay time.Duration
	// DropWriteReplies is the number of writes, from now on, that take effect but
	// get no reply; a negative number means all writes.
	DropWriteReplies int
	// StaleWatch makes watches return the objects of the snapshot that
	// [Memory.SetFaults] takes.
	StaleWatch bool
	// StaleReads makes gets and lists return the objects of the same snapshot.
	StaleReads bool
}

// servesSnapshot reports whether any call returns objects of the snapshot.
func (f Faults) servesSnapshot() bool { return f.StaleWatch || f.StaleReads }

// downError is the cause of failed calls to a store that is down.
type downError struct{}

func (*downError) Error() string { return "the store is down" }

// lostReplyError is the cause of the unknown outcome of a write whose reply was
// dropped.
type lostReplyError struct{}

func (*lostReplyError) Error() string { return "the reply was lost" }

// SetFaults replaces the simulated faults, and applies them to pending watches
// too. It takes a snapshot of the objects when the first of StaleWatch and
// StaleReads is set, and keeps it until both are cleared.
func (m *Memory) SetFaults(faults Faults) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if faults.servesSnapshot() && !m.faults.servesSnapshot() {
		m.snapshot = maps.Clone(m.objects)
		m.snapshotVersion = m.version
	}
	m.faults = faults
	m.notifyWatches()
}

// Faults returns the faults that are currently simulated.
func (m *Memory) Faults() Faults {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.faults
}

// checkStoreUp returns an [objectstore.UnavailableError] if the store is down.
func (m *Memory) checkStoreUp(key string) error {
	if !m.Faults().Down {
		return nil
	}
	return unavailableError(key, &downError{})
}

// checkMachineListUp returns an [objectstore.UnavailableError] if the machine
// list is down.
func (m *Memory) checkMachineListUp() error {
	if !m.Faults().MachineListDown {
		return nil
	}
	return unavailableError("machines", &downError{})
}

// consumeReplyDrop reports whether the reply to the current write is dropped,
// and counts the drop. The caller holds m.mu.
func (m *Memory) consumeReplyDrop() bool {
	if m.faults.DropWriteReplies == 0 {
		return false
	}
	if m.faults.DropWriteReplies > 0 {
		m.faults.DropWriteReplies--
	}
	return true
}

func unavailableError(key string, cause error) error {
	return &objectstore.UnavailableError{
		Key:   key,
		Cause: cause,
	}
}

func unknownOutcomeError(key string, cause error) error {
	return &objectstore.UnknownOutcomeError{
		Key:   key,
		Cause: cause,
	}
}
