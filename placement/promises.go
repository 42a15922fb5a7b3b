package placement

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minRetryAfter and maxRetryAfter bound the estimate from which the time of a return is computed.
	// The jitter is added to it.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// returnJitter is the largest part of the estimate that is added at random.
	returnJitter = 0.5
	// maxPromiseSpread bounds what is added for requests that were told to return and have not yet.
	maxPromiseSpread = time.Second
	// promisePrecision is the precision of the times at which requests were told to return, which bounds
	// the number of counters.
	promisePrecision = 50 * time.Millisecond
	// returnWindow is how long after the time that it was told a request counts as returning. It covers
	// a round trip and what callers add of their own.
	returnWindow = time.Second
)

// promiseKey identifies requests that can't be told apart when they return.
type promiseKey struct {
	team  string
	route string
}

// promiseCount counts the requests that were told to return at a time.
type promiseCount struct {
	at    time.Time
	count int
}

// promises counts the rejected requests that were told when to return, in the order of these times.
type promises struct {
	byKey map[promiseKey][]promiseCount
}

// add records that a request was told to return at the given time.
func (p *promises) add(key promiseKey, at time.Time) {
	if p.byKey == nil {
		p.byKey = make(map[promiseKey][]promiseCount)
	}
	at = at.Truncate(promisePrecision)
	counts := p.byKey[key]
	i, isFound := slices.BinarySearchFunc(counts, at, func(c promiseCount, at time.Time) int { return c.at.Compare(at) })
	if !isFound {
		counts = slices.Insert(counts, i, promiseCount{
			at: at,
		})
	}
	counts[i].count++
	p.byKey[key] = counts
}

// take reports whether a request that arrives now was told to return by now, and counts it no more.
func (p *promises) take(key promiseKey, now time.Time) bool {
	counts := p.current(key, now)
	if len(counts) == 0 || counts[0].at.After(now) {
		return false
	}
	counts[0].count--
	if counts[0].count == 0 {
		p.set(key, counts[1:])
	}
	return true
}

// outstanding returns how many requests were told to return and have not yet.
func (p *promises) outstanding(key promiseKey, now time.Time) int {
	total := 0
	for _, c := range p.current(key, now) {
		total += c.count
	}
	return total
}

// current returns the counts after dropping those whose window has passed.
func (p *promises) current(key promiseKey, now time.Time) []promiseCount {
	counts := p.byKey[key]
	dropped := 0
	for dropped < len(counts) && now.Sub(counts[dropped].at) > returnWindow {
		dropped++
	}
	if dropped > 0 {
		counts = counts[dropped:]
		p.set(key, counts)
	}
	return counts
}

func (p *promises) set(key promiseKey, counts []promiseCount) {
	if len(counts) == 0 {
		delete(p.byKey, key)
		return
	}
	p.byKey[key] = counts
}

// reject returns the error for a request that is expected to wait for the given time, and records when it
// is told to return: after the wait, and that of the requests of its team and route that were told to return
// before, at the rate at which the team was granted slots lately, with jitter.
func (p *Pool) reject(svc *serviceState, request *Request, wait, queueTime time.Duration, now time.Time) *BusyError {
	key := promiseKey{
		team:  request.Team,
		route: request.Route,
	}
	retryAfter := max(minRetryAfter, wait)
	if slots := svc.accounts.account(request).slotsUsed(now); slots > 0 {
		ahead := float64(svc.promises.outstanding(key, now)) * float64(p.meanSlotTime(request.Route)) / slots
		retryAfter += time.Duration(min(ahead, float64(maxPromiseSpread)))
	}
	retryAfter = min(retryAfter, maxRetryAfter)
	retryAfter += time.Duration(returnJitter * p.random() * float64(retryAfter))
	if len(request.ExcludedServers) == 0 {
		// The caller of a request that was sent to a server before gets the outcome of that.
		svc.promises.add(key, now.Add(retryAfter))
	}
	return &BusyError{
		Service:    request.Service,
		QueueTime:  queueTime,
		RetryAfter: retryAfter,
		IsReturn:   request.isReturn,
	}
}

// PromiseReturn returns the time after which a request that no server ran may return, at least the
// given one, and counts the request as one that was told to.
func (p *Pool) PromiseReturn(request Request, atLeast time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, svc := p.now(), p.service(request.Service)
	request.ExcludedServers = nil
	wait := atLeast
	if candidates := p.candidates(svc, &request, now); len(candidates) > 0 {
		wait = max(wait, p.estimateWait(svc, &request, request.rank(), candidates, now))
	}
	return p.reject(svc, &request, wait, 0, now).RetryAfter
}

func (p *Pool) random() float64 {
	if p.Random == nil {
		return rand.Float64()
	}
	return p.Random()
}
