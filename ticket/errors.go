package ticket

import "fmt"

// SyntaxError reports a text that is not a ticket.
type SyntaxError struct {
	Text string
	// Field is the name of the invalid field. It is "length", "fields" or
	// "spelling" if the text as a whole is invalid.
	Field string
	// Accepted describes what is valid.
	Accepted string
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("invalid ticket %q: %s must be %s", e.Text, e.Field, e.Accepted)
}

// KeyLengthError reports an idempotency key that is empty or longer than
// [MaxKeyLength].
type KeyLengthError struct {
	// Length is the length of the key, in bytes.
	Length int
}

func (e *KeyLengthError) Error() string {
	return fmt.Sprintf("idempotency key has %d bytes; its length must be 1 to %d bytes", e.Length, MaxKeyLength)
}

// KeyStateUnknownError reports that the store could not tell whether an
// idempotency key was used. The request must not run now, and may have run
// before. The key may be marked as used, so that a retry gets a [Duplicate] of a
// running request.
type KeyStateUnknownError struct {
	Cause error
}

func (e *KeyStateUnknownError) Error() string {
	return fmt.Sprintf("can't determine whether the idempotency key was used: %v", e.Cause)
}

func (e *KeyStateUnknownError) Unwrap() error { return e.Cause }
