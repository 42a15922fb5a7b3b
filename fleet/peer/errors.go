package peer

import "fmt"

// SendError reports a message that was not answered.
type SendError struct {
	Host  string
	Cause error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("message to %s not answered: %v", e.Host, e.Cause)
}

func (e *SendError) Unwrap() error { return e.Cause }

// StatusError reports an answer that is none.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("answer with status %d", e.Status)
}

// BusyError reports a message that was dropped because too many others wait
// for their answers.
type InFlightLimitError struct {
	Host string
}

func (e *InFlightLimitError) Error() string {
	return fmt.Sprintf("message to %s dropped: too many are in flight", e.Host)
}

// WrongObjectError reports a peer that answered with another object.
type WrongObjectError struct {
	RequestedKey string
	ReceivedKey  string
}

func (e *WrongObjectError) Error() string {
	return fmt.Sprintf("asked for object %q, got %q", e.RequestedKey, e.ReceivedKey)
}
