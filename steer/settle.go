package steer

import "time"

// stepTracker records when a step came into force and counts its moves.
type stepTracker struct {
	startedAt time.Time
	// movesTried and movesDenied count the moves of the step.
	movesTried  int
	movesDenied int
}

// restart begins a new step.
func (t *stepTracker) restart(now time.Time) {
	*t = stepTracker{
		startedAt: now,
	}
}

func (t *stepTracker) countMove(denied bool) {
	t.movesTried++
	if denied {
		t.movesDenied++
	}
}

// isHoldTimeOver reports whether the step has been in force for StepHoldTime.
func (t *stepTracker) isHoldTimeOver(now time.Time) bool {
	return now.Sub(t.startedAt) >= StepHoldTime
}

// grantedShare returns the share of the step's moves that were granted; 1 if
// at most MaxDeniedShare of them were denied.
func (t *stepTracker) grantedShare() float64 {
	if float64(t.movesDenied) <= MaxRejectedShare*float64(t.movesTried) {
		return 1
	}
	return max(0, 1-float64(t.movesDenied)/float64(t.movesTried))
}
