package lease

import (
	"fmt"
	"time"
)

// HeldByOtherError reports that another candidate holds the lease.
type HeldByOtherError struct {
	Key  string
	Term Term
	// RetryAfter is the minimum time before this candidate may take the lease
	// over if its holder doesn't renew it.
	RetryAfter time.Duration
}

func (e *HeldByOtherError) Error() string {
	return fmt.Sprintf("lease %q is held by %q under epoch %d; retry in %s", e.Key, e.Term.Holder, e.Term.Epoch, e.RetryAfter)
}

// NotHeldError reports that this candidate doesn't hold the lease, or no longer
// holds it.
type NotHeldError struct {
	Key string
}

func (e *NotHeldError) Error() string {
	return fmt.Sprintf("lease %q is not held by this process", e.Key)
}

// StaleEpochError reports that a fenced write was rejected because the object has
// a later epoch. Nothing was written.
type StaleEpochError struct {
	Key         string
	WriterEpoch Epoch
	ObjectEpoch Epoch
}

func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("object %q was taken over by epoch %d; epoch %d may not write it", e.Key, e.ObjectEpoch, e.WriterEpoch)
}

// CorruptValueError reports a stored value that can't be decoded.
type CorruptValueError struct {
	Key   string
	Cause error
}

func (e *CorruptValueError) Error() string {
	return fmt.Sprintf("value of object %q can't be decoded: %v", e.Key, e.Cause)
}

func (e *CorruptValueError) Unwrap() error { return e.Cause }
