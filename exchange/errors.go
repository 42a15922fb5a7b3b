package exchange

import (
	"fmt"
	"net/netip"
	"time"
)

// ConnectError reports that an attempt got no connection to a backend server.
type ConnectError struct {
	Server netip.AddrPort
	Cause  error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Server, e.Cause)
}

func (e *ConnectError) Unwrap() error { return e.Cause }

// TransferError reports that a connection to a backend server broke or was closed
// before the response started.
type TransferError struct {
	Server netip.AddrPort
	Cause  error
}

func (e *TransferError) Error() string {
	return fmt.Sprintf("send request to backend server %s: %v", e.Server, e.Cause)
}

func (e *TransferError) Unwrap() error { return e.Cause }

// ResponseTimeoutError reports that a backend server did not start its response,
// or did not continue it, in time.
type ResponseTimeoutError struct {
	Server  netip.AddrPort
	Timeout time.Duration
}

func (e *ResponseTimeoutError) Error() string {
	return fmt.Sprintf("backend server %s sent no response data for %s", e.Server, e.Timeout)
}

// MismatchedResponseError reports a response that does not have the request's ID.
type MismatchedResponseError struct {
	Server netip.AddrPort
	// Sent is the ID in the request. Echoed is the ID in the response, empty
	// if there was none.
	Sent   string
	Echoed string
}

func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("backend server %s responded with request ID %q to request %q", e.Server, e.Echoed, e.Sent)
}

// CloseDelimitedError reports a response that has neither a declared length nor
// chunked encoding. A broken connection can't be told from its end.
type CloseDelimitedError struct {
	Server netip.AddrPort
}

func (e *CloseDelimitedError) Error() string {
	return fmt.Sprintf("response of backend server %s has neither a declared length nor chunked encoding", e.Server)
}

// IncompleteResponseError reports a response that ended before it was complete.
type IncompleteResponseError struct {
	Server netip.AddrPort
	// Received is the number of body bytes received.
	Received int64
	Cause    error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("response of backend server %s broke after %d body bytes: %v", e.Server, e.Received, e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// LengthMismatchError reports a response whose body does not have the declared
// length.
type LengthMismatchError struct {
	// Declared and Received are in bytes.
	Declared int64
	Received int64
}

func (e *LengthMismatchError) Error() string {
	return fmt.Sprintf("response declared %d body bytes and had %d", e.Declared, e.Received)
}

// MissingTrailerError reports an announced trailer that is missing at the end of
// the response.
type MissingTrailerError struct {
	Name string
}

func (e *MissingTrailerError) Error() string {
	return fmt.Sprintf("announced trailer %q is missing", e.Name)
}

// CallerTransferError reports that reading the body from the caller, or writing the
// response to the caller, failed.
type CallerTransferError struct {
	Cause error
}

func (e *CallerTransferError) Error() string {
	return fmt.Sprintf("transfer from or to the caller failed: %v", e.Cause)
}

func (e *CallerTransferError) Unwrap() error { return e.Cause }

// AttemptEndedError reports a blocked write or body read of an attempt that has
// ended or already has another connection. The transport gets it; users of
// this package see it at most as the cause of a [TransferError].
type AttemptEndedError struct{}

func (*AttemptEndedError) Error() string {
	return "the attempt has ended or has another connection"
}

// BodyConsumedError reports a [Stream] that an earlier attempt has read from.
type BodyConsumedError struct{}

func (*BodyConsumedError) Error() string {
	return "an earlier attempt has read from the streamed body"
}

// AlreadySentError reports that a backend server may have run the request in
// another attempt, or that another attempt has no outcome yet.
type AlreadySentError struct {
	RequestID string
}

func (e *AlreadySentError) Error() string {
	return fmt.Sprintf("another attempt of request %q is active or may have run it", e.RequestID)
}

// HostOutcomeUnknownError reports that the entry host to which a request was
// forwarded does not know the outcome of the request.
type HostOutcomeUnknownError struct {
	Host netip.AddrPort
}

func (e *HostOutcomeUnknownError) Error() string {
	return fmt.Sprintf("entry host %s does not know the outcome of the request", e.Host)
}
