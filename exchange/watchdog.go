package exchange

import (
	"sync"
	"time"
)

// watchdog calls expired when its span has passed while it was running, once it
// is enabled. The zero span never passes.
type watchdog struct {
	span    time.Duration
	expired func()

	mu      sync.Mutex
	timer   *time.Timer
	enabled bool
}

// enable starts the watch.
func (d *watchdog) enable() {
	d.mu.Lock()
	d.enabled = true
	d.mu.Unlock()
	d.run()
}

// run starts the span anew.
func (d *watchdog) run() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.span <= 0 || !d.enabled {
		return
	}
	if d.timer == nil {
		d.timer = time.AfterFunc(d.span, d.expired)
		return
	}
	d.timer.Reset(d.span)
}

// pause holds the span while the caller, not the backend server, is awaited.
func (d *watchdog) pause() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
}

// stop ends the watch for good.
func (d *watchdog) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.enabled = false
	if d.timer != nil {
		d.timer.Stop()
	}
}
