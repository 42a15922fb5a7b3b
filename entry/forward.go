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

// maxPickAttempts is the number of slots that pickServer takes to find one on a backend
// server that the request was not sent to before. It releases the others.
const maxPickAttempts = 3

// heldSlot is a slot on a backend server that a request holds.
type heldSlot struct {
	grant       *queue.Grant[*backend.Reservation]
	reservation *backend.Reservation
}

// forward admits the request if it may run, sends it, and returns the outcome. If that is
// a response, the request keeps its slot until the response has been forwarded.
func (s *requestState) forward(request *exchange.Request) exchange.Outcome {
	return s.handler.Admission.Serve(s.ctx, request, s.team, func(context.Context) exchange.Outcome {
		return s.sendAdmitted(request)
	})
}

// sendAdmitted sends an admitted request to one backend server after another until there
// is an outcome. It rejects the request before anything is sent if the team exceeds its
// rate.
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

// pickServer waits for a slot and returns its backend server, which is not among those
// already tried. It returns false if it gets no such slot.
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
		// The region became unavailable after the decision. The router may choose
		// another one.
		s.handler.Router.SetRegionLost(regionLost.Service, regionLost.Region, true)
		s.decision = nil
		grant, err = s.waitForSlot()
	}
	if err != nil {
		return err
	}
	s.handler.Metrics.RecordQueueWait(s.team, grant.WaitTime)
	s.slot = &heldSlot{
		grant:       grant,
		reservation: grant.Value,
	}
	if err := s.authenticate(); err != nil {
		s.releaseSlot(backend.Inconclusive{})
		return err
	}
	return nil
}

// waitForSlot waits for a slot in the region that the router decided on. Further attempts
// stay in that region, because each decision takes tokens from the limits of the links
// between regions and of traffic shifts.
func (s *requestState) waitForSlot() (*queue.Grant[*backend.Reservation], error) {
	routeRequest := steer.Request{
		Route: s.route.Name,
		Team:  s.team,
		Hash:  steer.HashRequest(s.team, s.callerAddress(), s.requestID),
	}
	if s.decision == nil {
		decision, err := s.handler.Router.Decide(routeRequest)
		if err != nil {
			return nil, err
		}
		s.decision = &decision
	}
	key := queueKey{
		Service: s.decision.Service,
		Region:  s.decision.Region,
	}
	grant, err := s.handler.queueFor(key).Acquire(s.ctx, s.team, s.deadline)
	if isNoSlotInTime(err) {
		s.handler.Router.RecordNoFreeSlot(routeRequest, *s.decision)
	}
	return grant, err
}

// isNoSlotInTime reports whether the request failed because the region has no free slot,
// or is not expected to have one in time.
func isNoSlotInTime(err error) bool {
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
		s.releaseSlot(serverOutcomeOfNotRun(o))
	case *exchange.Unknown:
		s.releaseSlot(serverOutcomeOfUnknown(o))
	}
	return outcome
}

// releaseSlot releases the held slot, if there is one, and reports to the pool how the
// backend server did.
func (s *requestState) releaseSlot(serverOutcome backend.Outcome) {
	if s.slot == nil {
		return
	}
	s.handler.Pool.Release(s.slot.reservation, serverOutcome)
	s.slot.grant.Release()
	s.slot = nil
}

// serverOutcomeOfNotRun returns what a request that was not run shows about the backend
// server.
func serverOutcomeOfNotRun(outcome exchange.NotRun) backend.Outcome {
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

// serverOutcomeOfUnknown returns what a request that may have run shows about the backend
// server.
func serverOutcomeOfUnknown(outcome *exchange.Unknown) backend.Outcome {
	if outcome.Reason == exchange.Cancelled {
		return backend.Inconclusive{}
	}
	return backend.Failed{}
}
