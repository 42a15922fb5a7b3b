package queue

import (
	"container/heap"
	"errors"
	"time"
)

// checkedTeams is how many waiting teams the check of fairness looks at.
const checkedTeams = 16

// mayWait is an error that says whether waiting may help.
type mayWait interface {
	error
	MayWait() bool
}

// dispatch grants until nothing is free or no request waits. The next request
// is the first of the team that used the least.
func (q *Queue[T]) dispatch(now time.Time) {
	for len(q.waiting) > 0 {
		t := q.waiting[0]
		w := t.line[0]
		if late := tooLate(t, w, now); late != nil {
			q.remove(t, 0)
			w.settle(nil, late)
			continue
		}
		value, err := q.TryAcquire()
		var wait mayWait
		if errors.As(err, &wait) && wait.MayWait() {
			return
		}
		if err == nil {
			q.checkGrant(t, w, now)
		}
		q.remove(t, 0)
		if err != nil {
			w.settle(nil, err)
			continue
		}
		w.settle(q.grant(t, w, value, now), nil)
	}
}

// tooLate returns a [DeadlineError] if the request cannot meet its deadline
// even if it is granted now.
func tooLate[T any](t *team[T], w *waiter[T], now time.Time) error {
	if w.deadline.IsZero() {
		return nil
	}
	left := w.deadline.Sub(now)
	need := seconds(t.quick)
	if left > 0 && left >= need {
		return nil
	}
	return &DeadlineError{
		Team:         t.name,
		ExpectedTime: need,
		TimeLeft:     left,
	}
}

// grant charges the team for the expected time and makes the grant.
func (q *Queue[T]) grant(t *team[T], w *waiter[T], value T, now time.Time) *Grant[T] {
	q.virtual = max(q.virtual, t.used)
	charged := q.expectedHold(t)
	t.charge(charged)
	t.held++
	q.held++
	q.fix(t)
	return &Grant[T]{
		Value:    value,
		WaitTime: now.Sub(w.arrived),
		queue:    q,
		team:     t,
		since:    now,
		charged:  charged,
	}
}

// settleAccount corrects the charge of a grant that ended.
func (q *Queue[T]) settleAccount(t *team[T], charged, held float64) {
	t.held--
	q.held--
	t.charge(held - charged)
	q.fix(t)
	t.learn(held)
	if q.hold == 0 {
		q.hold = held
		return
	}
	q.hold += meanPart * (held - q.hold)
}

// fix restores the order of the waiting teams after a charge.
func (q *Queue[T]) fix(t *team[T]) {
	if t.at >= 0 {
		heap.Fix(&q.waiting, t.at)
	}
}

// checkGrant asserts what must hold of each grant.
func (q *Queue[T]) checkGrant(t *team[T], w *waiter[T], now time.Time) {
	if by := now.Sub(w.deadline); !w.deadline.IsZero() && by > 0 {
		q.report(LateGrant{
			Team:     t.name,
			Lateness: by,
		})
	}
	for _, other := range q.waiting[:min(len(q.waiting), checkedTeams)] {
		if other.used < t.used {
			q.report(UnfairGrant{
				Team:       t.name,
				PassedOver: other.name,
			})
		}
	}
}
