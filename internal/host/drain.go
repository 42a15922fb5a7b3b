package host

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

// maxShutdownMargin is how long before the end of its drain timeout the host stops serving, unless
// that is more than shutdownFraction of the timeout.
const (
	maxShutdownMargin = 600 * time.Millisecond
	shutdownFraction  = 0.25
)

// shutdownMargin returns how long before the end of its drain timeout the host stops serving.
func (s Settings) shutdownMargin() time.Duration {
	return min(maxShutdownMargin, time.Duration(shutdownFraction*float64(s.drainTimeout())))
}

// drain removes the host from lookup responses and writes to the store that it stops, but keeps serving until
// a margin before the end of the drain timeout, even if no request is running, because
// callers may still use lookup responses that name it. Each response asks its caller to use
// another host. Then drain closes the idle connections and waits up to half the margin for
// running requests to end. Requests that still run after that are answered with what is known of
// them, since a caller whose connection is cut knows less.
func (h *host) drain(servers []*http.Server) {
	start := time.Now()
	h.log.Write(observe.DrainingStarted, zap.Int("running", h.handler.RunningRequests()))
	h.draining.Store(true)
	margin := h.settings().shutdownMargin()
	servingTime := h.settings().drainTimeout() - margin
	h.handler.StartDraining(servingTime)
	h.peerMessenger.sendHeartbeatSoon()
	end := start.Add(servingTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := h.markStopped(ctx); err != nil {
		h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
	}
	<-ctx.Done()
	h.shutdown(servers, end.Add(margin/2))
	cut := h.handler.RunningRequests()
	if cut > 0 {
		h.handler.EndRequests()
		h.shutdown(servers, end.Add(margin))
	}
	h.log.Write(observe.Stopped, zap.Int("cut", cut), zap.Duration("drain-time", time.Since(start)))
}

// shutdown closes the listeners and the idle connections, and waits until all requests are answered, at
// most until the given time.
func (h *host) shutdown(servers []*http.Server, until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	for _, s := range servers {
		if err := s.Shutdown(ctx); err != nil {
			h.log.Write(observe.ServingFailed, zap.Error(err))
		}
	}
}
