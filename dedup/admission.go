/*
Package dedup makes sure that a request runs at most once, even if its caller
sends it several times or to several entry hosts. An entry host asks it before a
request is queued and sent to a backend server. It detects duplicates; it is not an
overload control.

A caller identifies a request by a ticket or by an idempotency key. A ticket is a
single-use request ID that an entry host issues to the caller with a look-up, and that
the same host checks. An idempotency key is chosen by the caller and recorded in the
platform's store. A request with neither runs each time that it is sent, and so does
an idempotent request.

A check whose rejection tells the caller that the request was not run
([exchange.NotRun]), such as a rate limit or a queue, must be made inside the function
that [Deduplicator.Serve] runs. Outside it, the host does not know
whether the same request ran when it was sent before. For checks that must come first,
such as that for a withdrawn API key, use [Reject].

# Usage

	deduplicator := &dedup.Deduplicator{
		Registry:        registry,         // the tickets that this host issued
		IdempotencyKeys: keys,             // those recorded in the platform's store
		Send:            client.Send,      // of an exchange.Client
		IsEntryHost:     list.IsEntryHost, // by the platform's list of machines
	}
	outcome := deduplicator.Serve(ctx, request, team, func(ctx context.Context) exchange.Outcome {
		return sender.Do(ctx, request, pick) // a retry.Sender
	})
*/
package dedup

import (
	"context"
	"net/netip"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/ticket"
)

// The reasons for which this package rejects a request. Unless a comment says
// otherwise, this attempt did not run, but an earlier one may have.
const (
	// AlreadyResponded: an earlier attempt ran and got a response.
	AlreadyResponded header.Reason = "already-answered"
	// StillRunning: an earlier attempt is still running.
	StillRunning header.Reason = "still-running"
	// IssuerGone: the process that issued the ticket no longer exists, or this
	// host does not forward the request, because it was forwarded already or the
	// issuer is not on the list of entry hosts.
	IssuerNotAvailable header.Reason = "ticket-issuer-gone"
	// IssuerUnreachable: the entry host that issued the ticket can't be reached.
	IssuerUnreachable header.Reason = "ticket-issuer-unreached"
	// TicketExpired: the ticket is too old.
	TicketExpired header.Reason = "ticket-expired"
	// StoreUnreachable: the store can't be asked whether the idempotency key was
	// used.
	StoreUnreachable header.Reason = "store-unreached"
	// RejectedMayHaveRun: a request with a ticket or an idempotency key was
	// rejected before anything was known of earlier attempts.
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

// Reject returns the outcome of a request that is rejected before Serve is
// called. It is not run if no earlier attempt can have run, and otherwise
// unknown.
func Reject(request *exchange.Request, reason header.Reason) exchange.Outcome {
	if mayHaveRunBefore(request) {
		return notAdmitted(request, RejectedMayHaveRun, nil)
	}
	return request.Reject(reason)
}

// mayHaveRunBefore reports whether an earlier attempt may have run that rules
// out another one: the request is not idempotent and has a ticket or an
// idempotency key.
func mayHaveRunBefore(request *exchange.Request) bool {
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

// duplicateOutcome returns the outcome of a request of which an earlier attempt
// was admitted. If the result of that attempt is unknown, the reason is
// exchange.AlreadySent.
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
