package bufferproxy

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/observe"
)

// memoryLogInterval is the least time between two log lines about the memory budget.
const memoryLogInterval = 10 * time.Second

// memoryLog counts what is turned away for lack of memory between two log lines.
type memoryLog struct {
	mu      sync.Mutex
	last    time.Time
	evicted int
	refused int
}

// recordEviction counts a holding that was evicted.
func (h *Handler) recordEviction(reason memorybudget.Reason) {
	h.Metrics.IncrementCounter("memory-evicted/" + string(reason))
	h.logMemory(1, 0)
}

// recordMemoryRefusal counts a request body or a response for which there was no memory in time. Evictions are counted when
// they happen.
func (h *Handler) recordMemoryRefusal(kind string, cause error) {
	var refused *memorybudget.RefusedError
	if !errors.As(cause, &refused) {
		return
	}
	h.Metrics.IncrementCounter("memory-refused/" + kind)
	h.logMemory(0, 1)
}

// logMemory logs the state of the budget, unless it was logged shortly before.
func (h *Handler) logMemory(evicted, refused int) {
	l := &h.memoryLog
	l.mu.Lock()
	defer l.mu.Unlock()
	l.evicted += evicted
	l.refused += refused
	now := time.Now()
	if now.Sub(l.last) < memoryLogInterval {
		return
	}
	l.last = now
	usage := h.Memory.Usage()
	h.Log.Write(observe.MemoryShort, zap.Int64("used", usage.Used), zap.Int64("limit", usage.Limit), zap.Int("waiting", usage.Waiting),
		zap.Int("evicted", l.evicted), zap.Int("refused", l.refused), zap.Stringer("caller", usage.Largest.Caller),
		zap.String("team", usage.Largest.Team), zap.Int64("most", usage.LargestUsed))
	l.evicted, l.refused = 0, 0
}

// UpdateMemoryGauges sets the gauges of the memory budget in the metrics.
func (h *Handler) UpdateMemoryGauges() {
	usage := h.Memory.Usage()
	h.Metrics.SetGauge("memory-limit", usage.Limit)
	h.Metrics.SetGauge("memory-used", usage.Used)
	h.Metrics.SetGauge("memory-waiting", int64(usage.Waiting))
}
