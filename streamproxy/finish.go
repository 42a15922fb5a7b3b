package streamproxy

import (
	"net/http"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/dedup"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/observe"
)

// respond passes the outcome of the request on to the caller.
func (s *requestState) respond(outcome exchange.Outcome) {
	switch o := outcome.(type) {
	case *exchange.Response:
		s.forwardResponse(o)
	case exchange.NotRun:
		s.respondError(s.rejectionOf(o))
	case *exchange.Unknown:
		s.respondError(unknownOutcomeResponse(o))
	}
}

// forwardResponse streams the backend server's response to the caller, and then releases
// the slot. If the response is incomplete, [exchange.Copy] panics, which makes the HTTP
// server break the caller's connection. The deferred function logs the event before that.
func (s *requestState) forwardResponse(response *exchange.Response) {
	defer response.Close()
	defer func() {
		healthOutcome := backend.Outcome(backend.Responded{})
		if cause := response.Err(); cause != nil {
			healthOutcome = backend.Failed{}
			s.handler.Log.Write(observe.ResponseIncomplete, zap.String("request", s.requestID),
				zap.String("server", s.lastServer), zap.Error(cause))
			s.handler.Metrics.CountRejection(s.team, string(ResponseIncomplete))
		}
		s.releaseSlot(healthOutcome)
	}()
	s.w.Header().Set(header.RequestID, s.requestID)
	if err := exchange.Copy(s.w, response); err != nil {
		s.handler.Metrics.CountRejection(s.team, string(CallerDisconnected))
		return
	}
	s.handler.Metrics.RecordLatency(s.team, s.handler.now().Sub(s.start))
}

// rejectionOf returns the error response for a request that was not run. If the outcome is
// this host's own rejection, which shows in the same reason as that of rejectCause, the
// status and the detail come from rejectCause.
func (s *requestState) rejectionOf(outcome exchange.NotRun) ErrorResponse {
	if s.rejectCause != nil {
		errorResponse := errorResponseFor(s.rejectCause)
		if errorResponse.Reason == outcome.Reason() {
			errorResponse.Detail = s.rejectCause.Error()
			return errorResponse
		}
	}
	errorResponse := newRejection(http.StatusServiceUnavailable, outcome.Reason())
	switch outcome.Reason() {
	case dedup.MalformedTicket, dedup.MalformedIdempotencyKey:
		errorResponse.status = http.StatusBadRequest
	}
	errorResponse.Detail = "the request was not run"
	if cause := outcome.Cause(); cause != nil {
		errorResponse.Detail = cause.Error()
	}
	return errorResponse
}

// unknownOutcomeResponse returns the error response for a request that may have run, or
// that ran when the caller sent it before.
func unknownOutcomeResponse(outcome *exchange.Unknown) ErrorResponse {
	errorResponse := ErrorResponse{
		Reason:         outcome.Reason,
		Ran:            ranUnknown,
		Detail:         "the request may have run",
		status:         http.StatusBadGateway,
		outcomeUnknown: true,
	}
	switch outcome.Reason {
	case dedup.AlreadyResponded:
		errorResponse.status = http.StatusConflict
		errorResponse.Ran = ranYes
	case dedup.StillRunning:
		errorResponse.status = http.StatusConflict
	case exchange.DeadlineExceeded, exchange.ResponseTimedOut:
		errorResponse.status = http.StatusGatewayTimeout
	}
	if outcome.Cause != nil {
		errorResponse.Detail = outcome.Cause.Error()
	}
	return errorResponse
}

// respondError logs and counts the error, and sends it to the caller.
func (s *requestState) respondError(errorResponse ErrorResponse) {
	errorResponse.RequestID = s.requestID
	s.recordError(errorResponse)
	errorResponse.write(s.w)
}

// recordError logs the error and counts it for the team.
func (s *requestState) recordError(errorResponse ErrorResponse) {
	s.handler.Metrics.CountRejection(s.team, string(errorResponse.Reason))
	event := observe.RequestRejected
	if errorResponse.outcomeUnknown {
		event = observe.RequestOutcomeUnknown
	}
	s.handler.Log.Write(event, zap.String("request", s.requestID), zap.String("route", s.route.Name),
		zap.String("team", s.team), zap.String("reason", string(errorResponse.Reason)), zap.String("server", s.lastServer),
		zap.String("detail", errorResponse.Detail))
}
