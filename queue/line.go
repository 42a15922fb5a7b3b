package queue

import (
	"container/heap"
	"context"
	"slices"
	"time"
)

// enqueue puts the request at the end of its team's line. A team that was idle
// starts at the virtual time, so that it saves nothing up.
func (q *Queue[T]) enqueue(t *team[T], w *waiter[T]) {
	t.line = append(t.line, w)
	q.length++
	if len(t.line) > q.bound() {
		q.report(TeamQueueOverLimit{
			Team:   t.name,
			Queued: len(t.line),
			Limit:  q.bound(),
		})
	}
	if t.at >= 0 {
		return
	}
	t.used = max(t.used, q.virtual)
	heap.Push(&q.waiting, t)
	q.weightWaiting += t.weight
}

// remove takes the request at the place out of its team's line.
func (q *Queue[T]) remove(t *team[T], at int) {
	t.line = slices.Delete(t.line, at, at+1)
	q.length--
	if len(t.line) > 0 {
		return
	}
	heap.Remove(&q.waiting, t.at)
	q.weightWaiting -= t.weight
}

// wait waits until the request is decided, given up or too late.
func (q *Queue[T]) wait(ctx context.Context, t *team[T], w *waiter[T]) (*Grant[T], error) {
	select {
	case <-w.decided:
		return w.grant, w.failure
	default:
	}
	expired, stop := q.alarm(w)
	defer stop()
	select {
	case <-w.decided:
	case <-ctx.Done():
		q.giveUp(t, w, &CanceledError{
			Team:  t.name,
			Cause: context.Cause(ctx),
		})
	case <-expired:
		q.giveUp(t, w, &DeadlineError{
			Team: t.name,
		})
	}
	return w.grant, w.failure
}

// alarm returns a channel that fires at the request's deadline, if it has one.
func (q *Queue[T]) alarm(w *waiter[T]) (<-chan time.Time, func()) {
	if w.deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(w.deadline.Sub(q.now()))
	return timer.C, func() { timer.Stop() }
}

// giveUp ends the wait with the failure, unless it was decided meanwhile.
func (q *Queue[T]) giveUp(t *team[T], w *waiter[T], failure error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		return
	}
	q.remove(t, slices.Index(t.line, w))
	w.settle(nil, failure)
}
