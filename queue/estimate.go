package queue

import "time"

// defaultHoldSeconds is the expected hold time until a first grant has been
// released.
const defaultHoldSeconds = 0.001

// checkEnqueue returns a [TeamQueueFullError] if the team's queue is full, and a
// [DeadlineError] if the request is not expected to meet its deadline.
func (q *Queue[T]) checkEnqueue(t *teamQueue[T], deadline, now time.Time) error {
	if len(t.waiters) >= q.maxQueued() {
		return &TeamQueueFullError{
			Team:   t.name,
			Queued: len(t.waiters),
		}
	}
	if deadline.IsZero() {
		return nil
	}
	timeLeft := deadline.Sub(now)
	expected := toDuration(q.expectedWait(t) + t.lowHoldTime)
	if timeLeft > 0 && expected <= timeLeft {
		return nil
	}
	return &DeadlineError{
		Team:         t.name,
		ExpectedTime: expected,
		TimeLeft:     timeLeft,
	}
}

// expectedWait returns the expected seconds until a request that the team queues
// now is granted: the length of the team's queue, divided by the team's share of
// the rate at which grants are released.
func (q *Queue[T]) expectedWait(t *teamQueue[T]) float64 {
	if q.queued == 0 || q.grantsHeld == 0 || q.meanHoldTime == 0 {
		return 0
	}
	totalWeight := q.waitingWeight
	if t.heapIndex < 0 {
		totalWeight += t.weight
	}
	rate := float64(q.grantsHeld) / q.meanHoldTime * t.weight / totalWeight
	return float64(len(t.waiters)) / rate
}

// expectedHoldTime returns the expected time, in seconds, that a grant of the
// team is held.
func (q *Queue[T]) expectedHoldTime(t *teamQueue[T]) float64 {
	if t.meanHoldTime > 0 {
		return t.meanHoldTime
	}
	if q.meanHoldTime > 0 {
		return q.meanHoldTime
	}
	return defaultHoldSeconds
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
