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
	// IsReturn is true if the request counted as one that returned when it was told to.
	IsReturn bool
	// IsLate is true if the response could not be in time any more when the reservation was made.
	IsLate bool

	server     *server
	route      string
	acquiredAt time.Time
	// aboveSlots is true if the server had more requests than slots, this
	// request included, when the reservation was made.
	aboveSlots bool
}

// Acquire reserves a backend server for the request. If all candidate servers are
// full, the request is queued until one has room, its time in the queue ends, or ctx
// is done. It returns a [NoServerError] if no server may serve the request, a
// [BusyError] if none is expected to have room before the queue deadline, none had room in
// time or all are paused, and a [CancelledError] if ctx was done first.
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
	request.isReturn = len(request.ExcludedServers) == 0 && svc.promises.take(promiseKey{
		team:  request.Team,
		route: request.Route,
	}, now)
	candidates := p.candidates(svc, request, now)
	if len(candidates) == 0 {
		if err := p.unservable(svc, request, now); err != nil {
			return nil, nil, err
		}
	}
	if p.isAwaited(candidates, now) {
		if reservation, err := p.grantInOrder(svc, request, candidates, now); reservation != nil || err != nil {
			return nil, reservation, err
		}
		candidates = p.candidates(svc, request, now)
	}
	if s := p.reserveServer(candidates, now); s != nil {
		svc.accounts.account(request).charge(p.meanSlotTime(request.Route), now)
		return nil, newReservation(s, request, now, 0), nil
	}
	wait := p.estimateWait(svc, request, request.rank(), candidates, now)
	if len(candidates) == 0 {
		wait = p.timeUntilAccepting(svc, request, wait, now)
	}
	if now.Add(wait).After(p.admitUntil(request)) {
		return nil, nil, p.reject(svc, request, wait, 0, now)
	}
	return p.enqueue(svc, *request, candidates, now), nil, nil
}

// admitUntil returns the latest expected end of the wait with which the request is queued: its queue
// deadline, or for a request that has returned the last time at which its response can be in time.
func (p *Pool) admitUntil(request *Request) time.Time {
	if request.isReturn {
		return p.inTimeUntil(request)
	}
	return request.QueueDeadline
}

// inTimeUntil returns the latest time of a grant with which the response can be in time.
func (p *Pool) inTimeUntil(request *Request) time.Time {
	return later(request.QueueDeadline, request.Target.Add(-p.meanSlotTime(request.Route)))
}

// newReservation returns a reservation of a server whose in-flight count already
// includes the request.
func newReservation(s *server, request *Request, now time.Time, queueTime time.Duration) *Reservation {
	return &Reservation{
		Server:     s.Machine,
		QueueTime:  queueTime,
		IsReturn:   request.isReturn,
		server:     s,
		route:      request.Route,
		acquiredAt: now,
		aboveSlots: s.load(now) > float64(s.Slots),
	}
}
