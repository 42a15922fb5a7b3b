package queue

import (
	"container/heap"
	"errors"
	"time"
)

// maxCheckedTeams limits how many waiting teams checkGrant compares with the
// team that gets the grant.
const maxCheckedTeams = 16

// temporaryError is an error of TryAcquire that tells whether the resource may
// become free, so that the request stays queued.
type temporaryError interface {
	error
	IsTemporary() bool
}

// dispatchLocked grants queued requests until nothing is free or none is queued.
// Next is always the oldest request of the team with the lowest virtual start.
// The caller holds q.mu.
func (q *Queue[T]) dispatchLocked(now time.Time) {
	for len(q.waitingTeams) > 0 {
		t := q.waitingTeams[0]
		w := t.waiters[0]
		if deadlineErr := checkDeadline(t, w, now); deadlineErr != nil {
			q.remove(t, 0)
			w.complete(nil, deadlineErr)
			continue
		}
		value, err := q.TryAcquire()
		var temporary temporaryError
		if errors.As(err, &temporary) && temporary.IsTemporary() {
			return
		}
		if err == nil {
			q.checkGrant(t, w, now)
		}
		q.remove(t, 0)
		if err != nil {
			w.complete(nil, err)
			continue
		}
		w.complete(q.newGrant(t, w, value, now), nil)
	}
}

// checkDeadline returns a [DeadlineError] if the request would miss its deadline
// even if it were granted now and held for the team's lowHoldTime.
func checkDeadline[T any](t *teamQueue[T], w *waiter[T], now time.Time) error {
	if w.deadline.IsZero() {
		return nil
	}
	timeLeft := w.deadline.Sub(now)
	expected := toDuration(t.lowHoldTime)
	if timeLeft > 0 && timeLeft >= expected {
		return nil
	}
	return &DeadlineError{
		Team:         t.name,
		ExpectedTime: expected,
		TimeLeft:     timeLeft,
	}
}

// newGrant charges the team for the expected hold time and returns the grant.
func (q *Queue[T]) newGrant(t *teamQueue[T], w *waiter[T], value T, now time.Time) *Grant[T] {
	q.virtualTime = max(q.virtualTime, t.virtualStart)
	expectedHoldTime := q.expectedHoldTime(t)
	t.charge(expectedHoldTime)
	t.grantsHeld++
	q.grantsHeld++
	q.reorder(t)
	return &Grant[T]{
		Value:          value,
		WaitTime:       now.Sub(w.enqueuedAt),
		queue:          q,
		team:           t,
		grantedAt:      now,
		chargedSeconds: expectedHoldTime,
	}
}

// settleGrant corrects the team's charge for a released grant from the expected
// to the actual hold time, and updates the estimates.
func (q *Queue[T]) settleGrant(t *teamQueue[T], chargedSeconds, heldSeconds float64) {
	t.grantsHeld--
	q.grantsHeld--
	t.charge(heldSeconds - chargedSeconds)
	q.reorder(t)
	t.recordHoldTime(heldSeconds)
	if q.meanHoldTime == 0 {
		q.meanHoldTime = heldSeconds
		return
	}
	q.meanHoldTime += smoothingFactor * (heldSeconds - q.meanHoldTime)
}

// reorder restores the heap order after the team was charged.
func (q *Queue[T]) reorder(t *teamQueue[T]) {
	if t.heapIndex >= 0 {
		heap.Fix(&q.waitingTeams, t.heapIndex)
	}
}

// checkGrant checks the invariants of a grant: it does not come after the
// deadline, and none of the first maxCheckedTeams waiting teams has a lower
// virtual start.
func (q *Queue[T]) checkGrant(t *teamQueue[T], w *waiter[T], now time.Time) {
	if lateness := now.Sub(w.deadline); !w.deadline.IsZero() && lateness > 0 {
		q.reportViolation(LateGrant{
			Team:     t.name,
			Lateness: lateness,
		})
	}
	for _, other := range q.waitingTeams[:min(len(q.waitingTeams), maxCheckedTeams)] {
		if other.virtualStart < t.virtualStart {
			q.reportViolation(UnfairGrant{
				Team:       t.name,
				PassedOver: other.name,
			})
		}
	}
}
