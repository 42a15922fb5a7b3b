package placement

import (
	"math"
	"time"
)

// Outcome is how a request to a backend server ended, as far as it concerns the
// server's health: [Responded], [Refused], [InvalidResponse], [DeadlineExceeded],
// [NoResponse], [Misdirected] or [Inconclusive].
type Outcome interface{ isOutcome() }

// Responded means that the server sent a complete response.
type Responded struct {
	// Latency is the time from sending the request to the end of the response,
	// network included.
	Latency time.Duration
	// ServerError is true if the response reports a failure of the server itself.
	ServerError bool
	// Load is the load that the server reported with the response; nil if none.
	Load *LoadReport
}

// LoadReport is the load that a backend server reports with a response: its
// running and queued requests and its slots.
type LoadReport struct {
	Running int
	Queued  int
	Slots   int
	// WorkTimePercent is how long work takes on the server's machine at the time of the
	// response, in percent of the usual time; zero if the server does not report it. It
	// changes many times per second.
	WorkTimePercent int
}

// Refused means that the server was reached and refused to run the request, for example
// to reduce its load or because it is draining.
type Refused struct {
	Load *LoadReport
}

// NoResponse means that the server was unreachable, broke the connection, or sent
// nothing within the response timeout of the client that sends the requests.
type NoResponse struct{}

// InvalidResponse means that the server responded, but the response was unusable.
type InvalidResponse struct{}

// DeadlineExceeded means that the request's own deadline passed before the server
// responded.
type DeadlineExceeded struct{}

// Misdirected means that a different server runs at the address.
type Misdirected struct{}

// Inconclusive means that the request ended for a reason that says nothing about
// the server, for example because the caller closed its connection or cancelled the
// request.
type Inconclusive struct{}

func (Responded) isOutcome()        {}
func (Refused) isOutcome()          {}
func (NoResponse) isOutcome()       {}
func (InvalidResponse) isOutcome()  {}
func (DeadlineExceeded) isOutcome() {}
func (Misdirected) isOutcome()      {}
func (Inconclusive) isOutcome()     {}

// An ejected server gets no requests, unless all eligible servers are ejected. A server
// is ejected for initialEjection after a [NoResponse] outcome, and for twice as long after
// each further one in a row, up to maxEjection. It is ejected for initialEjection when its
// failure rate is above maxFailureRate, and for maxEjection after a [Misdirected] outcome.
const (
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
)

// failureWeight is the weight of one request in the moving average of a server's
// failure rate.
const failureWeight = 0.15

// maxFailureRate is the fraction of failed requests above which a server is
// ejected.
const maxFailureRate = 0.5

// Release releases the reservation, updates the server's health and load from the
// outcome of the request, and dispatches queued requests.
func (p *Pool) Release(r *Reservation, outcome Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := r.server
	s.inFlight--
	p.recordContact(s, outcome, now)
	s.recordHeard(outcome, now)
	switch o := outcome.(type) {
	case Responded:
		s.consecutiveFailures = 0
		s.updateFailureRate(o.ServerError, now)
		s.recordLoad(o.Load, now)
		p.recordSlotTime(r, o)
	case Refused:
		s.consecutiveFailures = 0
		s.updateFailureRate(true, now)
		s.recordLoad(o.Load, now)
	case InvalidResponse, DeadlineExceeded:
		s.updateFailureRate(true, now)
	case NoResponse:
		s.eject(now)
	case Misdirected:
		s.ejectedUntil = now.Add(maxEjection)
	case Inconclusive:
	}
	p.dispatchAfterRelease(p.service(s.Service), s, now)
}

// recordHeard records when the server responded. Another server at its address does not count.
func (s *server) recordHeard(outcome Outcome, now time.Time) {
	switch outcome.(type) {
	case Responded, Refused, InvalidResponse:
		s.heardAt = now
	case Misdirected:
		s.heardAt = time.Time{}
	case NoResponse, DeadlineExceeded, Inconclusive:
	}
}

// eject ejects the server after a [NoResponse] outcome, for longer with each one in a
// row.
func (s *server) eject(now time.Time) {
	duration := initialEjection << min(s.consecutiveFailures, 8)
	s.consecutiveFailures++
	s.ejectedUntil = later(s.ejectedUntil, now.Add(min(duration, maxEjection)))
}

// updateFailureRate adds a request to the server's failure rate. If the rate is above
// maxFailureRate, it ejects the server and lowers the rate to half of that.
func (s *server) updateFailureRate(isFailure bool, now time.Time) {
	failure := 0.0
	if isFailure {
		failure = 1
	}
	s.failureRate += failureWeight * (failure - s.failureRate)
	if s.failureRate > maxFailureRate {
		s.ejectedUntil = later(s.ejectedUntil, now.Add(initialEjection))
		s.failureRate = maxFailureRate / 2
	}
}

// recordLoad updates the server's load from its report. Requests that this host did
// not send are counted as those of other hosts.
func (s *server) recordLoad(l *LoadReport, now time.Time) {
	if l == nil {
		return
	}
	s.updateMeanLoad(float64(l.Running+l.Queued), now)
	s.otherHostsLoad = math.Max(0, float64(l.Running+l.Queued-s.inFlight))
	s.reportedAt = now
}
