package placement

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Reservation is one request's slot, or queue position, on a backend server. It
// is held until [Pool.Release] is called with it.
type Reservation struct {
	Server objectstore.Machine
	// QueueTime is how long the request was queued on this host before it got the
	// reservation.
	QueueTime time.Duration

	server     *server
	route      string
	acquiredAt time.Time
	// aboveSlots is true if the server had more requests than slots, this
	// request included, when the reservation was made.
	aboveSlots bool
}

// Acquire reserves a backend server for the request. If all candidate servers are
// full, the request is queued until one has room, its queue deadline passes, or ctx
// is done. It returns a [NoServerError] if no server may serve the request, a
// [BusyError] if none has room before the queue deadline or all are paused, and a
// [CancelledError] if ctx was done first.
func (p *Pool) Acquire(ctx context.Context, request Request) (*Reservation, error) {
	queued, reservation, err := p.reserveOrEnqueue(&request)
	if err != nil || reservation != nil {
		return reservation, err
	}
	return p.wait(ctx, queued)
}

// reserveOrEnqueue returns a reservation if a candidate server has room now.
// Otherwise it queues the request. It returns a [NoServerError] if no server may serve
// the request, and a [BusyError] if all are paused or the estimated wait ends after the queue
// deadline.
func (p *Pool) reserveOrEnqueue(request *Request) (*queuedRequest, *Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	svc := p.service(request.Service)
	candidates := p.candidates(svc, request, now)
	if len(candidates) == 0 {
		if err := p.unservable(svc, request, now); err != nil {
			return nil, nil, err
		}
	}
	if s := p.reserveServer(candidates, now); s != nil {
		return nil, newReservation(s, request.Route, now, 0), nil
	}
	wait := p.estimateWait(request, candidates, now)
	if len(candidates) == 0 {
		wait = p.timeUntilAccepting(svc, request, wait, now)
	}
	if now.Add(wait).After(request.QueueDeadline) {
		return nil, nil, &BusyError{
			Service:    request.Service,
			RetryAfter: wait,
		}
	}
	return svc.enqueue(*request, candidates, now), nil, nil
}

// newReservation returns a reservation of a server whose in-flight count already
// includes the request.
func newReservation(s *server, route string, now time.Time, queueTime time.Duration) *Reservation {
	return &Reservation{
		Server:     s.Machine,
		QueueTime:  queueTime,
		server:     s,
		route:      route,
		acquiredAt: now,
		aboveSlots: s.load(now) > float64(s.Slots),
	}
}
