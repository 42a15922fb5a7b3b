package bufferproxy

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/placement"
)

// respond writes the result of the request to the caller.
func (s *requestState) respond(r result) {
	switch r := r.(type) {
	case *response:
		s.forwardResponse(r)
	case *failure:
		s.handleFailure(r)
	}
}

// forwardResponse passes the backend server's response on to the caller.
func (s *requestState) forwardResponse(resp *response) {
	headers := s.w.Header()
	for name, values := range resp.header {
		headers[name] = values
	}
	headers.Set("Content-Length", strconv.FormatInt(resp.body.size, 10))
	if _, hasDate := headers["Date"]; !hasDate {
		// This keeps net/http from adding a date where the server sent none.
		headers["Date"] = nil
	}
	if s.isForwarded {
		// The host that forwarded the request tells responses apart by it.
		headers.Set(s.handler.HeaderCodec.RequestID, s.callerRequest.Header.Get(s.handler.HeaderCodec.RequestID))
	}
	s.responseBytes = resp.body.size
	s.closeIfDraining()
	s.w.WriteHeader(resp.status)
	// A write error means that the caller's connection is closed, so that nothing else
	// can be sent to it.
	_ = s.writeBody(resp.body)
	s.recordResponse(resp.status)
}

// closeIfDraining closes the caller's connection after this response if this host is
// draining, so that the caller sends its next requests to another host, and if it does not read the rest of the
// request's body.
func (s *requestState) closeIfDraining() {
	if s.handler.isDraining() || s.uploadError() != nil {
		s.w.Header().Set("Connection", "close")
	}
}

// handleFailure tells the caller that there is no response of a backend server. If the
// request was not run, the team gets its rate-limit token back, unless the caller has cancelled the
// request.
func (s *requestState) handleFailure(f *failure) {
	if evicted := s.uploadError(); evicted != nil {
		s.handleEvicted(f, evicted)
		return
	}
	if s.isCancelledByCaller() {
		s.recordCallerDisconnected()
		s.answerDisconnected(f)
		return
	}
	if !f.mayHaveRun {
		if s.team != nil && !s.isForwarded {
			s.handler.RateLimiter.ReturnToken(s.team.Name)
		}
		s.reject(s.pauseOr(f.cause))
		return
	}
	status := http.StatusBadGateway
	if !s.handler.now().Before(s.deadline) {
		status = http.StatusGatewayTimeout
	}
	s.respondError(status, 0, f.cause)
}

// handleEvicted tells the caller that its body lost its memory or its slot on a backend server while it was sent on.
func (s *requestState) handleEvicted(f *failure, evicted error) {
	if f.mayHaveRun {
		s.respondError(http.StatusBadGateway, 0, f.cause)
		return
	}
	if s.team != nil && !s.isForwarded {
		s.handler.RateLimiter.ReturnToken(s.team.Name)
	}
	s.reject(evicted)
}

// answerDisconnected answers a caller that has cancelled the request. It may have closed only its
// sending side and read on, and without an answer net/http would send it a success.
func (s *requestState) answerDisconnected(f *failure) {
	status := http.StatusServiceUnavailable
	if f.mayHaveRun {
		status = http.StatusBadGateway
	}
	s.writeError(status, 0, f.cause)
}

// reject tells the caller that the request was not run and never will be.
func (s *requestState) reject(cause error) {
	var rateLimit *RateLimitError
	var noRoute *NoRouteError
	var unknownKey *UnknownKeyError
	var keyInTarget *KeyInTargetError
	var tooLarge *http.MaxBytesError
	var body *BodyError
	var memory *MemoryError
	var stalled *UploadsStalledError
	switch {
	case errors.As(cause, &rateLimit):
		s.respondError(http.StatusTooManyRequests, min(rateLimit.RetryAfter, maxRetryAfter), cause)
	case errors.As(cause, &noRoute):
		s.respondError(http.StatusNotFound, 0, cause)
	case errors.As(cause, &unknownKey):
		s.respondError(http.StatusUnauthorized, 0, cause)
	case errors.As(cause, &tooLarge):
		s.respondError(http.StatusRequestEntityTooLarge, 0, cause)
	case errors.As(cause, &memory) && isStalled(memory):
		s.abandonBody()
		s.respondError(http.StatusRequestTimeout, 0, cause)
	case errors.As(cause, &memory), errors.As(cause, &stalled):
		s.abandonBody()
		// With jitter, so that requests that are rejected together don't return together.
		s.respondError(http.StatusServiceUnavailable, memorybudget.Window+rand.N(memorybudget.Window/2), cause)
	case errors.As(cause, &body), errors.As(cause, &keyInTarget):
		s.respondError(http.StatusBadRequest, 0, cause)
	default:
		s.respondError(http.StatusServiceUnavailable, s.retryAfter(cause), cause)
	}
}

// DefaultRetryAfter is the value of Retry-After in a response with status 503 if there is
// no better estimate.
const DefaultRetryAfter = 100 * time.Millisecond

// maxRetryAfter is the largest value of Retry-After for a team above its rate and for servers that are
// paused. An estimate that is made now does not hold for longer. The pool bounds its own estimates.
const maxRetryAfter = 5 * time.Second

// retryAfter returns the value of Retry-After for a request that is rejected with status
// 503. If no backend server had room or ran the request, it is the time that the pool promised;
// otherwise it is [DefaultRetryAfter].
func (s *requestState) retryAfter(cause error) time.Duration {
	var busy *placement.BusyError
	var notRun *NotRunError
	switch {
	case errors.As(cause, &busy) && busy.IsPaused:
		return min(max(busy.RetryAfter, DefaultRetryAfter/2), maxRetryAfter)
	case errors.As(cause, &busy):
		return busy.RetryAfter
	case errors.As(cause, &notRun):
		return s.handler.Pool.PromiseReturn(s.placementRequest(), DefaultRetryAfter)
	}
	return DefaultRetryAfter
}

// respondError responds with a status that this host sets itself, and a Retry-After header
// if the wait is positive.
func (s *requestState) respondError(status int, wait time.Duration, cause error) {
	s.recordError(s.writeError(status, wait, cause), wait, cause)
}

// writeError writes the response, and returns its status, which is another one for another host.
func (s *requestState) writeError(status int, wait time.Duration, cause error) int {
	s.closeIfDraining()
	if s.isBodyUnread() {
		s.abandonBody()
	}
	if wait > 0 {
		s.w.Header().Set("Retry-After", s.handler.HeaderCodec.FormatRetryAfter(wait))
	}
	if s.isForwarded {
		status = s.tellForwarder(status, cause)
	}
	http.Error(s.w, http.StatusText(status), status)
	return status
}
