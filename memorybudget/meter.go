package memorybudget

import (
	"math"
	"sync"
	"time"
)

// meter measures the progress of a holding. Only time within transfers counts, so that a holding whose owner waits for
// something else is not slow. It has a lock of its own, since each read and write uses it.
type meter struct {
	mu       sync.Mutex
	isActive bool
	// began is the start of the current transfer.
	began time.Time
	// bytes and duration are those of the transfers in the current window; the others are those in the one before.
	bytes          int64
	duration       time.Duration
	bytesBefore    int64
	durationBefore time.Duration
}

func (m *meter) begin(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isActive, m.began = true, now
}

func (m *meter) end(now time.Time, n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.isActive = false
	m.bytes += int64(n)
	m.duration += now.Sub(m.began)
	if m.duration >= Window {
		m.bytesBefore, m.durationBefore = m.bytes, m.duration
		m.bytes, m.duration = 0, 0
	}
}

func (m *meter) hasBegun() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isActive
}

// stalledFor returns how long the current transfer has lasted; zero if there is none.
func (m *meter) stalledFor(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isActive {
		return 0
	}
	return now.Sub(m.began)
}

// rate returns the progress in bytes per second. It is infinite until a window has passed, and if no transfer runs.
func (m *meter) rate(now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.isActive {
		return math.Inf(1)
	}
	duration := m.durationBefore + m.duration + now.Sub(m.began)
	if duration < Window {
		return math.Inf(1)
	}
	return float64(m.bytesBefore+m.bytes) / duration.Seconds()
}
