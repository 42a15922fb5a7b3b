package placement

import (
	"cmp"
	"context"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Reservation is a request's place on a backend server. [Pool.Release] gives it
// back.
type Reservation struct {
	Server objectstore.Machine
	// Waited is how long the request waited for it.
	Waited time.Duration

	server *server
	route  string
	taken  time.Time
	// crowded tells that the server's slots were taken.
	crowded bool
}

// waiter is a request that waits for a place.
type waiter struct {
	want     Request
	sequence uint64
	since    time.Time
	// places are those that it waits for, as they were last.
	places []*server
	// granted gets the reservation, once.
	granted chan *Reservation
}

// Acquire returns a place for the request, waiting for one until the request
// gives up. It returns a [NoServerError], a [BusyError] or a [CancelledError].
func (p *Pool) Acquire(ctx context.Context, w Request) (*Reservation, error) {
	waiting, reservation, err := p.enter(w)
	if err != nil || reservation != nil {
		return reservation, err
	}
	timer := time.NewTimer(w.WaitDeadline.Sub(p.now()))
	defer timer.Stop()
	select {
	case reservation = <-waiting.granted:
		return reservation, nil
	case <-timer.C:
		return p.abandon(waiting, nil)
	case <-ctx.Done():
		return p.abandon(waiting, context.Cause(ctx))
	}
}

// enter takes a place at once or gets in line.
func (p *Pool) enter(w Request) (*waiter, *Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	g := p.group(w.Service)
	candidates := p.candidates(g, &w, now)
	if len(candidates) == 0 && len(p.usable(g, &w)) == 0 {
		return nil, nil, &NoServerError{
			Service: w.Service,
		}
	}
	if s := p.choose(candidates, now); s != nil {
		return nil, reserve(s, w.Route, now, 0), nil
	}
	if wait := p.wait(g, &w, candidates, now); now.Add(wait).After(w.WaitDeadline) {
		return nil, nil, &BusyError{
			Service:    w.Service,
			RetryAfter: wait,
		}
	}
	g.sequence++
	waiting := &waiter{
		want:     w,
		sequence: g.sequence,
		since:    now,
		places:   candidates,
		granted:  make(chan *Reservation, 1),
	}
	g.line(waiting)
	return waiting, nil, nil
}

func reserve(s *server, route string, now time.Time, waited time.Duration) *Reservation {
	return &Reservation{
		Server: s.Machine,
		Waited: waited,
		server: s,
		route:  route,
		taken:  now,
		// The request itself is counted by now.
		crowded: s.load(now) > float64(s.Slots),
	}
}

// line puts a request in its place in line: the urgent first, then the earlier.
func (g *group) line(w *waiter) {
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.want.Priority, b.want.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	g.waiting = slices.Insert(g.waiting, at, w)
}

// abandon takes a request out of line. A place that it was just given is given
// back.
func (p *Pool) abandon(w *waiter, cause error) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	g := p.group(w.want.Service)
	if at := slices.Index(g.waiting, w); at >= 0 {
		g.waiting = slices.Delete(g.waiting, at, at+1)
	}
	select {
	case reservation := <-w.granted:
		if cause == nil {
			return reservation, nil
		}
		reservation.server.running--
		p.dispatch(g, p.now())
	default:
	}
	if cause != nil {
		return nil, &CancelledError{
			Cause: cause,
		}
	}
	return nil, &BusyError{
		Service:    w.want.Service,
		Waited:     p.now().Sub(w.since),
		RetryAfter: p.now().Sub(w.since),
	}
}

// dispatch gives the places that are free to those who wait.
func (p *Pool) dispatch(g *group, now time.Time) {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		w.places = p.candidates(g, &w.want, now)
		s := p.choose(w.places, now)
		if s == nil {
			return false
		}
		w.granted <- reserve(s, w.want.Route, now, now.Sub(w.since))
		return true
	})
}

// wait estimates how long a request waits for one of its places: until those who
// go first have had one.
func (p *Pool) wait(g *group, w *Request, candidates []*server, now time.Time) time.Duration {
	slots, ahead := 0.0, 1.0
	for _, s := range candidates {
		slots += float64(s.Slots)
		ahead += max(0, s.load(now)-float64(s.Slots))
	}
	if slots == 0 {
		return time.Second
	}
	for _, other := range g.waiting {
		if other.want.Priority <= w.Priority {
			ahead += overlap(other.places, candidates)
		}
	}
	work := defaultWork
	if known, isKnown := p.works[w.Route]; isKnown {
		work = known.mean
	}
	return time.Duration(ahead / slots * float64(work))
}

// defaultWork is how long a request is taken to work before any was seen.
const defaultWork = 200 * time.Millisecond

// overlap is the part of the places of one request that another has too.
func overlap(places, others []*server) float64 {
	if len(places) == 0 {
		return 0
	}
	common := 0.0
	for _, s := range places {
		if slices.Contains(others, s) {
			common++
		}
	}
	return common / float64(len(places))
}
