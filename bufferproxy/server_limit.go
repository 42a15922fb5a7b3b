package bufferproxy

import (
	"net/http"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
)

// recordServerLimit records what a response says of the rate of requests that the reserved
// server accepts, and logs a change. Only a response with the complete marker ends a limit,
// because a garbled one may lack the limit for that reason.
func (s *requestState) recordServerLimit(reservation *placement.Reservation, h http.Header) {
	codec := s.handler.HeaderCodec
	if codec.ReadLimit == nil {
		return
	}
	report := codec.ReadLimit(h)
	if _, isUnlimited := report.(placement.Unlimited); isUnlimited && h.Get(codec.CompleteMarker) == "" {
		return
	}
	s.handler.LogLimitChange(s.handler.Pool.RecordLimit(reservation, report))
}

// LogLimitChange logs a change of the limit of a backend server; nil is no change.
func (h *Handler) LogLimitChange(change placement.LimitChange) {
	switch c := change.(type) {
	case placement.LimitNamed:
		h.Log.Write(observe.ServerLimited, zap.String("server", c.Server), zap.Float64("rate", c.Rate))
	case placement.LimitEnded:
		h.Log.Write(observe.ServerLimitEnded, zap.String("server", c.Server), zap.Uint64("sent", c.Sent))
	}
}
