package ticket

import "fmt"

// SyntaxError reports a text that is no name.
type SyntaxError struct {
	Text string
	// Field is the part that is wrong.
	Field    string
	Accepted string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%q is no ticket: %s: accepted is %s", e.Text, e.Field, e.Accepted)
}

// KeyError reports a key, chosen by a caller, that can't name a request.
type KeyLengthError struct {
	Length int
}

func (e *KeyLengthError) Error() string {
	return fmt.Sprintf("idempotency key has %d bytes; accepted are 1 to %d", e.Length, MaxKeyLength)
}

// ClaimError reports that the store could not say whether a key was used: the
// request was not run this time, and may have run before.
type KeyStateUnknownError struct {
	Cause error
}

func (e *KeyStateUnknownError) Error() string {
	return fmt.Sprintf("whether the idempotency key was used is unknown: %v", e.Cause)
}

func (e *KeyStateUnknownError) Unwrap() error { return e.Cause }
