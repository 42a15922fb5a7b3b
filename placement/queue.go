package placement

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// queuedRequest is a request in a service's queue.
type queuedRequest struct {
	request Request
	account *teamAccount
	// slotTime is the expected slot time of the request.
	slotTime time.Duration
	rank     queueRank
	// inTimeUntil is the latest time of a grant with which the response can be in time, and
	// queuedUntil the end of the time in the queue.
	inTimeUntil time.Time
	queuedUntil time.Time
	sequence    uint64
	enqueuedAt  time.Time
	// candidates are the servers that the request waits for, as of the last
	// dispatch. Each of them lists the request as waiting.
	candidates []*server
	// granted receives the reservation, at most once; nil if the request is rejected before its time in
	// the queue ends, with the error rejection.
	granted   chan *Reservation
	rejection error
}

// compareQueued orders queued requests of the same rank and team: those that have returned first, then
// by arrival.
func compareQueued(a, b *queuedRequest) int {
	if a.request.isReturn != b.request.isReturn {
		if a.request.isReturn {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// work returns the fraction of the slot time, in seconds, that each of the candidates is expected
// to spend on the request.
func (q *queuedRequest) work() float64 {
	return q.slotTime.Seconds() / float64(max(len(q.candidates), 1))
}

// setCandidates replaces the servers that the request waits for.
func (q *queuedRequest) setCandidates(candidates []*server) {
	if slices.Equal(q.candidates, candidates) {
		return
	}
	for _, s := range q.candidates {
		s.waiting.remove(q, q.work())
	}
	q.candidates = slices.Clone(candidates)
	for _, s := range q.candidates {
		s.waiting.insert(q, q.work())
	}
}

// enqueue adds a request to the queue.
func (p *Pool) enqueue(svc *serviceState, request Request, candidates []*server, now time.Time) *queuedRequest {
	svc.sequence++
	q := &queuedRequest{
		request:    request,
		account:    svc.accounts.account(&request),
		slotTime:   p.meanSlotTime(request.Route),
		rank:       request.rank(),
		sequence:   svc.sequence,
		enqueuedAt: now,
		granted:    make(chan *Reservation, 1),
	}
	q.inTimeUntil = p.inTimeUntil(&request)
	q.queuedUntil = later(q.inTimeUntil, request.LateDeadline.Add(-q.slotTime))
	svc.queue.insert(q, q.slotTime.Seconds())
	q.setCandidates(candidates)
	return q
}

// dequeue removes a request from the queue, if it is still there.
func (svc *serviceState) dequeue(q *queuedRequest) {
	svc.queue.remove(q, q.slotTime.Seconds())
	q.setCandidates(nil)
}

// markLate moves a request behind all that can still be in time, or rejects it if it isn't expected to
// get a reservation before its time in the queue ends.
func (p *Pool) markLate(svc *serviceState, q *queuedRequest, now time.Time) {
	candidates := q.candidates
	svc.dequeue(q)
	q.rank.isLate = true
	if wait := p.estimateWait(svc, &q.request, q.rank, candidates, now); now.Add(wait).After(q.queuedUntil) {
		queueTime := now.Sub(q.enqueuedAt)
		q.rejection = p.reject(svc, &q.request, max(wait, queueTime), queueTime, now)
		q.granted <- nil
		return
	}
	svc.queue.insert(q, q.slotTime.Seconds())
	q.setCandidates(candidates)
}

// wait waits until the queued request is granted a reservation, its time in the queue ends or
// ctx is done.
func (p *Pool) wait(ctx context.Context, queued *queuedRequest) (*Reservation, error) {
	timer := time.NewTimer(queued.queuedUntil.Sub(p.now()))
	defer timer.Stop()
	select {
	case reservation := <-queued.granted:
		return queued.result(reservation)
	case <-timer.C:
		return p.removeQueued(queued, nil)
	case <-ctx.Done():
		return p.removeQueued(queued, context.Cause(ctx))
	}
}

// result returns what the queued request was granted.
func (q *queuedRequest) result(reservation *Reservation) (*Reservation, error) {
	if reservation == nil {
		return nil, q.rejection
	}
	return reservation, nil
}

// removeQueued removes a request from the queue. If cause is nil, its time in the queue
// ended, else it was cancelled. The request may have been granted a reservation in the
// meantime. That reservation is returned if the time ended, and released if the
// request was cancelled.
func (p *Pool) removeQueued(q *queuedRequest, cause error) (*Reservation, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	svc := p.service(q.request.Service)
	svc.dequeue(q)
	select {
	case reservation := <-q.granted:
		if cause == nil || reservation == nil {
			return q.result(reservation)
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
	// The time in the queue serves as the estimate of the time until a server has room.
	queueTime := p.now().Sub(q.enqueuedAt)
	return nil, p.reject(svc, &q.request, queueTime, queueTime, p.now())
}

// fullDispatchInterval is how often the end of a request may cause all queued requests to be
// tried. In between, only those that wait for its server are.
const fullDispatchInterval = 20 * time.Millisecond

// dispatchAfterRelease grants reservations after a request of the server ended.
func (p *Pool) dispatchAfterRelease(svc *serviceState, s *server, now time.Time) {
	if now.Sub(svc.dispatchedAt) >= fullDispatchInterval {
		p.dispatch(svc, now)
		return
	}
	p.dispatchServer(svc, s, now)
}

// dispatchServer grants reservations to the requests that wait for the server, in the order in
// which they are served, while it has room.
func (p *Pool) dispatchServer(svc *serviceState, s *server, now time.Time) {
	s.waiting.forEach(&svc.accounts, now, func(q *queuedRequest) bool {
		if !p.hasRoom(s, now) || q.rank.isLate && !s.hasFreeSlot(now) {
			return false
		}
		p.tryQueued(svc, q, now)
		return true
	})
}

// dispatch grants reservations to queued requests, in the order in which they are served, and
// removes them from the queue. Requests whose candidate servers are all full stay queued.
func (p *Pool) dispatch(svc *serviceState, now time.Time) {
	svc.dispatchedAt = now
	svc.queue.forEach(&svc.accounts, now, func(q *queuedRequest) bool {
		p.tryQueued(svc, q, now)
		return true
	})
}

// tryQueued grants a reservation to a queued request if one of its candidates has room, and rejects
// it if no server takes it any more. A request that became late is moved behind the others instead,
// and is granted only a free slot, so that no request that can be in time waits behind it at the server.
func (p *Pool) tryQueued(svc *serviceState, q *queuedRequest, now time.Time) {
	if !q.rank.isLate && now.After(q.inTimeUntil) {
		p.markLate(svc, q, now)
		return
	}
	candidates := p.candidates(svc, &q.request, now)
	usable := candidates
	if q.rank.isLate {
		usable = filter(candidates, func(s *server) bool { return s.hasFreeSlot(now) })
	}
	s := p.reserveServer(usable, now)
	if s == nil && len(candidates) == 0 {
		q.rejection = p.unservable(svc, &q.request, now)
	}
	switch {
	case q.rejection != nil:
		svc.dequeue(q)
		q.granted <- nil
		return
	case s == nil:
		q.setCandidates(candidates)
		return
	}
	svc.dequeue(q)
	q.account.charge(q.slotTime, now)
	reservation := newReservation(s, &q.request, now, now.Sub(q.enqueuedAt))
	reservation.IsLate = q.rank.isLate
	q.granted <- reservation
}

// grantInOrder queues a request whose candidates have room while others wait for them, and grants
// reservations in the order in which requests are served. It returns the request's
// reservation, or nil if none was left for it; the request is then not queued any more.
func (p *Pool) grantInOrder(svc *serviceState, request *Request, candidates []*server, now time.Time) (*Reservation, error) {
	q := p.enqueue(svc, *request, candidates, now)
	for _, s := range q.candidates {
		p.dispatchServer(svc, s, now)
	}
	select {
	case reservation := <-q.granted:
		return q.result(reservation)
	default:
		svc.dequeue(q)
		return nil, nil
	}
}

// isAwaited reports whether one of the servers has room that queued requests wait for. The load
// that other hosts report decreases with time, so that room also appears without the end of a
// request.
func (p *Pool) isAwaited(candidates []*server, now time.Time) bool {
	return slices.ContainsFunc(candidates, func(s *server) bool { return s.waiting.count > 0 && p.hasRoom(s, now) })
}

// hasRoom reports whether a request can be sent to the server.
func (p *Pool) hasRoom(s *server, now time.Time) bool {
	return float64(s.Slots+p.serverQueueLimit())-s.load(now) >= 1
}

// hasFreeSlot reports whether the server can run another request at once.
func (s *server) hasFreeSlot(now time.Time) bool {
	return float64(s.Slots)-s.load(now) >= 1
}

// estimateWait estimates how long a request would be queued until one of its
// candidate servers has room. It adds up the slot time of this request, of the requests
// on each candidate in excess of its slots, and of the queued requests that are served before.
// A queued request counts as the fraction of its candidates that are also candidates of this
// request.
func (p *Pool) estimateWait(svc *serviceState, request *Request, rank queueRank, candidates []*server, now time.Time) time.Duration {
	account := svc.accounts.account(request)
	slotTime := p.meanSlotTime(request.Route).Seconds()
	slots, work := 0.0, slotTime
	for _, s := range candidates {
		slots += float64(s.Slots)
		work += max(0, s.load(now)-float64(s.Slots)) * slotTime
		work += s.waiting.workAhead(&svc.accounts, account, rank, request.isReturn, now)
	}
	if slots == 0 {
		// There is no candidate: all servers to choose from are cold, and this host has
		// no token for any of them.
		return time.Second
	}
	return time.Duration(work / slots * float64(time.Second))
}

// defaultSlotTime is the assumed time that a request occupies a slot, for routes
// without measurements.
const defaultSlotTime = 200 * time.Millisecond

// meanSlotTime returns the mean time that a request of the route occupies a slot.
func (p *Pool) meanSlotTime(route string) time.Duration {
	if known, isKnown := p.slotTimes[route]; isKnown {
		return known.mean
	}
	return defaultSlotTime
}
