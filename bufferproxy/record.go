package bufferproxy

import (
	"strconv"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
)

// recordResponse records in the metrics and the log that the request ended with a
// backend server's response.
func (s *requestState) recordResponse(status int) {
	elapsed := s.elapsed()
	m := &s.handler.Metrics
	m.RecordLatency(s.teamName(), elapsed)
	m.RecordQueueWait(s.teamName(), s.queueTime)
	m.RecordRouteLatency(s.routeName(), s.service, elapsed)
	event := observe.RequestCompleted
	if target := s.route.LatencyTarget; target > 0 && elapsed > target {
		m.IncrementCounter("late/" + m.RouteLabel(s.routeName()))
		event = observe.RequestSlow
	}
	if !s.handler.Log.IsEnabled(event) {
		// Most requests end within the latency target, and their event is usually not
		// logged.
		return
	}
	s.handler.Log.Write(event, append(s.logFields(), zap.Int("status", status), zap.String("region", s.lastRegion),
		zap.String("object", s.affinityKey()))...)
}

// recordError records in the metrics and the log that the request ended with a
// status that this host set itself: it was rejected, or it may have run and has no
// complete response.
func (s *requestState) recordError(status int, retryAfter time.Duration, cause error) {
	s.handler.Metrics.CountRejection(s.teamName(), strconv.Itoa(status))
	s.handler.Log.Write(observe.RequestFailed, append(s.logFields(), zap.Int("status", status),
		zap.Duration("return-in", retryAfter), zap.Error(cause))...)
}

// recordCallerDisconnected records in the metrics and the log that the caller closed its connection
// or cancelled the request before it ended.
func (s *requestState) recordCallerDisconnected() {
	s.handler.Metrics.IncrementCounter("left")
	s.handler.Log.Write(observe.CallerDisconnected, s.logFields()...)
}

// logFields returns the log fields that all events of a request have.
func (s *requestState) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("request", s.callerRequest.Header.Get(s.handler.HeaderCodec.RequestID)),
		zap.Duration("took", s.elapsed()),
		zap.Duration("waited", s.queueTime),
		zap.Strings("servers", s.triedServers),
		zap.String("route", s.routeName()),
		zap.String("service", s.service),
		zap.String("team", s.teamName()),
	}
	if s.version != 0 {
		fields = append(fields, zap.Uint64("version", uint64(s.version)))
	}
	if !s.deadline.IsZero() {
		fields = append(fields, zap.Duration("allowed", s.deadline.Sub(s.start)))
	}
	return fields
}

func (s *requestState) elapsed() time.Duration { return s.handler.now().Sub(s.start) }

func (s *requestState) routeName() string {
	if s.route == nil {
		return ""
	}
	return s.route.Name
}

func (s *requestState) teamName() string {
	if s.team == nil {
		return ""
	}
	return s.team.Name
}
