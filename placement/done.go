package placement

import (
	"math"
	"time"
)

// Evidence is what came of a request on a backend server: [Answered], [Shed],
// [Garbled], [Late], [Failed], [Misdirected] or [Abandoned].
type Evidence interface{ evidence() }

// Answered says that the server answered.
type Answered struct {
	// Took is how long the server worked and the way there and back took.
	Took time.Duration
	// Error tells that the answer is a failure of the server's own.
	Error bool
	// Load is what the server told of its load; nil if nothing.
	Load *Load
}

// Load is a backend server's report of itself.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Shed says that the server was there and did not run the request.
type Shed struct {
	Load *Load
}

// Failed says that the server was not reached, broke the connection, or did not
// answer in time.
type Failed struct{}

// Garbled says that the server answered, and its answer could not be used.
type Garbled struct{}

// Late says that the server did not answer in the time that the request had.
type Late struct{}

// Misdirected says that the server at the address is another one.
type Misdirected struct{}

// Abandoned says that the request ended for a reason that is not the server's.
type Abandoned struct{}

func (Answered) evidence()    {}
func (Shed) evidence()        {}
func (Failed) evidence()      {}
func (Garbled) evidence()     {}
func (Late) evidence()        {}
func (Misdirected) evidence() {}
func (Abandoned) evidence()   {}

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

// Done gives the place back and takes what the request showed of the server.
func (p *Pool) Done(r *Reservation, evidence Evidence) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := r.server
	s.running--
	switch e := evidence.(type) {
	case Answered:
		s.failures = 0
		s.judge(e.Error, now)
		s.report(e.Load, now)
		p.learn(r, e)
	case Shed:
		s.failures = 0
		s.judge(true, now)
		s.report(e.Load, now)
	case Garbled, Late:
		s.judge(true, now)
	case Failed:
		s.fail(now)
	case Misdirected:
		s.ejected = now.Add(lastEjection)
	case Abandoned:
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
func (s *server) report(l *Load, now time.Time) {
	if l == nil {
		return
	}
	s.tell(float64(l.Running+l.Waiting), now)
	s.others = math.Max(0, float64(l.Running+l.Waiting-s.running))
	s.reported = now
}
