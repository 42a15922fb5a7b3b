package exchange

import (
	"trefoilline.example/trefoilline/header"
)

// Outcome is the outcome of a request: [*Response], [NotRun] or [*Unknown].
type Outcome interface{ outcome() }

// NotRun means that no backend server ran the request, in this attempt or an
// earlier one. Only this package can create one.
type NotRun interface {
	Outcome
	// Reason returns the reason to report to the caller.
	Reason() header.Reason
	// Cause returns the underlying error. It is nil if a backend server refused
	// the request, or if the request was rejected before an attempt.
	Cause() error
	// RefusedByServer reports whether a backend server refused the request.
	RefusedByServer() bool
	notRun()
}

// Unknown means that a backend server may have run the request, or may still run
// it.
type Unknown struct {
	Reason header.Reason
	// Cause is the underlying error.
	Cause error
}

func (*Response) outcome() {}
func (*Unknown) outcome()  {}
func (*unsent) outcome()   {}
func (*refused) outcome()  {}

// Reasons that this package gives for an outcome.
const (
	// Unreachable: no connection to the backend server could be opened.
	Unreachable header.Reason = "backend-server-unreached"
	// NotSent: the connection broke before any byte of the request was sent.
	NotSent header.Reason = "not-sent"
	// BodyConsumed: the body is a stream that an earlier attempt has read from.
	BodyConsumed header.Reason = "body-spent"
	// Misdirected: the server at the address is not the target backend server.
	Misdirected header.Reason = "misdirected"
	// Rejected: the request was given to [Request.Reject] for no more specific
	// reason.
	Rejected header.Reason = "withheld"
	// Cancelled: the caller closed its connection or cancelled the request.
	Cancelled header.Reason = "cancelled"
	// DeadlineExceeded: the request's deadline passed.
	DeadlineExceeded header.Reason = "deadline-exceeded"
	// ResponseTimedOut: the backend server did not start its response on a
	// reused connection within [Client.ResponseTimeout].
	ResponseTimedOut header.Reason = "silent-connection"
	// ConnectionBroken: the attempt failed after part of the request was sent,
	// for a reason other than cancellation, the deadline or a timeout. Usually
	// the connection broke. A malformed response, response headers that are too
	// large and a failed read of the caller's body count too.
	ConnectionBroken header.Reason = "connection-broken"
	// MismatchedResponse: the response does not have the request's ID.
	MismatchedResponse header.Reason = "crossed-answer"
	// CloseDelimited: the end of the response can't be told from a broken
	// connection.
	CloseDelimited header.Reason = "unbounded-answer"
	// AlreadySent: a backend server may have run the request in another attempt,
	// or another attempt has no outcome yet.
	AlreadySent header.Reason = "already-sent"
)

// unsent is the [NotRun] outcome if no byte of the request was sent.
type unsent struct {
	reason header.Reason
	cause  error
}

func (u *unsent) Reason() header.Reason { return u.reason }
func (u *unsent) Cause() error          { return u.cause }
func (*unsent) RefusedByServer() bool   { return false }
func (*unsent) notRun()                 {}

// refused is the [NotRun] outcome if the backend server refused the request.
type refused struct {
	reason header.Reason
}

func (r *refused) Reason() header.Reason { return r.reason }
func (*refused) Cause() error            { return nil }
func (*refused) RefusedByServer() bool   { return true }
func (*refused) notRun()                 {}
