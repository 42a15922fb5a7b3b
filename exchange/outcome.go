package exchange

import (
	"trefoilline.example/trefoilline/header"
)

// Outcome is what became of a request: [*Response], [NotRun] or [*Unknown].
type Outcome interface{ outcome() }

// NotRun says that the request was not run by any backend server, in this try
// or an earlier one. Only this package can make one.
type NotRun interface {
	Outcome
	// Reason says why, for the caller.
	Reason() header.Reason
	// Cause is the error behind it, nil if a backend server refused.
	Cause() error
	// RefusedByServer tells whether a backend server refused the request.
	RefusedByServer() bool
	notRun()
}

// Unknown says that the request may have run.
type Unknown struct {
	Reason header.Reason
	// Cause is the error behind it.
	Cause error
}

func (*Response) outcome() {}
func (*Unknown) outcome()  {}
func (*unsent) outcome()   {}
func (*refused) outcome()  {}

// The reasons for an outcome that this package finds itself.
const (
	// Unreachable: no connection to the backend server.
	Unreachable header.Reason = "backend-server-unreached"
	// NotSent: the connection broke before a byte of the request went out.
	NotSent header.Reason = "not-sent"
	// BodyConsumed: the request's body is a stream that an earlier try has read.
	BodyConsumed header.Reason = "body-spent"
	// Misdirected: another backend server has the address.
	Misdirected header.Reason = "misdirected"
	// Rejected: the request was not sent at all.
	Rejected header.Reason = "withheld"
	// Cancelled: the caller went away.
	Cancelled header.Reason = "cancelled"
	// DeadlineExceeded: the time for the request ran out.
	DeadlineExceeded header.Reason = "deadline-exceeded"
	// ResponseTimedOut: the backend server did not begin an answer in time.
	ResponseTimedOut header.Reason = "silent-connection"
	// ConnectionBroken: the connection broke before an answer began.
	ConnectionBroken header.Reason = "connection-broken"
	// MismatchedResponse: the answer is the answer to another request.
	MismatchedResponse header.Reason = "crossed-answer"
	// CloseDelimited: the answer's end could not be told from a broken connection.
	CloseDelimited header.Reason = "unbounded-answer"
	// AlreadySent: an earlier try of the request may have run.
	AlreadySent header.Reason = "already-sent"
)

// unsent is the NotRun of a try of which no byte went out.
type unsent struct {
	reason header.Reason
	cause  error
}

func (u *unsent) Reason() header.Reason { return u.reason }
func (u *unsent) Cause() error          { return u.cause }
func (*unsent) RefusedByServer() bool   { return false }
func (*unsent) notRun()                 {}

// refused is the NotRun that a backend server stated.
type refused struct {
	reason header.Reason
}

func (r *refused) Reason() header.Reason { return r.reason }
func (*refused) Cause() error            { return nil }
func (*refused) RefusedByServer() bool   { return true }
func (*refused) notRun()                 {}
