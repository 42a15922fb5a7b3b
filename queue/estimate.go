package queue

import "time"

// defaultHold stands for the time that a grant is held, in seconds, until one
// has ended.
const defaultHold = 0.001

// refuse returns the error of a request that must not wait, or nil.
func (q *Queue[T]) refuse(t *team[T], deadline, now time.Time) error {
	if len(t.line) >= q.bound() {
		return &TeamQueueFullError{
			Team:   t.name,
			Queued: len(t.line),
		}
	}
	if deadline.IsZero() {
		return nil
	}
	left := deadline.Sub(now)
	need := seconds(q.expectedWait(t) + t.quick)
	if left > 0 && need <= left {
		return nil
	}
	return &DeadlineError{
		Team:         t.name,
		ExpectedTime: need,
		TimeLeft:     left,
	}
}

// expectedWait returns the seconds until a request that joins the team's line
// now is granted: the line's length over the team's part of the rate at which
// grants end.
func (q *Queue[T]) expectedWait(t *team[T]) float64 {
	if q.length == 0 || q.held == 0 || q.hold == 0 {
		return 0
	}
	weights := q.weightWaiting
	if t.at < 0 {
		weights += t.weight
	}
	rate := float64(q.held) / q.hold * t.weight / weights
	return float64(len(t.line)) / rate
}

// expectedHold returns the seconds that a grant of the team is held.
func (q *Queue[T]) expectedHold(t *team[T]) float64 {
	if t.hold > 0 {
		return t.hold
	}
	if q.hold > 0 {
		return q.hold
	}
	return defaultHold
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
