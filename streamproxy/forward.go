package streamproxy

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

// maxPickAttempts is the largest number of slots that pickServer acquires, one after another,
// to find one on a backend server that was not tried yet. It releases a slot on a server that
// was tried before it acquires the next.
const maxPickAttempts = 3

// heldSlot is a slot on a backend server that a request holds.
type heldSlot struct {
	queueGrant  *queue.Grant[*backend.Reservation]
	reservation *backend.Reservation
}

// forward passes the request through admission, sends it if it may run, and returns the
// outcome. If that is a response, the request keeps its slot until the response has been
// forwarded.
func (s *requestState) forward(request *exchange.Request) exchange.Outcome {
	return s.handler.Admission.Serve(s.ctx, request, s.team, func(context.Context) exchange.Outcome {
		return s.sendAdmitted(request)
	})
}

// sendAdmitted sends an admitted request to one backend server after another, until a server
// responds or no further attempt is allowed. It rejects the request before anything is sent
// if the team exceeds its rate.
func (s *requestState) sendAdmitted(request *exchange.Request) exchange.Outcome {
	if err := s.acquireRateToken(); err != nil {
		return s.reject(request, err)
	}
	sender := retry.Sender{
		Send:          s.sendToServer,
		Budget:        s.handler.retryBudget(s.route.Name),
		CrashDetector: s.crashDetector(),
	}
	outcome := sender.Do(s.ctx, request, s.pickServer)
	notRun, isNotRun := outcome.(exchange.NotRun)
	if !isNotRun {
		return outcome
	}
	s.returnRateToken()
	if notRun.Reason() == retry.NoBackendServer && s.rejectCause != nil {
		return s.reject(request, s.rejectCause)
	}
	return outcome
}

// crashDetector returns the handler's crash detector. It returns a nil interface instead
// of an interface that holds a nil pointer.
func (s *requestState) crashDetector() retry.CrashDetector {
	if s.handler.CrashDetector == nil {
		return nil
	}
	return s.handler.CrashDetector
}

// reject rejects the request for an error of this host, and keeps the error for the
// response to the caller.
func (s *requestState) reject(request *exchange.Request, cause error) exchange.Outcome {
	s.rejectCause = cause
	return request.Reject(errorResponseFor(cause).Reason)
}

// pickServer acquires a slot on a backend server that is not among those already tried, and
// returns the server. It returns false if it gets no such slot. It sets s.slot and
// s.rejectCause.
func (s *requestState) pickServer(tried []netip.AddrPort) (netip.AddrPort, bool) {
	for range maxPickAttempts {
		if s.rejectCause = s.acquireSlot(); s.rejectCause != nil {
			return netip.AddrPort{}, false
		}
		server := s.slot.reservation.Address
		if !slices.Contains(tried, server) {
			return server, true
		}
		s.releaseSlot(backend.Inconclusive{})
	}
	return netip.AddrPort{}, false
}

// acquireSlot waits for a slot. It then checks the API key again, since the request may
// have waited long, or the process may have been paused, and the key may have been
// withdrawn in that time.
func (s *requestState) acquireSlot() error {
	grant, err := s.waitForSlot()
	var regionLost *backend.RegionLostError
	if errors.As(err, &regionLost) {
		// The region was lost to the service after the decision. The router may
		// choose another one.
		s.handler.Router.SetRegionLost(regionLost.Service, regionLost.Region, true)
		s.regionDecision = nil
		grant, err = s.waitForSlot()
	}
	if err != nil {
		return err
	}
	s.handler.Metrics.RecordQueueWait(s.team, grant.WaitTime)
	s.slot = &heldSlot{
		queueGrant:  grant,
		reservation: grant.Value,
	}
	if err := s.authenticate(); err != nil {
		s.releaseSlot(backend.Inconclusive{})
		return err
	}
	return nil
}

// waitForSlot waits for a slot in the region that the router decided on. Retries use the same
// decision, because each call of Decide uses up tokens of the rate limits of inter-region
// links and traffic shifts.
func (s *requestState) waitForSlot() (*queue.Grant[*backend.Reservation], error) {
	routeRequest := steer.Request{
		Route: s.route.Name,
		Team:  s.team,
		Hash:  steer.HashRequest(s.team, s.callerAddress(), s.requestID),
	}
	if s.regionDecision == nil {
		decision, err := s.handler.Router.Decide(routeRequest)
		if err != nil {
			return nil, err
		}
		s.regionDecision = &decision
	}
	key := slotQueueKey{
		Service: s.regionDecision.Service,
		Region:  s.regionDecision.Region,
	}
	grant, err := s.handler.slotQueueFor(key).Acquire(s.ctx, s.team, s.deadline)
	if isSlotShortage(err) {
		s.handler.Router.RecordNoFreeSlot(routeRequest, *s.regionDecision)
	}
	return grant, err
}

// isSlotShortage reports whether the request failed because the region has no free slot,
// or is not expected to have one in time.
func isSlotShortage(err error) bool {
	var noSlot *backend.NoFreeSlotError
	var deadline *queue.DeadlineError
	return errors.As(err, &noSlot) || errors.As(err, &deadline)
}

// sendToServer sends the request to the backend server of the held slot. It releases the
// slot unless the outcome is a response.
func (s *requestState) sendToServer(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome {
	outcome := s.handler.Client.Send(ctx, server, request)
	s.lastServer = s.slot.reservation.Server
	switch o := outcome.(type) {
	case exchange.NotRun:
		s.releaseSlot(healthOutcomeOfNotRun(o))
	case *exchange.Unknown:
		s.releaseSlot(healthOutcomeOfUnknown(o))
	}
	return outcome
}

// releaseSlot releases the held slot, if there is one, and reports to the pool what the
// outcome says about the health of the backend server.
func (s *requestState) releaseSlot(healthOutcome backend.Outcome) {
	if s.slot == nil {
		return
	}
	s.handler.Pool.Release(s.slot.reservation, healthOutcome)
	s.slot.queueGrant.Release()
	s.slot = nil
}

// healthOutcomeOfNotRun returns the outcome to report for the health of the backend server
// when the request was not run.
func healthOutcomeOfNotRun(outcome exchange.NotRun) backend.Outcome {
	if outcome.RefusedByServer() {
		return backend.Rejected{
			Draining: outcome.Reason() == header.Draining,
		}
	}
	switch outcome.Reason() {
	case exchange.Unreachable, exchange.NotSent:
		return backend.Failed{}
	default:
		return backend.Inconclusive{}
	}
}

// healthOutcomeOfUnknown returns the outcome to report for the health of the backend server
// when the request may have run.
func healthOutcomeOfUnknown(outcome *exchange.Unknown) backend.Outcome {
	if outcome.Reason == exchange.Cancelled {
		return backend.Inconclusive{}
	}
	return backend.Failed{}
}
