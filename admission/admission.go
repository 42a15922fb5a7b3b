/*
Package admission lets a request that must not run twice run at most once,
however often and to whichever host its caller sends it.

A caller names such a request by a ticket, which the host that issued it admits,
or by a key of its own choosing, which is claimed in the platform's store. A
request without a name runs once for each time that it is sent.

Whatever may refuse a request as not run, such as a rate limit or a queue,
belongs inside the function that a [Desk] runs: outside it nobody knows whether
the same request ran when it was sent before. [Refuse] serves refusals that must
come before, such as those of a withdrawn key.

# Usage

	desk := &admission.Desk{
		Register: register,
		Claims:   claims,
		Send:     client.Send,
		IsHost:   list.IsEntryHost,
	}
	outcome := desk.Serve(ctx, request, team, func(ctx context.Context) exchange.Outcome {
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

// The reasons that this package gives.
const (
	// AlreadyAnswered: the request ran when it was sent before.
	AlreadyResponded header.Reason = "already-answered"
	// Running: the request runs since it was sent before.
	StillRunning header.Reason = "still-running"
	// IssuerGone: the process that issued the ticket is gone. This sending did
	// not run; an earlier one may have.
	IssuerGone header.Reason = "ticket-issuer-gone"
	// IssuerUnreached: the host that issued the ticket can't be reached. This
	// sending did not run; an earlier one may have.
	IssuerUnreachable header.Reason = "ticket-issuer-unreached"
	// TicketExpired: the ticket is too old. This sending did not run; an
	// earlier one may have.
	TicketExpired header.Reason = "ticket-expired"
	// StoreUnreached: whether the idempotency key was used can't be told. This
	// sending did not run; an earlier one may have.
	StoreUnreachable header.Reason = "store-unreached"
	// NamedRefusal: the request was refused under a name. This sending did not
	// run; an earlier one may have.
	RejectedMayHaveRun header.Reason = "refused-under-name"
	// MalformedTicket: the ticket is none.
	MalformedTicket header.Reason = "malformed-ticket"
	// MalformedKey: the idempotency key is too long.
	MalformedIdempotencyKey header.Reason = "malformed-idempotency-key"
)

// Send sends a request to another entry host, as [exchange.Client.Send] does.
type SendFunc func(ctx context.Context, host netip.AddrPort, request *exchange.Request) exchange.Outcome

// Run runs a request that was admitted.
type RunFunc func(ctx context.Context) exchange.Outcome

// NotAdmittedError says why a request was not run this time, though it may have run
// before.
type NotAdmittedError struct {
	RequestID string
	Reason    header.Reason
	// Cause is nil if the name alone decides.
	Cause error
}

func (e *NotAdmittedError) Error() string {
	return "request " + e.RequestID + " is not run: " + string(e.Reason)
}

func (e *NotAdmittedError) Unwrap() error { return e.Cause }

// Reject says of a request that was not admitted that it is refused: not run if
// it has no name, and else unknown, since it may have run when it was sent
// before under the name.
func Reject(request *exchange.Request, reason header.Reason) exchange.Outcome {
	if isNamed(request) {
		return held(request, RejectedMayHaveRun, nil)
	}
	return request.Reject(reason)
}

// isNamed tells whether the request may have run when it was sent before under
// its name.
func isNamed(request *exchange.Request) bool {
	if request.Idempotent {
		return false
	}
	return request.Header.Get(header.Ticket) != "" || idempotencyKey(request) != ""
}

func idempotencyKey(request *exchange.Request) string {
	if key := request.Header.Get(header.IdempotencyKey); key != "" {
		return key
	}
	return request.Header.Get(header.XIdempotencyKey)
}

func held(request *exchange.Request, reason header.Reason, cause error) exchange.Outcome {
	return &exchange.Unknown{
		Reason: reason,
		Cause: &NotAdmittedError{
			RequestID: request.ID,
			Reason:    reason,
			Cause:     cause,
		},
	}
}

// repeated is the outcome of a request that was admitted before.
func repeated(request *exchange.Request, result ticket.Result) exchange.Outcome {
	switch result {
	case ticket.Responded:
		return held(request, AlreadyResponded, nil)
	case ticket.Running:
		return held(request, StillRunning, nil)
	}
	return held(request, exchange.AlreadySent, nil)
}

// resultOf is what a register remembers of an outcome.
func resultOf(outcome exchange.Outcome) ticket.Result {
	switch outcome.(type) {
	case *exchange.Response:
		return ticket.Responded
	case exchange.NotRun:
		return ticket.NotRun
	}
	return ticket.Unknown
}
