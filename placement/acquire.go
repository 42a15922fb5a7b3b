package placement

import (
	"cmp"
	"context"
	"slices"
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

// queuedRequest is a request in a service's queue.
type queuedRequest struct {
	request    Request
	sequence   uint64
	enqueuedAt time.Time
	// candidates are the servers that the request waits for, as of the last
	// dispatch.
	candidates []*server
	// granted receives the reservation, at most once.
	granted chan *Reservation
}

// Acquire reserves a backend server for the request. If all candidate servers are
// full, the request is queued until one has room, its wait deadline passes, or ctx
// is done. It returns a [NoServerError] if no server may serve the request, a
// [BusyError] if none has room before the wait deadline, and a [CancelledError] if
// ctx was done first.
func (p *Pool) Acquire(ctx context.Context, request Request) (*Reservation, error) {
	queued, reservation, err := p.reserveOrEnqueue(request)
	if err != nil || reservation != nil {
		return reservation, err
	}
	timer := time.NewTimer(request.QueueDeadline.Sub(p.now()))
	defer timer.Stop()
	select {
	case reservation = <-queued.granted:
		return reservation, nil
	case <-timer.C:
		return p.removeWaiting(queued, nil)
	case <-ctx.Done():
		return p.removeWaiting(queued, context.Cause(ctx))
	}
}

// reserveOrEnqueue returns a reservation if a candidate server has room now.
// Otherwise it queues the request. It returns a [NoServerError] if no server may serve
// the request, and a [BusyError] if the estimated wait ends after the wait deadline.
func (p *Pool) reserveOrEnqueue(request Request) (*queuedRequest, *Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	svc := p.service(request.Service)
	candidates := p.candidates(svc, &request, now)
	if len(candidates) == 0 && len(p.eligible(svc, &request)) == 0 {
		return nil, nil, &NoServerError{
			Service: request.Service,
		}
	}
	if s := p.reserveServer(candidates, now); s != nil {
		return nil, newReservation(s, request.Route, now, 0), nil
	}
	if wait := p.estimateWait(svc, &request, candidates, now); now.Add(wait).After(request.QueueDeadline) {
		return nil, nil, &BusyError{
			Service:    request.Service,
			RetryAfter: wait,
		}
	}
	svc.sequence++
	queued := &queuedRequest{
		request:    request,
		sequence:   svc.sequence,
		enqueuedAt: now,
		candidates: candidates,
		granted:    make(chan *Reservation, 1),
	}
	svc.enqueue(queued)
	return queued, nil, nil
}

// newReservation returns a reservation of a server whose in-flight count already
// includes the request.
func newReservation(s *server, route string, now time.Time, waited time.Duration) *Reservation {
	return &Reservation{
		Server:     s.Machine,
		QueueTime:  waited,
		server:     s,
		route:      route,
		acquiredAt: now,
		aboveSlots: s.load(now) > float64(s.Slots),
	}
}

// enqueue inserts a request into the queue, which is ordered by priority and then
// by arrival.
func (svc *serviceState) enqueue(q *queuedRequest) {
	at, _ := slices.BinarySearchFunc(svc.queue, q, func(a, b *queuedRequest) int {
		return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	svc.queue = slices.Insert(svc.queue, at, q)
}

// removeWaiting removes a request that stops waiting from the queue. If cause is nil,
// its wait deadline passed, else it was cancelled. The request may have been granted a
// reservation in the meantime. That reservation is returned if the deadline passed, and
// released if the request was cancelled.
func (p *Pool) removeWaiting(q *queuedRequest, cause error) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	svc := p.service(q.request.Service)
	if at := slices.Index(svc.queue, q); at >= 0 {
		svc.queue = slices.Delete(svc.queue, at, at+1)
	}
	select {
	case reservation := <-q.granted:
		if cause == nil {
			return reservation, nil
		}
		reservation.server.inFlight--
		p.dispatch(svc, p.now())
	default:
	}
	if cause != nil {
		return nil, &CancelledError{
			Cause: cause,
		}
	}
	// The time already waited serves as the estimate of the time until a server has room.
	return nil, &BusyError{
		Service:    q.request.Service,
		QueueTime:  p.now().Sub(q.enqueuedAt),
		RetryAfter: p.now().Sub(q.enqueuedAt),
	}
}

// dispatch grants reservations to queued requests, in queue order, and removes
// them from the queue. Requests whose candidate servers are all full stay queued.
func (p *Pool) dispatch(svc *serviceState, now time.Time) {
	svc.queue = slices.DeleteFunc(svc.queue, func(q *queuedRequest) bool {
		q.candidates = p.candidates(svc, &q.request, now)
		s := p.reserveServer(q.candidates, now)
		if s == nil {
			return false
		}
		q.granted <- newReservation(s, q.request.Route, now, now.Sub(q.enqueuedAt))
		return true
	})
}

// estimateWait estimates how long a request would be queued until one of its
// candidate servers has room. It adds up the requests to serve: this one, the requests
// on each candidate in excess of its slots, and the queued requests of the same or a
// more urgent priority. Each queued request counts as the fraction of its candidates
// that are also candidates of this request.
func (p *Pool) estimateWait(svc *serviceState, request *Request, candidates []*server, now time.Time) time.Duration {
	slots, requestsToServe := 0.0, 1.0
	for _, s := range candidates {
		slots += float64(s.Slots)
		requestsToServe += max(0, s.load(now)-float64(s.Slots))
	}
	if slots == 0 {
		// There is no candidate: all servers to choose from are cold, and this host has
		// no token for any of them.
		return time.Second
	}
	for _, other := range svc.queue {
		if other.request.Priority <= request.Priority {
			requestsToServe += overlap(other.candidates, candidates)
		}
	}
	meanSlotTime := defaultSlotTime
	if known, isKnown := p.slotTimes[request.Route]; isKnown {
		meanSlotTime = known.mean
	}
	return time.Duration(requestsToServe / slots * float64(meanSlotTime))
}

// defaultSlotTime is the assumed time that a request occupies a slot, for routes
// without measurements.
const defaultSlotTime = 200 * time.Millisecond

// overlap returns the fraction of servers that are also in others.
func overlap(servers, others []*server) float64 {
	if len(servers) == 0 {
		return 0
	}
	common := 0.0
	for _, s := range servers {
		if slices.Contains(others, s) {
			common++
		}
	}
	return common / float64(len(servers))
}
