package peer

import "fmt"

// SendError reports a message that got no valid response.
type SendError struct {
	Host  string
	Cause error
}

func (e *SendError) Error() string {
	return fmt.Sprintf("message to %s got no valid response: %v", e.Host, e.Cause)
}

func (e *SendError) Unwrap() error { return e.Cause }

// StatusError reports a response with a status other than 200.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("response with status %d", e.Status)
}

// InFlightLimitError reports a message that was not sent because too many
// others are waiting for their responses.
type InFlightLimitError struct {
	Host string
}

func (e *InFlightLimitError) Error() string {
	return fmt.Sprintf("message to %s dropped: too many messages in flight", e.Host)
}

// WrongObjectError reports that a peer responded with another object than the
// requested one.
type WrongObjectError struct {
	RequestedKey string
	ReceivedKey  string
}

func (e *WrongObjectError) Error() string {
	return fmt.Sprintf("requested object %q, received %q", e.RequestedKey, e.ReceivedKey)
}
