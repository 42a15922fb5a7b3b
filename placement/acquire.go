package placement

import (
	"cmp"
	"context"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Reservation is a request's place on a backend server. [Pool.Done] gives it
// back.
type Reservation struct {
	Server objectstore.Machine
	// Waited is how long the request waited for it.
	Waited time.Duration

	server *server
	route  string
	taken  time.Time
}

// waiter is a request that waits for a place.
type waiter struct {
	want     Want
	sequence uint64
	since    time.Time
	// granted gets the reservation, once.
	granted chan *Reservation
}

// Acquire returns a place for the request, waiting for one until the request
// gives up. It returns a [NoServerError], a [BusyError] or a [GoneError].
func (p *Pool) Acquire(ctx context.Context, w Want) (*Reservation, error) {
	waiting, reservation, err := p.enter(w)
	if err != nil || reservation != nil {
		return reservation, err
	}
	timer := time.NewTimer(w.GiveUp.Sub(p.now()))
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
func (p *Pool) enter(w Want) (*waiter, *Reservation, error) {
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
	if !now.Before(w.GiveUp) {
		return nil, nil, &BusyError{
			Service: w.Service,
			Free:    g.wait(now),
		}
	}
	g.sequence++
	waiting := &waiter{
		want:     w,
		sequence: g.sequence,
		since:    now,
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
	}
}

// line puts a request in its place in line: the urgent first, then the earlier.
func (g *group) line(w *waiter) {
	at, _ := slices.BinarySearchFunc(g.waiting, w, func(a, b *waiter) int {
		return cmp.Or(cmp.Compare(a.want.Rank, b.want.Rank), cmp.Compare(a.sequence, b.sequence))
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
		return nil, &GoneError{
			Cause: cause,
		}
	}
	return nil, &BusyError{
		Service: w.want.Service,
		Waited:  p.now().Sub(w.since),
		Free:    g.wait(p.now()),
	}
}

// dispatch gives the places that are free to those who wait.
func (p *Pool) dispatch(g *group, now time.Time) {
	g.waiting = slices.DeleteFunc(g.waiting, func(w *waiter) bool {
		s := p.choose(p.candidates(g, &w.want, now), now)
		if s == nil {
			return false
		}
		w.granted <- reserve(s, w.want.Route, now, now.Sub(w.since))
		return true
	})
}

// wait estimates how long the line takes.
func (g *group) wait(now time.Time) time.Duration {
	perSecond := max(g.finished.At(now), 1)
	return time.Duration(float64(len(g.waiting)+1) / perSecond * float64(time.Second))
}
