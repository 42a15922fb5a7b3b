package queue

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// smoothingFactor is the smoothing factor of the exponentially weighted
	// moving averages of hold times, and of lowHoldTime for samples below it.
	smoothingFactor = 1.0 / 16
	// lowHoldTimeRiseFactor is the smoothing factor of lowHoldTime for samples
	// above it. It is smaller, so that lowHoldTime falls fast and rises slowly.
	lowHoldTimeRiseFactor = 1.0 / 256
)

// teamQueue holds a team's queued requests and its use of grants.
type teamQueue[T any] struct {
	name   string
	weight float64
	// virtualStart is the start tag of the team's next request in start-time fair
	// queueing, in grant-seconds divided by the weight of the team.
	virtualStart float64
	// meanHoldTime is the moving average of the time that a grant of the team is
	// held, in seconds; zero until the first is released.
	meanHoldTime float64
	// lowHoldTime estimates a low quantile of the time that a grant of the team
	// is held, in seconds.
	lowHoldTime float64
	// grantsHeld is the number of the team's grants that are not yet released.
	grantsHeld int
	waiters    []*waiter[T]
	// heapIndex is the index in Queue.waitingTeams; -1 if no request of the team
	// is queued.
	heapIndex int
}

// waiter is a queued request.
type waiter[T any] struct {
	deadline   time.Time
	enqueuedAt time.Time
	// completed is closed when grant or err is set.
	completed chan struct{}
	done      bool
	grant     *Grant[T]
	err       error
}

// complete ends the wait with a grant or an error.
func (w *waiter[T]) complete(grant *Grant[T], err error) {
	w.done = true
	w.grant = grant
	w.err = err
	close(w.completed)
}

// isBefore reports whether the team's next request is granted before the other
// team's. Equal virtual start times are ordered by name.
func (t *teamQueue[T]) isBefore(other *teamQueue[T]) bool {
	return cmp.Or(
		cmp.Compare(t.virtualStart, other.virtualStart),
		cmp.Compare(t.name, other.name),
	) < 0
}

// charge advances the team's virtual start by the seconds that a grant is held.
func (t *teamQueue[T]) charge(seconds float64) {
	t.virtualStart += seconds / t.weight
}

// recordHoldTime updates the estimates with the time, in seconds, that a grant
// was held.
func (t *teamQueue[T]) recordHoldTime(seconds float64) {
	if t.meanHoldTime == 0 {
		t.meanHoldTime = seconds
		t.lowHoldTime = seconds
		return
	}
	t.meanHoldTime += smoothingFactor * (seconds - t.meanHoldTime)
	factor := lowHoldTimeRiseFactor
	if seconds < t.lowHoldTime {
		factor = smoothingFactor
	}
	t.lowHoldTime += factor * (seconds - t.lowHoldTime)
}

// teamHeap is a heap of the teams with queued requests. The first is the team
// that is granted next.
type teamHeap[T any] []*teamQueue[T]

var _ heap.Interface = (*teamHeap[struct{}])(nil)

// Len returns the number of teams.
func (h teamHeap[T]) Len() int { return len(h) }

// Less reports whether the next grant of team i comes before that of team j.
func (h teamHeap[T]) Less(i, j int) bool {
	return h[i].isBefore(h[j])
}

// Swap exchanges two teams and updates their indexes.
func (h teamHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push appends a *teamQueue; it is called by container/heap.
func (h *teamHeap[T]) Push(x any) {
	t := x.(*teamQueue[T])
	t.heapIndex = len(*h)
	*h = append(*h, t)
}

// Pop removes and returns the last team; it is called by container/heap.
func (h *teamHeap[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.heapIndex = -1
	return t
}
