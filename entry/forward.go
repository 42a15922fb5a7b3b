package entry

import (
	"context"
	"errors"
	"net/netip"
	"slices"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/queue"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/steer"
)

// pickTries bounds how often a slot is given back because it is on a backend
// server that the request has met.
const pickTries = 3

// attempt is the slot that a request holds on a backend server.
type attempt struct {
	grant       *queue.Grant[*backend.Reservation]
	reservation *backend.Reservation
}

// forward admits the request if it may run, and sends it. What comes of it is
// left in the outcome; an answer holds its slot until it is finished.
func (c *call) forward(request *exchange.Request) exchange.Outcome {
	return c.handler.Desk.Serve(c.ctx, request, c.team, func(context.Context) exchange.Outcome {
		return c.run(request)
	})
}

// run sends an admitted request to backend servers. It ends with a refusal
// before a byte goes out if the team is above its rate.
func (c *call) run(request *exchange.Request) exchange.Outcome {
	if err := c.takeRate(); err != nil {
		return c.withhold(request, err)
	}
	sender := retry.Sender{
		Send:          c.send,
		Budget:        c.handler.budgetOf(c.route.Name),
		CrashDetector: c.suspects(),
	}
	outcome := sender.Do(c.ctx, request, c.pick)
	notRun, isNotRun := outcome.(exchange.NotRun)
	if !isNotRun {
		return outcome
	}
	c.giveBack()
	if notRun.Reason() == retry.NoBackendServer && c.cause != nil {
		return c.withhold(request, c.cause)
	}
	return outcome
}

func (c *call) suspects() retry.CrashDetector {
	if c.handler.Suspects == nil {
		return nil
	}
	return c.handler.Suspects
}

// withhold refuses the request for a cause of this host's own, and keeps the
// cause for the caller's answer.
func (c *call) withhold(request *exchange.Request, cause error) exchange.Outcome {
	c.cause = cause
	return request.Reject(classify(cause).Reason)
}

// pick decides the region and waits for a slot on a backend server that the
// request has not met.
func (c *call) pick(tried []netip.AddrPort) (netip.AddrPort, bool) {
	for range pickTries {
		if c.cause = c.acquire(); c.cause != nil {
			return netip.AddrPort{}, false
		}
		server := c.attempt.reservation.Address
		if !slices.Contains(tried, server) {
			return server, true
		}
		c.release(backend.Abandoned{})
	}
	return netip.AddrPort{}, false
}

// acquire takes a slot. It checks the key once more, since the request may have
// waited long or the process may have been frozen.
func (c *call) acquire() error {
	grant, err := c.await()
	var lost *backend.LostRegionError
	if errors.As(err, &lost) {
		// The region is lost since the decision; the router may know another.
		c.handler.Router.SetRegionLost(lost.Service, lost.Region, true)
		c.decision = nil
		grant, err = c.await()
	}
	if err != nil {
		return err
	}
	c.handler.Measures.RecordQueueWait(c.team, grant.Waited)
	c.attempt = &attempt{
		grant:       grant,
		reservation: grant.Value,
	}
	if err := c.authenticate(); err != nil {
		c.release(backend.Abandoned{})
		return err
	}
	return nil
}

// await waits for a slot in the region that the router decided on. Further
// tries stay there: each decision takes tokens of links and shifts.
func (c *call) await() (*queue.Grant[*backend.Reservation], error) {
	question := steer.Request{
		Route: c.route.Name,
		Team:  c.team,
		Hash:  steer.HashRequest(c.team, c.client(), c.name),
	}
	if c.decision == nil {
		decision, err := c.handler.Router.Decide(question)
		if err != nil {
			return nil, err
		}
		c.decision = &decision
	}
	destination := place{
		Service: c.decision.Service,
		Region:  c.decision.Region,
	}
	grant, err := c.handler.queueOf(destination).Acquire(c.ctx, c.team, c.deadline)
	if isCrowded(err) {
		c.handler.Router.RecordNoFreeSlot(question, *c.decision)
	}
	return grant, err
}

// isCrowded reports whether the region had no room for the request in time.
func isCrowded(err error) bool {
	var slot *backend.NoSlotError
	var deadline *queue.DeadlineError
	return errors.As(err, &slot) || errors.As(err, &deadline)
}

// send hands the request to the backend server that holds the slot.
func (c *call) send(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome {
	outcome := c.handler.Client.Send(ctx, server, request)
	c.server = c.attempt.reservation.Server
	switch o := outcome.(type) {
	case exchange.NotRun:
		c.release(notRunEvidence(o))
	case *exchange.Unknown:
		c.release(unknownEvidence(o))
	}
	return outcome
}

// release ends the attempt, if there is one, and tells what it says of the
// backend server.
func (c *call) release(evidence backend.Outcome) {
	if c.attempt == nil {
		return
	}
	c.handler.Pool.Done(c.attempt.reservation, evidence)
	c.attempt.grant.Release()
	c.attempt = nil
}

func notRunEvidence(outcome exchange.NotRun) backend.Outcome {
	if outcome.RefusedByServer() {
		return backend.Shed{
			Leaving: outcome.Reason() == header.Draining,
		}
	}
	switch outcome.Reason() {
	case exchange.Unreachable, exchange.NotSent:
		return backend.Failed{}
	default:
		return backend.Abandoned{}
	}
}

func unknownEvidence(outcome *exchange.Unknown) backend.Outcome {
	if outcome.Reason == exchange.Cancelled {
		return backend.Abandoned{}
	}
	return backend.Failed{}
}
