/*
Package retry sends a request to a backend server, and sends it again to other
backend servers after a failure, within limits that keep retries from adding to an
overload. The request path in package streamproxy uses it once it has found the route and
checked the team's rate. The request path in package bufferproxy has a retry loop of its
own, and uses only [CrashDetector].

  - A request that may have run is sent again only if it is idempotent, and only
    once: at most two backend servers may have run it.
  - A retry after an attempt that may have cost a backend server work is taken from
    a [Budget], which allows fewer than one such retry for every ten requests.
  - A retry after an attempt that cost no backend server work, because the server
    was not reached or is draining, needs no budget. The number of attempts for a
    request is limited all the same.
  - A request that has crashed several backend servers is rejected; package crashdetect
    counts the servers that a request crashed.

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

// maxPossibleRuns is the largest number of attempts at an idempotent request that
// may have run.
const maxPossibleRuns = 2

// DefaultMaxAttempts is the default limit on the number of backend servers that a
// request is sent to.
const DefaultMaxAttempts = 4

// The reasons for which this package rejects a request.
const (
	// NoBackendServer means that there is no backend server to send the request
	// to.
	NoBackendServer header.Reason = "no-backend-server"
	// RequestCrashesServers means that backend servers crashed while they ran this
	// request.
	RequestCrashesServers header.Reason = "request-crashes-servers"
)

// SendFunc sends a request to a backend server once, as [exchange.Client.Send]
// does.
type SendFunc func(ctx context.Context, server netip.AddrPort, request *exchange.Request) exchange.Outcome

// PickFunc chooses a backend server that is not among those already tried. It
// returns false if there is none.
type PickFunc func(tried []netip.AddrPort) (netip.AddrPort, bool)

// CrashDetector detects requests that crash backend servers.
type CrashDetector interface {
	// Refuses reports whether the request must not be sent to a backend server,
	// because it has crashed too many of them.
	ShouldReject(request *exchange.Request) bool
	// Lost records that the backend server broke the connection on which the
	// request was sent.
	RecordBrokenConnection(request *exchange.Request, server netip.AddrPort)
	// Answered records that a backend server gave the request a complete response.
	RecordResponse(request *exchange.Request)
}

// Sender sends requests to backend servers.
type Sender struct {
	// Send sends a request to one backend server.
	Send SendFunc
	// Budget limits the retries that follow an attempt which may have cost a
	// backend server work. A nil budget denies all of these.
	Budget *Budget
	// CrashDetector detects requests that crash backend servers. It may be nil.
	CrashDetector CrashDetector
	// MaxAttempts is the largest number of backend servers that a request is sent
	// to; zero means [DefaultMaxAttempts].
	MaxAttempts int
}

// Do sends the request to one backend server after another until one has responded
// or a limit is reached, and returns the outcome of the last attempt. If there is no
// server to pick for the first attempt, or the crash detector refuses the request before
// it, Do rejects the request with [exchange.Request.Reject].
func (s *Sender) Do(ctx context.Context, request *exchange.Request, pick PickFunc) exchange.Outcome {
	s.Budget.RecordRequest()
	var tried []netip.AddrPort
	var last exchange.Outcome
	possibleRuns := 0
	for {
		if s.isCrashing(request) {
			return outcomeOrReject(last, request, RequestCrashesServers)
		}
		server, found := pick(tried)
		if !found {
			return outcomeOrReject(last, request, NoBackendServer)
		}
		last = s.Send(ctx, server, request)
		tried = append(tried, server)
		s.reportToDetector(request, server, last)
		if _, isUnknown := last.(*exchange.Unknown); isUnknown {
			possibleRuns++
		}
		if !s.shouldRetry(ctx, request, last, len(tried), possibleRuns) {
			return last
		}
	}
}

// outcomeOrReject returns the outcome of the last attempt, or rejects the request
// with the reason if there was no attempt.
func outcomeOrReject(last exchange.Outcome, request *exchange.Request, reason header.Reason) exchange.Outcome {
	if last != nil {
		return last
	}
	return request.Reject(reason)
}

func (s *Sender) isCrashing(request *exchange.Request) bool {
	return s.CrashDetector != nil && s.CrashDetector.ShouldReject(request)
}

// reportToDetector tells the crash detector about connections that the server broke,
// before or during the response, and about complete responses. How a response ends is
// known only when its body has been read.
func (s *Sender) reportToDetector(request *exchange.Request, server netip.AddrPort, outcome exchange.Outcome) {
	if s.CrashDetector == nil {
		return
	}
	switch o := outcome.(type) {
	case *exchange.Unknown:
		if o.Reason == exchange.ConnectionBroken {
			s.CrashDetector.RecordBrokenConnection(request, server)
		}
	case *exchange.Response:
		o.OnEnd = func() {
			if o.BrokenByServer() {
				s.CrashDetector.RecordBrokenConnection(request, server)
			} else if o.Err() == nil {
				s.CrashDetector.RecordResponse(request)
			}
		}
	}
}

// shouldRetry decides whether the request is sent again, and takes the retry from
// the budget if it needs one.
func (s *Sender) shouldRetry(ctx context.Context, request *exchange.Request, last exchange.Outcome, attempts, possibleRuns int) bool {
	if ctx.Err() != nil || attempts >= s.maxAttempts() || !request.CanResend() {
		return false
	}
	switch o := last.(type) {
	case exchange.NotRun:
		return needsNoBudget(o) || s.Budget.AllowRetry()
	case *exchange.Unknown:
		return request.Idempotent && possibleRuns < maxPossibleRuns && s.Budget.AllowRetry()
	}
	return false
}

// needsNoBudget reports whether the attempt cost no backend server any work: the
// server was not reached, or refused the request because it is draining.
func needsNoBudget(outcome exchange.NotRun) bool {
	return !outcome.RefusedByServer() || outcome.Reason() == header.Draining
}

func (s *Sender) maxAttempts() int {
	if s.MaxAttempts == 0 {
		return DefaultMaxAttempts
	}
	return s.MaxAttempts
}
