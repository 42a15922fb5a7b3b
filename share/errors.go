package share

import "fmt"

// EncodingError reports that an allocation or an envelope could not be encoded
// or decoded.
type EncodingError struct {
	Cause error
}

func (e *EncodingError) Error() string {
	return fmt.Sprintf("share: encoding: %v", e.Cause)
}

func (e *EncodingError) Unwrap() error { return e.Cause }

// MessageKindError reports an envelope whose kind of message is not known.
type MessageKindError struct {
	Kind string
}

func (e *MessageKindError) Error() string {
	return fmt.Sprintf("share: unknown kind of message %q; accepted are beat, propose, consent, ask, lend and recall", e.Kind)
}

// StoreError reports that the allocation could not be read or written. The
// cause is an error of package platform and tells what is known of the call.
type StoreError struct {
	Key   string
	Cause error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("share: allocation %q: %v", e.Key, e.Cause)
}

func (e *StoreError) Unwrap() error { return e.Cause }
