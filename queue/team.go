package queue

import (
	"cmp"
	"container/heap"
	"time"
)

const (
	// meanPart is the weight of a new sample in the running means.
	meanPart = 1.0 / 16
	// quickRise is the weight of a sample above the running low estimate.
	quickRise = 1.0 / 256
)

// team is a team's line and account.
type team[T any] struct {
	name   string
	weight float64
	// used is the virtual time at which the team's next request starts, in
	// seconds of held grants for each unit of weight.
	used float64
	// hold is the mean time that a grant of the team is held, in seconds; zero
	// if none ended yet.
	hold float64
	// quick is the time below which few grants of the team end, in seconds.
	quick float64
	// held is how many grants the team holds.
	held int
	line []*waiter[T]
	// at is the place among the waiting teams; -1 if none of its requests
	// waits.
	at int
}

// waiter is a request in a team's line.
type waiter[T any] struct {
	deadline time.Time
	arrived  time.Time
	// decided is closed when the grant or the failure is set.
	decided chan struct{}
	done    bool
	grant   *Grant[T]
	failure error
}

// settle ends the wait.
func (w *waiter[T]) settle(grant *Grant[T], failure error) {
	w.done = true
	w.grant = grant
	w.failure = failure
	close(w.decided)
}

// before reports whether the team's next request comes before the other's.
func (t *team[T]) before(other *team[T]) bool {
	return cmp.Or(
		cmp.Compare(t.used, other.used),
		cmp.Compare(t.name, other.name),
	) < 0
}

// charge adds seconds of held grants to what the team used.
func (t *team[T]) charge(seconds float64) {
	t.used += seconds / t.weight
}

// learn takes a sample of the seconds that a grant was held.
func (t *team[T]) learn(seconds float64) {
	if t.hold == 0 {
		t.hold = seconds
		t.quick = seconds
		return
	}
	t.hold += meanPart * (seconds - t.hold)
	part := quickRise
	if seconds < t.quick {
		part = meanPart
	}
	t.quick += part * (seconds - t.quick)
}

// teams orders the teams that wait.
type teams[T any] []*team[T]

var _ heap.Interface = (*teams[struct{}])(nil)

// Len returns how many teams wait.
func (h teams[T]) Len() int { return len(h) }

// Less puts the team that comes first first.
func (h teams[T]) Less(i, j int) bool {
	return h[i].before(h[j])
}

// Swap swaps two teams.
func (h teams[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at = i
	h[j].at = j
}

// Push appends a *team for container/heap.
func (h *teams[T]) Push(x any) {
	t := x.(*team[T])
	t.at = len(*h)
	*h = append(*h, t)
}

// Pop removes the last for container/heap.
func (h *teams[T]) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	t.at = -1
	return t
}
