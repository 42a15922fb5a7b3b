/*
Package retry sends a request to further backend servers when one did not run
it, within limits that keep retries from adding to an overload.

  - A request that may have run is sent again only if it is idempotent, and then
    once: it meets at most two backend servers that may have run it.
  - What a backend server has to work on again is paid from a [Budget]: fewer
    than one such retry for ten first tries.
  - A request that no backend server had to work on, because none was reached or
    it is draining, is sent on without a budget, to a bounded number of servers.
  - A request that several backend servers died of is refused; see package
    suspect.

# Usage

	sender := &retry.Sender{
		Send: client.Send,
		Budget: budgets[route],
	}
	outcome := sender.Do(ctx, request, pick)
*/
package retry

import (
	"context"
	"net/netip"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
)

// maxMayHaveRun is how many backend servers may have run an idempotent request.
const maxMayHaveRun = 2

// DefaultMaxAttempts is how many backend servers a request meets at most.
const DefaultMaxAttempts = 4

// The reasons for refusals of this package.
const (
	// NoBackendServer: there is no backend server to send the request to.
	NoBackendServer header.Reason = "no-backend-server"
	// RequestCrashesServers: backend servers died of this request.
	RequestCrashesServers header.Reason = "request-crashes-servers"
)

// SendFunc sends a request to a backend server, as [exchange.Client.SendFunc] does.
type SendFunc func(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome

// PickFunc chooses a backend server other than those tried, or none.
type PickFunc func(tried []netip.AddrPort) (netip.AddrPort, bool)

// CrashDetector knows the requests that backend servers die of.
type CrashDetector interface {
	// Refuses tells whether the request must not be sent any more.
	Refuses(request *exchange.Request) bool
	// Lost notes that the backend server broke the connection of the request.
	Lost(request *exchange.Request, server netip.AddrPort)
	// Answered notes that the request got a whole answer.
	Answered(request *exchange.Request)
}

// Sender sends requests.
type Sender struct {
	Send SendFunc
	// Budget pays for retries. Nil pays for none.
	Budget *Budget
	// CrashDetector may be nil.
	CrashDetector CrashDetector
	// MaxAttempts bounds the tries of a request; [DefaultMaxAttempts] if zero.
	MaxAttempts int
}

// Do sends the request to backend servers until one has answered it or the
// limits are reached, and returns what became of it.
func (s *Sender) Do(ctx context.Context, request *exchange.Request, pick PickFunc) exchange.Outcome {
	s.Budget.RecordRequest()
	var tried []netip.AddrPort
	var last exchange.Outcome
	mayHaveRun := 0
	for {
		if s.refuses(request) {
			return orElse(last, request, RequestCrashesServers)
		}
		server, found := pick(tried)
		if !found {
			return orElse(last, request, NoBackendServer)
		}
		last = s.Send(ctx, server, request)
		tried = append(tried, server)
		s.watch(request, server, last)
		if _, isUnknown := last.(*exchange.Unknown); isUnknown {
			mayHaveRun++
		}
		if !s.again(ctx, request, last, len(tried), mayHaveRun) {
			return last
		}
	}
}

// orElse returns the outcome of the last try, or refuses a request that had
// none.
func orElse(last exchange.Outcome, request *exchange.Request, reason header.Reason) exchange.Outcome {
	if last != nil {
		return last
	}
	return request.Reject(reason)
}

func (s *Sender) refuses(request *exchange.Request) bool {
	return s.CrashDetector != nil && s.CrashDetector.Refuses(request)
}

// watch tells of a server that broke the connection, in the answer too, and of
// whole answers.
func (s *Sender) watch(request *exchange.Request, server netip.AddrPort, outcome exchange.Outcome) {
	if s.CrashDetector == nil {
		return
	}
	switch o := outcome.(type) {
	case *exchange.Unknown:
		if o.Reason == exchange.ConnectionBroken {
			s.CrashDetector.Lost(request, server)
		}
	case *exchange.Response:
		o.OnEnd = func() {
			if o.BrokenByServer() {
				s.CrashDetector.Lost(request, server)
			} else if o.Err() == nil {
				s.CrashDetector.Answered(request)
			}
		}
	}
}

// again decides whether the request is sent once more.
func (s *Sender) again(ctx context.Context, request *exchange.Request, last exchange.Outcome, tries, mayHaveRun int) bool {
	if ctx.Err() != nil || tries >= s.maxTries() || !request.CanResend() {
		return false
	}
	switch o := last.(type) {
	case exchange.NotRun:
		return isFree(o) || s.Budget.AllowRetry()
	case *exchange.Unknown:
		return request.Idempotent && mayHaveRun < maxMayHaveRun && s.Budget.AllowRetry()
	}
	return false
}

// isFree tells whether the try cost no backend server any work.
func isFree(outcome exchange.NotRun) bool {
	return !outcome.RefusedByServer() || outcome.Reason() == header.Draining
}

func (s *Sender) maxTries() int {
	if s.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return s.MaxAttempts
}
