package queue

import (
	"container/heap"
	"context"
	"slices"
	"time"
)

// enqueue appends the request to its team's queue. A team that had nothing queued
// starts at the current virtual time at the earliest, so that an idle team
// accumulates no credit.
func (q *Queue[T]) enqueue(t *teamQueue[T], w *waiter[T]) {
	t.waiters = append(t.waiters, w)
	q.queued++
	if len(t.waiters) > q.maxQueued() {
		q.reportViolation(TeamQueueOverLimit{
			Team:   t.name,
			Queued: len(t.waiters),
			Limit:  q.maxQueued(),
		})
	}
	if t.heapIndex >= 0 {
		return
	}
	t.virtualStart = max(t.virtualStart, q.virtualTime)
	heap.Push(&q.waitingTeams, t)
	q.waitingWeight += t.weight
}

// remove deletes the request at the index from its team's queue.
func (q *Queue[T]) remove(t *teamQueue[T], index int) {
	t.waiters = slices.Delete(t.waiters, index, index+1)
	q.queued--
	if len(t.waiters) > 0 {
		return
	}
	heap.Remove(&q.waitingTeams, t.heapIndex)
	q.waitingWeight -= t.weight
}

// wait blocks until the request is granted or fails, its context ends or its
// deadline passes.
func (q *Queue[T]) wait(ctx context.Context, t *teamQueue[T], w *waiter[T]) (*Grant[T], error) {
	select {
	case <-w.completed:
		return w.grant, w.err
	default:
	}
	expired, stop := q.startDeadlineTimer(w)
	defer stop()
	select {
	case <-w.completed:
	case <-ctx.Done():
		q.abandon(t, w, &CanceledError{
			Team:  t.name,
			Cause: context.Cause(ctx),
		})
	case <-expired:
		q.abandon(t, w, &DeadlineError{
			Team: t.name,
		})
	}
	return w.grant, w.err
}

// startDeadlineTimer returns a channel that fires at the request's deadline, or a
// nil channel if it has none, and a function that stops the timer.
func (q *Queue[T]) startDeadlineTimer(w *waiter[T]) (<-chan time.Time, func()) {
	if w.deadline.IsZero() {
		return nil, func() {}
	}
	timer := time.NewTimer(w.deadline.Sub(q.now()))
	return timer.C, func() { timer.Stop() }
}

// abandon removes the request and ends its wait with the error, unless the request
// has completed in the meantime.
func (q *Queue[T]) abandon(t *teamQueue[T], w *waiter[T], err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.done {
		return
	}
	q.remove(t, slices.Index(t.waiters, w))
	w.complete(nil, err)
}
