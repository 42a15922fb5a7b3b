package bufferproxy

import (
	"net/http"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
)

// recordStatements records what a response says of the reserved server itself: that it leaves, that
// it wants a pause, and the rate of requests that it accepts. That holds also if the response is not
// passed on.
func (s *requestState) recordStatements(reservation *placement.Reservation, status int, h http.Header) {
	codec := &s.handler.HeaderCodec
	if codec.ReadLeaving != nil && codec.ReadLeaving(h) && s.handler.Pool.RecordLeaving(reservation) {
		s.handler.LogLeaving(reservation.Server.Name, "")
	}
	if codec.ReadPause != nil && status == http.StatusServiceUnavailable {
		s.recordPause(reservation, codec.ReadPause(h))
	}
	s.recordServerLimit(reservation, h)
}

// recordPause records what a server that turned the request away says of a pause.
func (s *requestState) recordPause(reservation *placement.Reservation, report placement.PauseReport) {
	server := zap.String("server", reservation.Server.Name)
	switch r := report.(type) {
	case placement.PauseFor:
		s.metPause = true
		remaining := s.handler.Pool.RecordPause(reservation, r.Duration)
		s.handler.Metrics.IncrementCounter("server-pauses")
		s.handler.Log.Write(observe.ServerPaused, server, zap.Duration("asked", r.Duration), zap.Duration("remaining", remaining))
	case placement.InvalidPause:
		s.handler.Log.Write(observe.ServerPauseInvalid, server, zap.String("value", r.Value))
	case placement.NoPause:
	}
}

// pauseOr returns the error by which the request is rejected, so that its caller is told to come back
// when a server takes it: that all of them are paused, if that is so, else the cause.
func (s *requestState) pauseOr(cause error) error {
	if !s.metPause {
		return cause
	}
	request := s.placementRequest()
	request.ExcludedServers = nil
	if busy, isPaused := s.handler.Pool.PauseError(request); isPaused {
		return busy
	}
	return cause
}

// LogLeaving logs that a backend server leaves; from is the host that reported it, empty if it
// was a response.
func (h *Handler) LogLeaving(server, from string) {
	h.Metrics.IncrementCounter("servers-leaving")
	h.Log.Write(observe.ServerLeaving, zap.String("server", server), zap.String("from", from))
}
