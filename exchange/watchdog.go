package exchange

import (
	"sync"
	"time"
)

// watchdog is a timer that can be paused. It calls onTimeout when the timeout has
// passed since the last restart without a pause. It does nothing until it is
// enabled, or if the timeout is zero.
type watchdog struct {
	timeout   time.Duration
	onTimeout func()

	mu      sync.Mutex
	timer   *time.Timer
	enabled bool
}

// enable enables and starts the timer.
func (d *watchdog) enable() {
	d.mu.Lock()
	d.enabled = true
	d.mu.Unlock()
	d.restart()
}

// restart starts the timer with the full timeout.
func (d *watchdog) restart() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timeout <= 0 || !d.enabled {
		return
	}
	if d.timer == nil {
		d.timer = time.AfterFunc(d.timeout, d.onTimeout)
		return
	}
	d.timer.Reset(d.timeout)
}

// pause stops the timer until the next restart, while the wait is for the caller
// and not for the backend server.
func (d *watchdog) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
}

// stop disables the timer.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enabled = false
	if d.timer != nil {
		d.timer.Stop()
	}
}
