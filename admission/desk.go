package admission

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

// Controller admits requests on one entry host. It must not be copied.
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
	// platform's list. Callers can forge tickets: without this check, a forged one
	// would make the host send the request, with its API key, to any address. If
	// it is nil, nothing is forwarded.
	IsEntryHost func(address netip.AddrPort) bool

	// pendingWrites counts the results that are being written to the store.
	pendingWrites sync.WaitGroup
}

// Serve runs the request if it is admitted, forwards it to the entry host that issued
// its ticket, or returns an outcome that says what is known of earlier attempts. The
// team is that of the request's API key, empty on public routes. The ID of a request
// with a ticket or an idempotency key is set from that. An idempotent request runs each
// time that it is sent.
func (c *Deduplicator) Serve(ctx context.Context, request *exchange.Request, team string, run RunFunc) exchange.Outcome {
	if request.Idempotent {
		return run(ctx)
	}
	if ticketText := request.Header.Get(header.Ticket); ticketText != "" {
		return c.serveTicket(ctx, request, ticketText, team, run)
	}
	if key := idempotencyKey(request); key != "" && c.IdempotencyKeys != nil {
		return c.serveIdempotencyKey(ctx, request, key, team, run)
	}
	return run(ctx)
}

// WaitForWrites blocks until all results are written to the store or have failed to be.
func (c *Deduplicator) WaitForWrites() { c.pendingWrites.Wait() }

func (c *Deduplicator) serveTicket(ctx context.Context, request *exchange.Request, ticketText, team string, run RunFunc) exchange.Outcome {
	parsed, err := ticket.Parse(ticketText)
	if err != nil {
		return request.Reject(MalformedTicket)
	}
	request.ID = parsed.ID()
	switch decision := c.Registry.Admit(parsed, team).(type) {
	case *ticket.Admitted:
		outcome := run(ctx)
		decision.RecordResult(resultForOutcome(outcome))
		return outcome
	case ticket.Duplicate:
		return duplicateOutcome(request, decision.Result)
	case ticket.IssuedElsewhere:
		return c.forward(ctx, request, decision)
	case ticket.Refused:
		return request.Reject(header.Reason(decision.Reason))
	case ticket.Expired:
		return notAdmitted(request, TicketExpired, nil)
	}
	return notAdmitted(request, IssuerGone, nil)
}

// forward sends the request to the entry host that issued its ticket. If that can't be
// reached, the outcome is unknown, because it may have admitted an earlier attempt.
func (c *Deduplicator) forward(ctx context.Context, request *exchange.Request, issuer ticket.IssuedElsewhere) exchange.Outcome {
	if request.Header.Get(header.ForwardedBy) != "" || !c.canForwardTo(issuer.Host) {
		return notAdmitted(request, IssuerGone, nil)
	}
	h := request.Header.Clone()
	h.Set(header.ForwardedBy, c.Registry.Host.String())
	outcome := c.Send(ctx, issuer.Host, &exchange.Request{
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

func (c *Deduplicator) canForwardTo(host netip.AddrPort) bool {
	return c.Send != nil && c.IsEntryHost != nil && c.IsEntryHost(host)
}

func (c *Deduplicator) serveIdempotencyKey(ctx context.Context, request *exchange.Request, key, team string, run RunFunc) exchange.Outcome {
	request.ID = ticket.RequestIDForKey(team, key)
	decision, err := c.IdempotencyKeys.Admit(ctx, team, key)
	var lengthErr *ticket.KeyLengthError
	if errors.As(err, &lengthErr) {
		return request.Reject(MalformedIdempotencyKey)
	}
	if err != nil {
		return notAdmitted(request, StoreUnreachable, err)
	}
	claimed, isClaimed := decision.(*ticket.Claimed)
	if !isClaimed {
		return c.duplicateKeyOutcome(request, decision)
	}
	outcome := run(ctx)
	c.recordResult(ctx, claimed, outcome)
	return outcome
}

func (*Deduplicator) duplicateKeyOutcome(request *exchange.Request, decision ticket.Decision) exchange.Outcome {
	duplicate, _ := decision.(ticket.Duplicate)
	return duplicateOutcome(request, duplicate.Result)
}

// recordResult writes the result of a request to the store. For a request that was not
// run it waits for the write, so that the idempotency key can be used again when the
// caller learns of it. A response does not wait for the write.
func (c *Deduplicator) recordResult(ctx context.Context, claimed *ticket.Claimed, outcome exchange.Outcome) {
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
	c.pendingWrites.Go(write)
}
