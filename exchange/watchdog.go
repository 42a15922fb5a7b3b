package exchange

import (
	"sync"
	"time"
)

// pausableTimer is a timer that can be paused. It calls onTimeout when the timeout has
// passed since the last restart without a pause. It does nothing until it is
// enabled, or if the timeout is zero.
type pausableTimer struct {
	timeout   time.Duration
	onTimeout func()

	mu      sync.Mutex
	timer   *time.Timer
	enabled bool
}

// enable enables and starts the timer.
func (t *pausableTimer) enable() {
	t.mu.Lock()
	t.enabled = true
	t.mu.Unlock()
	t.restart()
}

// restart starts the timer with the full timeout.
func (t *pausableTimer) restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timeout <= 0 || !t.enabled {
		return
	}
	if t.timer == nil {
		t.timer = time.AfterFunc(t.timeout, t.onTimeout)
		return
	}
	t.timer.Reset(t.timeout)
}

// pause stops the timer until the next restart.
func (t *pausableTimer) pause() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
}

// stop disables the timer.
func (t *pausableTimer) stop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.enabled = false
	if t.timer != nil {
		t.timer.Stop()
	}
}
