package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/internal/connection"
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
	return min(maxShutdownMargin, fraction(shutdownFraction, s.drainTimeout()))
}

// endFraction is the fraction of that margin after which running requests are ended, and exitFraction the one after
// which the host ends, so that its process does before the platform kills it.
const (
	endFraction  = 0.5
	exitFraction = 0.75
)

// drain removes the host from lookup responses and writes to the store that it stops, but keeps serving until
// a margin before the end of the drain timeout, even if no request is running, because
// callers may still use lookup responses that name it. Each response asks its caller to use
// another host. Then drain closes the listeners and the idle connections and waits up to half the margin for
// running requests to end. Requests that still run after that are answered with what is known of
// them, since a caller whose connection is cut knows less.
func (h *host) drain(servers []*connection.Server) {
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
	for _, s := range servers {
		s.StopAccepting()
	}
	open := openConnections(servers, end.Add(fraction(endFraction, margin)))
	cut := h.handler.RunningRequests()
	if open > 0 {
		h.handler.EndRequests()
		open = openConnections(servers, end.Add(fraction(exitFraction, margin)))
	}
	for _, s := range servers {
		if err := s.Close(); err != nil {
			h.log.Write(observe.ServingFailed, zap.Error(err))
		}
	}
	h.log.Write(observe.Stopped, zap.Int("cut", cut), zap.Int("open", open), zap.Duration("drain-time", time.Since(start)))
}

// openConnections waits until all connections are closed, at most until the given time, and returns how many are
// still open then.
func openConnections(servers []*connection.Server, until time.Time) int {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	open := 0
	for _, s := range servers {
		open += s.Wait(ctx)
	}
	return open
}

// fraction returns a fraction of a duration.
func fraction(f float64, d time.Duration) time.Duration { return time.Duration(f * float64(d)) }
