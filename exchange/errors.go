package exchange

import (
	"fmt"
	"net/netip"
	"time"
)

// ConnectError reports that no connection to a backend server came about.
type ConnectError struct {
	Server netip.AddrPort
	Cause  error
}

func (e *ConnectError) Error() string {
	return fmt.Sprintf("connect to backend server %s: %v", e.Server, e.Cause)
}

func (e *ConnectError) Unwrap() error { return e.Cause }

// TransferError reports that a connection to a backend server broke, or was
// given up, before an answer began.
type TransferError struct {
	Server netip.AddrPort
	Cause  error
}

func (e *TransferError) Error() string {
	return fmt.Sprintf("request to backend server %s: %v", e.Server, e.Cause)
}

func (e *TransferError) Unwrap() error { return e.Cause }

// ResponseTimeoutError reports that a backend server did not begin an answer, or go on
// with it, in time.
type ResponseTimeoutError struct {
	Server  netip.AddrPort
	Timeout time.Duration
}

func (e *ResponseTimeoutError) Error() string {
	return fmt.Sprintf("backend server %s was silent for %s", e.Server, e.Timeout)
}

// MismatchedResponseError reports an answer to another request.
type MismatchedResponseError struct {
	Server netip.AddrPort
	Sent   string
	Echoed string
}

func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("backend server %s answered request %q when asked %q", e.Server, e.Echoed, e.Sent)
}

// CloseDelimitedError reports an answer that states neither its length nor its
// chunks, so that a broken connection would look like its end.
type CloseDelimitedError struct {
	Server netip.AddrPort
}

func (e *CloseDelimitedError) Error() string {
	return fmt.Sprintf("backend server %s began an answer without length or chunks", e.Server)
}

// IncompleteResponseError reports an answer that ended before it was whole.
type IncompleteResponseError struct {
	Server netip.AddrPort
	// Received is the number of body bytes that came.
	Received int64
	Cause    error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("answer of backend server %s broke after %d bytes: %v", e.Server, e.Received, e.Cause)
}

func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// LengthMismatchError reports an answer whose body has another length than it stated.
type LengthMismatchError struct {
	// Declared and Received are in bytes.
	Declared int64
	Received int64
}

func (e *LengthMismatchError) Error() string {
	return fmt.Sprintf("answer stated %d bytes and had %d", e.Declared, e.Received)
}

// MissingTrailerError reports a trailer that was announced and did not come.
type MissingTrailerError struct {
	Name string
}

func (e *MissingTrailerError) Error() string {
	return fmt.Sprintf("announced trailer %q did not come", e.Name)
}

// CallerTransferError reports that an answer could not be written to the caller.
type CallerTransferError struct {
	Cause error
}

func (e *CallerTransferError) Error() string {
	return fmt.Sprintf("write the answer to the caller: %v", e.Cause)
}

func (e *CallerTransferError) Unwrap() error { return e.Cause }

// AttemptEndedError reports bytes of a request that were held back because its try
// was over or had another connection. The transport sees it, no caller does.
type AttemptEndedError struct{}

func (*AttemptEndedError) Error() string {
	return "the try is over or has another connection"
}

// BodyConsumedError reports a streamed body that an earlier try has read from.
type BodyConsumedError struct{}

func (*BodyConsumedError) Error() string {
	return "the streamed body was read by an earlier try"
}

// AlreadySentError reports that an earlier try of the request may have run.
type AlreadySentError struct {
	RequestID string
}

func (e *AlreadySentError) Error() string {
	return fmt.Sprintf("an earlier try of request %q may have run", e.RequestID)
}

// HostOutcomeUnknownError reports that the entry host that a request was passed to does not
// know what came of it.
type HostOutcomeUnknownError struct {
	Host netip.AddrPort
}

func (e *HostOutcomeUnknownError) Error() string {
	return fmt.Sprintf("entry host %s does not know what came of the request", e.Host)
}
