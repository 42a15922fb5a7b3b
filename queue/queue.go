package queue

import (
	"context"
	"sync"
	"time"
)

// DefaultMaxQueuedPerTeam is how many requests of a team may wait if nothing is set.
const DefaultMaxQueuedPerTeam = 64

// Queue hands out values of Try to waiting requests. It is safe for concurrent
// use. Try must be set before the first use; all else may stay zero.
type Queue[T any] struct {
	// TryAcquire takes what the requests wait for. An error that has a method
	// MayWait() bool which returns true means that nothing is free now; any
	// other goes to the request. It is called with the queue locked and must
	// not call the queue.
	TryAcquire func() (T, error)
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// MaxQueuedPerTeam is how many requests of a team may wait; zero means DefaultBound.
	MaxQueuedPerTeam int
	// OnViolation is told of each broken invariant, with the queue locked.
	OnViolation func(Violation)

	mu      sync.Mutex
	weights map[string]float64
	teams   map[string]*team[T]
	// waiting has the teams with a request in line, a heap.
	waiting teams[T]
	// weightWaiting is the sum of their weights.
	weightWaiting float64
	// virtual is the used time at which the last granted request started.
	virtual float64
	// held is how many grants are held.
	held int
	// length is how many requests wait.
	length int
	// hold is the mean time that a grant is held, in seconds.
	hold       float64
	violations int
}

// Grant is a value handed to a request, until its Release.
type Grant[T any] struct {
	Value T
	// WaitTime is the time in line.
	WaitTime time.Duration

	queue    *Queue[T]
	team     *team[T]
	since    time.Time
	charged  float64
	released bool
}

// SetWeights sets the teams' weights; a team without one, or with one that is
// not above zero, has 1.
func (q *Queue[T]) SetWeights(weights map[string]float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.weights = weights
	q.weightWaiting = 0
	for name, t := range q.teams {
		t.weight = q.weight(name)
		if t.at >= 0 {
			q.weightWaiting += t.weight
		}
	}
}

// Acquire waits for a grant. A zero deadline means that only the context ends
// the wait. The errors are [TeamQueueFullError], [DeadlineError], [CanceledError] and
// those of Try; with each of them nothing is held.
func (q *Queue[T]) Acquire(ctx context.Context, name string, deadline time.Time) (*Grant[T], error) {
	q.mu.Lock()
	now := q.now()
	t := q.team(name)
	if err := q.refuse(t, deadline, now); err != nil {
		q.mu.Unlock()
		return nil, err
	}
	w := &waiter[T]{
		deadline: deadline,
		arrived:  now,
		decided:  make(chan struct{}),
	}
	q.enqueue(t, w)
	q.dispatch(now)
	q.mu.Unlock()
	return q.wait(ctx, t, w)
}

// Release ends the grant. What it held must be free before the call, since the
// next request is tried at once. Releasing it again does nothing.
func (g *Grant[T]) Release() {
	q := g.queue
	q.mu.Lock()
	defer q.mu.Unlock()
	if g.released {
		return
	}
	g.released = true
	now := q.now()
	q.settleAccount(g.team, g.charged, now.Sub(g.since).Seconds())
	q.dispatch(now)
}

// Wake tries the waiting requests again.
func (q *Queue[T]) Dispatch() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.dispatch(q.now())
}

// team returns the team's line, which is made if there is none. It is kept, so
// the names of teams must be those of the table.
func (q *Queue[T]) team(name string) *team[T] {
	if t := q.teams[name]; t != nil {
		return t
	}
	if q.teams == nil {
		q.teams = make(map[string]*team[T])
	}
	t := &team[T]{
		name:   name,
		weight: q.weight(name),
		used:   q.virtual,
		at:     -1,
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

func (q *Queue[T]) bound() int {
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

func (q *Queue[T]) report(v Violation) {
	q.violations++
	if q.OnViolation != nil {
		q.OnViolation(v)
	}
}
