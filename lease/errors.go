package lease

import (
	"fmt"
	"time"
)

// HeldError reports that another holder has the lease.
type HeldByOtherError struct {
	Key  string
	Term Term
	// RetryAfter is how long this candidate waits, at the least, before it may take
	// over from a holder that doesn't renew.
	RetryAfter time.Duration
}

func (e *HeldByOtherError) Error() string {
	return fmt.Sprintf("lease %q is held by %q under epoch %d; retry in %s", e.Key, e.Term.Holder, e.Term.Epoch, e.RetryAfter)
}

// LapsedError reports that this candidate doesn't hold the lease, or no longer.
type NotHeldError struct {
	Key string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease %q is not held here", e.Key)
}

// StaleEpochError reports a fenced write that a later epoch has shut out;
// nothing was written.
type StaleEpochError struct {
	Key         string
	WriterEpoch Epoch
	ObjectEpoch Epoch
}

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("object %q belongs to epoch %d, epoch %d may not write it", e.Key, e.ObjectEpoch, e.WriterEpoch)
}

// RecordError reports a value in the store that can't be read.
type CorruptValueError struct {
	Key   string
	Cause error
}

func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("value of %q can't be read: %v", e.Key, e.Cause)
}

func (e *CorruptValueError) Unwrap() error { return e.Cause }
