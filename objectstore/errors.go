package objectstore

import "fmt"

// NotFoundError reports that the key does not exist.
type NotFoundError struct {
	Key string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no object %q in the store", e.Key)
}

// ConflictError reports that the condition of a write did not hold. Nothing
// changed.
type ConflictError struct {
	Key string
	// CurrentVersion is the current version of the key, zero if it does not exist.
	CurrentVersion Version
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %q is at version %d, the condition of the write does not hold", e.Key, e.CurrentVersion)
}

// RefusedError reports that the store responded with an error for which there is no other
// type here. From [Client] it means that the call was malformed, too large, or over a
// limit, and that nothing changed. The client of package platform returns it for all
// other error statuses, also for 5xx; a write with status 5xx may have taken effect.
type RefusedError struct {
	Key    string
	Reason string
	// Status is the HTTP status of the response.
	Status int
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("store refused the call (key or prefix %q): %s (HTTP status %d)", e.Key, e.Reason, e.Status)
}

// UnavailableError reports that a write never reached the store, that a read
// brought no complete response in the store's format, or that the store responded to
// [Client] that it was unavailable. Nothing changed.
type UnavailableError struct {
	Key   string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store not reached for %q: %v", e.Key, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports that a write was sent and no complete response in the
// store's format was received: it may have taken effect.
type UnknownOutcomeError struct {
	Key   string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of the write to %q is unknown: %v", e.Key, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// HistoryGoneError reports that the changes after the version of a watch are no
// longer available. The caller must list the objects again.
type HistoryGoneError struct {
	Prefix string
}

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("change history of %q is no longer available", e.Prefix)
}
