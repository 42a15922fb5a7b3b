package host

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/observe"
)

// leaveMargin is how long before the end of the grace time the host stops.
const leaveMargin = 600 * time.Millisecond

// leave takes the host out of look-ups and serves on: callers that know of it end
// their requests, and each answer asks them to use another host. At the end idle
// connections are closed and running requests awaited.
func (h *host) leave(servers []*http.Server) {
	begun := time.Now()
	h.log.Write(observe.DrainingStarted, zap.Int("running", h.handler.RunningRequests()))
	h.leaving.Store(true)
	h.handler.StartDraining(h.settings().grace())
	h.peers.now()
	end := begun.Add(h.settings().grace() - leaveMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := h.store.Delete(ctx, hostPrefix+h.settings().Host, objectstore.Always{}); err != nil {
		h.log.Write(observe.HostRecordWriteFailed, zap.Error(err))
	}
	<-ctx.Done()
	last, stop := context.WithDeadline(context.Background(), end.Add(leaveMargin/2))
	defer stop()
	for _, s := range servers {
		if err := s.Shutdown(last); err != nil {
			h.log.Write(observe.ServingFailed, zap.Error(err))
		}
	}
	h.log.Write(observe.Stopped, zap.Int("cut", h.handler.RunningRequests()), zap.Duration("drain-time", time.Since(begun)))
}
