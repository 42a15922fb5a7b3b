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

// settleTimeout bounds the write of a claim's result.
const settleTimeout = 5 * time.Second

// Desk admits requests on one host. It must not be copied.
type Deduplicator struct {
	Registry *ticket.Registry
	// Claims admits by keys that callers chose. If it is nil, such keys mean
	// nothing and only go on to the backend servers.
	IdempotencyKeys *ticket.IdempotencyKeys
	// Send passes a request to the host that issued its ticket.
	Send SendFunc
	// IsEntryHost tells whether the address is that of an entry host, by the
	// platform's list. A ticket is the caller's word: without the check, a
	// forged one would have the host send the request, with its key, to any
	// address. If it is nil, nothing is passed on.
	IsEntryHost func(address netip.AddrPort) bool

	settling sync.WaitGroup
}

// Serve runs the request if it may run, passes it to the host that may run it,
// or says what came of it before. The holder is the team whose key came with
// the request, empty on routes open to all. A request that comes with a ticket or
// an idempotency key gets its name from that. An idempotent request needs no
// name, and runs each time that it is sent.
func (d *Deduplicator) Serve(ctx context.Context, request *exchange.Request, holder string, run RunFunc) exchange.Outcome {
	if request.Idempotent {
		return run(ctx)
	}
	if text := request.Header.Get(header.Ticket); text != "" {
		return d.serveTicket(ctx, request, text, holder, run)
	}
	if key := idempotencyKey(request); key != "" && d.IdempotencyKeys != nil {
		return d.serveKey(ctx, request, key, holder, run)
	}
	return run(ctx)
}

// WaitForWrites returns when all results are written, or have failed to be.
func (d *Deduplicator) WaitForWrites() { d.settling.Wait() }

func (d *Deduplicator) serveTicket(ctx context.Context, request *exchange.Request, text, holder string, run RunFunc) exchange.Outcome {
	name, err := ticket.Parse(text)
	if err != nil {
		return request.Reject(MalformedTicket)
	}
	request.ID = name.ID()
	switch decision := d.Registry.Admit(name, holder).(type) {
	case *ticket.AdmittedByTicket:
		outcome := run(ctx)
		decision.RecordResult(resultOf(outcome))
		return outcome
	case ticket.Duplicate:
		return repeated(request, decision.Result)
	case ticket.IssuedElsewhere:
		return d.pass(ctx, request, decision)
	case ticket.Refused:
		return request.Reject(header.Reason(decision.Reason))
	case ticket.Expired:
		return held(request, TicketExpired, nil)
	}
	return held(request, IssuerGone, nil)
}

// pass sends the request to the host that issued its ticket. A host that can't
// be reached may have admitted the name before.
func (d *Deduplicator) pass(ctx context.Context, request *exchange.Request, issuer ticket.IssuedElsewhere) exchange.Outcome {
	if request.Header.Get(header.ForwardedBy) != "" || !d.mayPassTo(issuer.Host) {
		return held(request, IssuerGone, nil)
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
		return held(request, IssuerUnreachable, notRun.Cause())
	}
	return outcome
}

func (d *Deduplicator) mayPassTo(host netip.AddrPort) bool {
	return d.Send != nil && d.IsEntryHost != nil && d.IsEntryHost(host)
}

func (d *Deduplicator) serveKey(ctx context.Context, request *exchange.Request, key, holder string, run RunFunc) exchange.Outcome {
	request.ID = ticket.RequestIDForKey(holder, key)
	decision, err := d.IdempotencyKeys.Admit(ctx, holder, key)
	var wrong *ticket.KeyLengthError
	if errors.As(err, &wrong) {
		return request.Reject(MalformedIdempotencyKey)
	}
	if err != nil {
		return held(request, StoreUnreachable, err)
	}
	claimed, isClaimed := decision.(*ticket.AdmittedByKey)
	if !isClaimed {
		return d.repeatedKey(request, decision)
	}
	outcome := run(ctx)
	d.settle(ctx, claimed, outcome)
	return outcome
}

func (*Deduplicator) repeatedKey(request *exchange.Request, decision ticket.Decision) exchange.Outcome {
	before, _ := decision.(ticket.Duplicate)
	return repeated(request, before.Result)
}

// settle writes the result. The key is free again before the caller learns that
// its request was not run; an answer does not wait.
func (d *Deduplicator) settle(ctx context.Context, claimed *ticket.AdmittedByKey, outcome exchange.Outcome) {
	result := resultOf(outcome)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleTimeout)
	write := func() {
		defer cancel()
		// Without the result, repeats are told that the request is running.
		_ = claimed.RecordResult(ctx, result)
	}
	if result == ticket.NotRun {
		write()
		return
	}
	d.settling.Go(write)
}
