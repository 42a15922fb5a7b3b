package bufferproxy

import (
	"sync"

	"trefoilline.example/trefoilline/meter"
)

// callerLoad measures the load of the callers of this host.
type callerLoad struct {
	mu       sync.Mutex
	requests meter.Rate
	bytes    meter.Rate
}

// CallerLoad returns the recent rate of callers' requests per second, forwarded ones included, and of the bytes in
// the bodies of their requests and of the responses, which pass this host's link in each direction.
func (h *Handler) CallerLoad() (requests, bytes float64) {
	h.callerLoad.mu.Lock()
	defer h.callerLoad.mu.Unlock()
	now := h.now()
	return h.callerLoad.requests.PerSecond(now), h.callerLoad.bytes.PerSecond(now)
}

// recordCallerLoad counts a request that has ended.
func (s *requestState) recordCallerLoad() {
	load := &s.handler.callerLoad
	load.mu.Lock()
	defer load.mu.Unlock()
	now := s.handler.now()
	load.requests.TimeConstant, load.bytes.TimeConstant = rateWindow, rateWindow
	load.requests.Add(now)
	load.bytes.AddN(now, float64(max(s.callerRequest.ContentLength, 0)+s.responseBytes))
}
