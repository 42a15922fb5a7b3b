/*
Package admission makes sure that a request runs at most once, even if its caller
sends it several times or to several entry hosts. An entry host asks it before a
request is queued and sent to a backend server.

A caller identifies a request by a ticket, which the entry host that issued it
checks, or by an idempotency key of its own choice, which is recorded in the
platform's store. A request with neither runs each time that it is sent, and so does
an idempotent request.

A check that may refuse a request as not run, such as a rate limit or a queue, belongs
inside the function that [Controller.Serve] runs. Outside it, the host does not know
whether the same request ran when it was sent before. For checks that must come first,
such as that for a withdrawn API key, use [Reject].

# Usage

	controller := &admission.Controller{
		Registry:        registry,
		IdempotencyKeys: keys,
		Send:            client.Send,
		IsEntryHost:     list.IsEntryHost,
	}
	outcome := controller.Serve(ctx, request, team, func(ctx context.Context) exchange.Outcome {
		return sender.Do(ctx, request, pick)
	})
*/
package admission

import (
	"context"
	"net/netip"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/ticket"
)

// The reasons for which this package refuses a request. Unless a comment says more,
// this attempt did not run, but an earlier one may have.
const (
	// AlreadyAnswered: an earlier attempt ran and was answered.
	AlreadyResponded header.Reason = "already-answered"
	// StillRunning: an earlier attempt is still running.
	StillRunning header.Reason = "still-running"
	// IssuerGone: the process that issued the ticket no longer exists, or the
	// request may not be forwarded to it.
	IssuerGone header.Reason = "ticket-issuer-gone"
	// IssuerUnreachable: the entry host that issued the ticket can't be reached.
	IssuerUnreachable header.Reason = "ticket-issuer-unreached"
	// TicketExpired: the ticket is too old.
	TicketExpired header.Reason = "ticket-expired"
	// StoreUnreachable: the store can't be asked whether the idempotency key was
	// used.
	StoreUnreachable header.Reason = "store-unreached"
	// RefusedMayHaveRun: a request with a ticket or an idempotency key was refused
	// before its admission was checked.
	RejectedMayHaveRun header.Reason = "refused-under-name"
	// MalformedTicket: the ticket cannot be parsed. The request was not run.
	MalformedTicket header.Reason = "malformed-ticket"
	// MalformedIdempotencyKey: the idempotency key is too long. The request was
	// not run.
	MalformedIdempotencyKey header.Reason = "malformed-idempotency-key"
)

// SendFunc sends a request to another entry host, as [exchange.Client.Send] does.
type SendFunc func(ctx context.Context, host netip.AddrPort, request *exchange.Request) exchange.Outcome

// RunFunc runs an admitted request.
type RunFunc func(ctx context.Context) exchange.Outcome

// NotAdmittedError says why this attempt of a request was not run. An earlier attempt
// may have run.
type NotAdmittedError struct {
	RequestID string
	Reason    header.Reason
	// Cause is the underlying error; nil if the ticket or idempotency key alone
	// decides.
	Cause error
}

func (e *NotAdmittedError) Error() string {
	return "request " + e.RequestID + " was not admitted: " + string(e.Reason)
}

func (e *NotAdmittedError) Unwrap() error { return e.Cause }

// Reject returns the outcome of a request that is refused before its admission is
// checked. It is not run if the request has no ticket and no idempotency key. Otherwise
// it is unknown, because an earlier attempt may have run.
func Reject(request *exchange.Request, reason header.Reason) exchange.Outcome {
	if hasTicketOrKey(request) {
		return notAdmitted(request, RejectedMayHaveRun, nil)
	}
	return request.Reject(reason)
}

// hasTicketOrKey reports whether an earlier attempt of the request may have run under
// its ticket or idempotency key. For an idempotent request this does not matter.
func hasTicketOrKey(request *exchange.Request) bool {
	if request.Idempotent {
		return false
	}
	return request.Header.Get(header.Ticket) != "" || idempotencyKey(request) != ""
}

// idempotencyKey returns the caller's idempotency key, or an empty string.
func idempotencyKey(request *exchange.Request) string {
	if key := request.Header.Get(header.IdempotencyKey); key != "" {
		return key
	}
	return request.Header.Get(header.XIdempotencyKey)
}

// notAdmitted returns the unknown outcome of an attempt that is not run.
func notAdmitted(request *exchange.Request, reason header.Reason, cause error) exchange.Outcome {
	return &exchange.Unknown{
		Reason: reason,
		Cause: &NotAdmittedError{
			RequestID: request.ID,
			Reason:    reason,
			Cause:     cause,
		},
	}
}

// duplicateOutcome returns the outcome of a request of which an earlier attempt was
// admitted.
func duplicateOutcome(request *exchange.Request, result ticket.Result) exchange.Outcome {
	switch result {
	case ticket.Responded:
		return notAdmitted(request, AlreadyResponded, nil)
	case ticket.Running:
		return notAdmitted(request, StillRunning, nil)
	}
	return notAdmitted(request, exchange.AlreadySent, nil)
}

// resultForOutcome returns the result that is recorded for an outcome.
func resultForOutcome(outcome exchange.Outcome) ticket.Result {
	switch outcome.(type) {
	case *exchange.Response:
		return ticket.Responded
	case exchange.NotRun:
		return ticket.NotRun
	}
	return ticket.Unknown
}
