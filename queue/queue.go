package queue

import (
	"context"
	"sync"
	"time"
)

// DefaultMaxQueuedPerTeam is the value of [Queue.MaxQueuedPerTeam] if that is zero.
const DefaultMaxQueuedPerTeam = 64

// Queue grants values from TryAcquire to queued requests, fairly between teams.
// It is safe for concurrent use. TryAcquire must be set before the first use;
// all other fields may stay zero.
type Queue[T any] struct {
	// TryAcquire acquires the resource for one request without blocking. An error
	// that has a method IsTemporary() bool returning true means that nothing is
	// free now; the request stays queued. Any other error is returned to the
	// request. TryAcquire is called with the queue locked and must not call the
	// queue.
	TryAcquire func() (T, error)
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// MaxQueuedPerTeam is how many requests of a team may wait; zero
	// means DefaultMaxQueuedPerTeam.
	MaxQueuedPerTeam int
	// OnViolation is called for each violated invariant, with the queue locked.
	OnViolation func(Violation)

	mu      sync.Mutex
	weights map[string]float64
	teams   map[string]*teamQueue[T]
	// waitingTeams is a heap of the teams that have queued requests.
	waitingTeams teamHeap[T]
	// waitingWeight is the sum of the weights of waitingTeams.
	waitingWeight float64
	// virtualTime is the highest start tag of a granted request, in grant-seconds
	// divided by the weight of the team.
	virtualTime float64
	// grantsHeld is the number of grants that are not yet released.
	grantsHeld int
	// queued is the number of queued requests of all teams.
	queued int
	// meanHoldTime is the moving average of the time that a grant is held, in
	// seconds; zero until the first grant is released.
	meanHoldTime   float64
	violationCount int
}

// Grant is a value that a request holds until it calls Release.
type Grant[T any] struct {
	Value T
	// WaitTime is how long the request was queued.
	WaitTime time.Duration

	queue          *Queue[T]
	team           *teamQueue[T]
	grantedAt      time.Time
	chargedSeconds float64
	released       bool
}

// SetWeights sets the weights of the teams by name. A team whose weight is
// missing or not above zero has weight 1.
func (q *Queue[T]) SetWeights(weights map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.weights = weights
	q.waitingWeight = 0
	for name, t := range q.teams {
		t.weight = q.weight(name)
		if t.heapIndex >= 0 {
			q.waitingWeight += t.weight
		}
	}
}

// Acquire queues a request of the team and waits for its grant. A zero deadline
// means that only the context ends the wait. The errors are
// [TeamQueueFullError], [DeadlineError], [CanceledError] and those of TryAcquire;
// after an error nothing is held.
func (q *Queue[T]) Acquire(ctx context.Context, team string, deadline time.Time) (*Grant[T], error) {
	q.mu.Lock()
	now := q.now()
	t := q.teamFor(team)
	if err := q.checkEnqueue(t, deadline, now); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	w := &waiter[T]{
		deadline:   deadline,
		enqueuedAt: now,
		completed:  make(chan struct{}),
	}
	q.enqueue(t, w)
	q.dispatchLocked(now)
	q.mu.Unlock()
	return q.wait(ctx, t, w)
}

// Release ends the grant and dispatches queued requests. Free the granted value
// before the call, because the next TryAcquire follows at once. Releasing a grant
// again does nothing.
func (g *Grant[T]) Release() {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	now := q.now()
	q.settleGrant(g.team, g.chargedSeconds, now.Sub(g.grantedAt).Seconds())
	q.dispatchLocked(now)
}

// Dispatch grants queued requests in order until TryAcquire reports that nothing
// is free.
func (q *Queue[T]) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatchLocked(q.now())
}

// teamFor returns the team's queue and creates it if there is none. Queues are
// never removed, so only names from the configuration table may be passed.
func (q *Queue[T]) teamFor(name string) *teamQueue[T] {
	if t := q.teams[name]; t != nil {
		return t
	}
	if q.teams == nil {
		q.teams = make(map[string]*teamQueue[T])
	}
	t := &teamQueue[T]{
		name:         name,
		weight:       q.weight(name),
		virtualStart: q.virtualTime,
		heapIndex:    -1,
	}
	q.teams[name] = t
	return t
}

func (q *Queue[T]) now() time.Time {
	if q.Clock == nil {
		return time.Now()
	}
	return q.Clock()
}

func (q *Queue[T]) maxQueued() int {
	if q.MaxQueuedPerTeam > 0 {
		return q.MaxQueuedPerTeam
	}
	return DefaultMaxQueuedPerTeam
}

func (q *Queue[T]) weight(name string) float64 {
	if w := q.weights[name]; w > 0 {
		return w
	}
	return 1
}

func (q *Queue[T]) reportViolation(v Violation) {
	q.violationCount++
	if q.OnViolation != nil {
		q.OnViolation(v)
	}
}
