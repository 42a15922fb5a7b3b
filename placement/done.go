package placement

import (
	"math"
	"time"
)

// Outcome is what came of a request on a backend server: [Responded], [Shed],
// [InvalidResponse], [DeadlineExceeded], [NoResponse], [Misdirected] or [Inconclusive].
type Outcome interface{ evidence() }

// Responded says that the server answered.
type Responded struct {
	// Latency is how long the server worked and the way there and back took.
	Latency time.Duration
	// ServerError tells that the answer is a failure of the server's own.
	ServerError bool
	// Load is what the server told of its load; nil if nothing.
	Load *LoadReport
}

// LoadReport is a backend server's report of itself.
type LoadReport struct {
	Running int
	Queued  int
	Slots   int
}

// Shed says that the server was there and did not run the request.
type Shed struct {
	Load *LoadReport
}

// NoResponse says that the server was not reached, broke the connection, or did not
// answer in time.
type NoResponse struct{}

// InvalidResponse says that the server answered, and its answer could not be used.
type InvalidResponse struct{}

// DeadlineExceeded says that the server did not answer in the time that the request had.
type DeadlineExceeded struct{}

// Misdirected says that the server at the address is another one.
type Misdirected struct{}

// Inconclusive says that the request ended for a reason that is not the server's.
type Inconclusive struct{}

func (Responded) evidence()        {}
func (Shed) evidence()             {}
func (NoResponse) evidence()       {}
func (InvalidResponse) evidence()  {}
func (DeadlineExceeded) evidence() {}
func (Misdirected) evidence()      {}
func (Inconclusive) evidence()     {}

// How long a server that failed gets nothing: the first time, and at most.
const (
	firstEjection = 500 * time.Millisecond
	lastEjection  = 4 * time.Second
)

// illWeight is the weight of one request in the recent part that failed.
const illWeight = 0.15

// illLimit is the part of requests that fail from which a server gets none for a
// while.
const illLimit = 0.5

// Release gives the place back and takes what the request showed of the server.
func (p *Pool) Release(r *Reservation, evidence Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := r.server
	s.running--
	switch e := evidence.(type) {
	case Responded:
		s.failures = 0
		s.judge(e.ServerError, now)
		s.report(e.Load, now)
		p.learn(r, e)
	case Shed:
		s.failures = 0
		s.judge(true, now)
		s.report(e.Load, now)
	case InvalidResponse, DeadlineExceeded:
		s.judge(true, now)
	case NoResponse:
		s.fail(now)
	case Misdirected:
		s.ejected = now.Add(lastEjection)
	case Inconclusive:
	}
	g := p.group(s.Service)
	g.finished.Add(now)
	p.dispatch(g, now)
}

// fail ejects the server for longer each time in a row.
func (s *server) fail(now time.Time) {
	span := firstEjection << min(s.failures, 8)
	s.failures++
	s.ejected = later(s.ejected, now.Add(min(span, lastEjection)))
}

// judge ejects a server that fails many requests.
func (s *server) judge(isBad bool, now time.Time) {
	bad := 0.0
	if isBad {
		bad = 1
	}
	s.ill += illWeight * (bad - s.ill)
	if s.ill > illLimit {
		s.ejected = later(s.ejected, now.Add(firstEjection))
		s.ill = illLimit / 2
	}
}

// report takes the server's word for its load. What is not this host's is others'.
func (s *server) report(l *LoadReport, now time.Time) {
	if l == nil {
		return
	}
	s.tell(float64(l.Running+l.Queued), now)
	s.others = math.Max(0, float64(l.Running+l.Queued-s.running))
	s.reported = now
}
