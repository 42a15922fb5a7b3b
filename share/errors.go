package share

import "fmt"

// EncodingError reports that an allocation or a message could not be encoded or
// decoded.
type EncodingError struct {
	Cause error
}

func (e *EncodingError) Error() string {
	return fmt.Sprintf("share: cannot encode or decode an allocation or message: %v", e.Cause)
}

func (e *EncodingError) Unwrap() error { return e.Cause }

// MessageKindError reports an envelope with an unknown kind of message.
type MessageKindError struct {
	Kind string
}

func (e *MessageKindError) Error() string {
	return fmt.Sprintf("share: unknown message kind %q; known kinds are beat, propose, consent, ask, lend and recall", e.Kind)
}

// StoreError reports that the allocation could not be read from or written to
// the store. Cause is an error of package objectstore and tells whether the
// call may have taken effect.
type StoreError struct {
	Key   string
	Cause error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("share: cannot read or write allocation %q: %v", e.Key, e.Cause)
}

func (e *StoreError) Unwrap() error { return e.Cause }
