package steer

import "time"

// stepTracker records when a step came into force and counts its moves.
type stepTracker struct {
	startedAt time.Time
	// movesTried and movesRejected count the moves of the step.
	movesTried    int
	movesRejected int
}

// restart begins a new step.
func (t *stepTracker) restart(now time.Time) {
	*t = stepTracker{
		startedAt: now,
	}
}

func (t *stepTracker) countMove(rejected bool) {
	t.movesTried++
	if rejected {
		t.movesRejected++
	}
}

// isHoldTimeOver reports whether the step has been in force for StepHoldTime.
func (t *stepTracker) isHoldTimeOver(now time.Time) bool {
	return now.Sub(t.startedAt) >= StepHoldTime
}

// grantedShare returns the share of the step's moves that were granted; 1 if
// at most MaxRejectedShare of them were rejected.
func (t *stepTracker) grantedShare() float64 {
	if float64(t.movesRejected) <= MaxRejectedShare*float64(t.movesTried) {
		return 1
	}
	return max(0, 1-float64(t.movesRejected)/float64(t.movesTried))
}
