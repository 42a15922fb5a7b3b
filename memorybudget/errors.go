package memorybudget

import (
	"fmt"
	"time"
)

// RefusedError reports a reservation for which there was no memory in time.
type RefusedError struct {
	// Bytes is the size of the reservation.
	Bytes  int64
	Waited time.Duration
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("no memory for %d more bytes after %s", e.Bytes, e.Waited)
}

// Reason is why a holding was evicted.
type Reason string

// The reasons.
const (
	// Stalled: it transferred nothing for [Window].
	Stalled Reason = "stalled"
	// Slow: its group held the most, and it transferred less than [MinRate].
	Slow Reason = "slow"
	// Displaced: its group held the most, and another's reservation had waited for [Window].
	Displaced Reason = "displaced"
	// SlotNeeded: it stalled while other requests waited for its slot on a backend server.
	SlotNeeded Reason = "slot-needed"
)

// EvictedError reports that a holding was evicted.
type EvictedError struct {
	Reason Reason
}

func (e *EvictedError) Error() string {
	return "evicted from memory: " + string(e.Reason)
}
