package dedup

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/ticket"
)

// resultWriteTimeout limits the write of a result to the store.
const resultWriteTimeout = 5 * time.Second

// Deduplicator decides on one entry host which requests run. It must not be
// copied.
type Deduplicator struct {
	// Registry admits requests with tickets that this host issued.
	Registry *ticket.Registry
	// IdempotencyKeys admits requests with idempotency keys that callers chose. If
	// it is nil, such keys have no effect here and are only sent on to the backend
	// servers.
	IdempotencyKeys *ticket.IdempotencyKeys
	// Send forwards a request to the entry host that issued its ticket.
	Send SendFunc
	// IsEntryHost reports whether the address is that of an entry host in the
	// platform's list. Callers can forge tickets: without this check, a forged
	// one would make this host send the request and its caller's API key to any
	// address. If it is nil, nothing is forwarded.
	IsEntryHost func(address netip.AddrPort) bool

	// pendingWrites counts the results that are being written to the store.
	pendingWrites sync.WaitGroup
}

// Serve runs an idempotent request each time that it is sent. It runs another
// request if that is admitted, forwards it to the entry host that issued its
// ticket, or returns an outcome that says what is known of earlier attempts. The
// ID of a request that is not idempotent is derived from its ticket or, if
// IdempotencyKeys is set, its idempotency key. The team is that of the request's
// API key, empty on public routes.
func (d *Deduplicator) Serve(ctx context.Context, request *exchange.Request, team string, run RunFunc) exchange.Outcome {
	if request.Idempotent {
		return run(ctx)
	}
	if ticketText := request.Header.Get(header.Ticket); ticketText != "" {
		return d.serveTicket(ctx, request, ticketText, team, run)
	}
	if key := idempotencyKey(request); key != "" && d.IdempotencyKeys != nil {
		return d.serveIdempotencyKey(ctx, request, key, team, run)
	}
	return run(ctx)
}

// WaitForWrites blocks until all results are written to the store or have failed to be.
func (d *Deduplicator) WaitForWrites() { d.pendingWrites.Wait() }

func (d *Deduplicator) serveTicket(ctx context.Context, request *exchange.Request, ticketText, team string, run RunFunc) exchange.Outcome {
	parsed, err := ticket.Parse(ticketText)
	if err != nil {
		return request.Reject(MalformedTicket)
	}
	request.ID = parsed.ID()
	switch decision := d.Registry.Admit(parsed, team).(type) {
	case *ticket.AdmittedByTicket:
		outcome := run(ctx)
		decision.RecordResult(resultForOutcome(outcome))
		return outcome
	case ticket.Duplicate:
		return duplicateOutcome(request, decision.Result)
	case ticket.IssuedElsewhere:
		return d.forward(ctx, request, decision)
	case ticket.Rejected:
		return request.Reject(header.Reason(decision.Reason))
	case ticket.Expired:
		return notAdmitted(request, TicketExpired, nil)
	}
	// The decision is ticket.IssuerGone.
	return notAdmitted(request, IssuerNotAvailable, nil)
}

// forward sends the request to the entry host that issued its ticket. If that can't be
// reached, the outcome is unknown, because it may have admitted an earlier attempt.
func (d *Deduplicator) forward(ctx context.Context, request *exchange.Request, issuer ticket.IssuedElsewhere) exchange.Outcome {
	if request.Header.Get(header.ForwardedBy) != "" || !d.canForwardTo(issuer.Host) {
		return notAdmitted(request, IssuerNotAvailable, nil)
	}
	h := request.Header.Clone()
	h.Set(header.ForwardedBy, d.Registry.Host.String())
	outcome := d.Send(ctx, issuer.Host, &exchange.Request{
		ID:          request.ID,
		Method:      request.Method,
		URL:         request.URL,
		Host:        request.Host,
		Header:      h,
		Body:        request.Body,
		ToEntryHost: true,
	})
	notRun, isNotRun := outcome.(exchange.NotRun)
	if isNotRun && !notRun.RefusedByServer() {
		return notAdmitted(request, IssuerUnreachable, notRun.Cause())
	}
	return outcome
}

// canForwardTo reports whether the host is an entry host to which requests may be sent.
func (d *Deduplicator) canForwardTo(host netip.AddrPort) bool {
	return d.Send != nil && d.IsEntryHost != nil && d.IsEntryHost(host)
}

func (d *Deduplicator) serveIdempotencyKey(ctx context.Context, request *exchange.Request, key, team string, run RunFunc) exchange.Outcome {
	request.ID = ticket.RequestIDForKey(team, key)
	decision, err := d.IdempotencyKeys.Admit(ctx, team, key)
	var lengthErr *ticket.KeyLengthError
	if errors.As(err, &lengthErr) {
		return request.Reject(MalformedIdempotencyKey)
	}
	if err != nil {
		return notAdmitted(request, StoreUnreachable, err)
	}
	claimed, isClaimed := decision.(*ticket.AdmittedByKey)
	if !isClaimed {
		return d.duplicateKeyOutcome(request, decision)
	}
	outcome := run(ctx)
	d.recordResult(ctx, claimed, outcome)
	return outcome
}

// duplicateKeyOutcome returns the outcome of a request whose key was used before. The
// decision is a ticket.Duplicate, the only one but *ticket.AdmittedByKey that
// IdempotencyKeys.Admit returns.
func (*Deduplicator) duplicateKeyOutcome(request *exchange.Request, decision ticket.Decision) exchange.Outcome {
	duplicate, _ := decision.(ticket.Duplicate)
	return duplicateOutcome(request, duplicate.Result)
}

// recordResult writes the result of a request to the store. If the request was
// not run, it waits for the write, so that the caller can use the idempotency
// key again as soon as it gets the outcome. A response does not wait for the
// write.
func (d *Deduplicator) recordResult(ctx context.Context, claimed *ticket.AdmittedByKey, outcome exchange.Outcome) {
	result := resultForOutcome(outcome)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resultWriteTimeout)
	write := func() {
		defer cancel()
		// If the write fails, later attempts get the reason StillRunning.
		_ = claimed.RecordResult(ctx, result)
	}
	if result == ticket.NotRun {
		write()
		return
	}
	d.pendingWrites.Go(write)
}
