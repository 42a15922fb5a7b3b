package objectstore

import "fmt"

// NotFoundError reports that the key does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no object %q in the store", e.Key)
}

// ConflictError reports that the condition of a write did not hold; nothing
// changed.
type ConflictError struct {
	Key string
	// CurrentVersion is the version that the key is at, zero if it does not exist.
	CurrentVersion Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, the condition of the write does not hold", e.Key, e.CurrentVersion)
}

// RefusedError reports that the store answered and did not carry out the call:
// it was malformed, too large, or over a limit. Nothing changed.
type RefusedError struct {
	Key    string
	Reason string
	// Status is the HTTP status of the answer.
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused the call for %q: %s (status %d)", e.Key, e.Reason, e.Status)
}

// UnreachedError reports that the call never reached the store; nothing
// changed.
type UnavailableError struct {
	Key   string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store not reached for %q: %v", e.Key, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that the call was sent and no whole answer came
// back: it may have taken effect.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store call for %q has an unknown outcome: %v", e.Key, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// HistoryGoneError reports that the store no longer knows what changed since the
// version that a watch asked for. List again.
type HistoryGoneError struct {
	Key string
}

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("the history of %q is gone", e.Key)
}
