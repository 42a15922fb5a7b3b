package bufferproxy

import (
	"net/http"
	"time"

	"trefoilline.example/trefoilline/exchange"
)

// pastDeadline is a deadline that ends a read at once.
var pastDeadline = time.Unix(1, 0)

// readBody reads the body of the request into memory, unless it is too long; then it returns a body that is read when it
// is sent. It returns a [DrainingError] if the read was ended since this host stops.
func (s *requestState) readBody(stream *exchange.Stream) (exchange.Body, error) {
	s.handler.uploads.Store(s, http.NewResponseController(s.w))
	if s.handler.isDraining() && s.ctx.Err() != nil {
		// EndRequests may have come before the request could be seen there.
		s.handler.uploads.Delete(s)
		return nil, &DrainingError{}
	}
	body, err := exchange.BufferBody(stream, MaxBufferedBodyBytes)
	_, isOwn := s.handler.uploads.LoadAndDelete(s)
	if err == nil {
		return body, nil
	}
	if !isOwn {
		return nil, &DrainingError{}
	}
	return nil, &BodyError{
		Cause: err,
	}
}

// rejectUploads rejects the requests whose body is not in yet and that must not end after the given time, since they
// could not be served anyway.
func (h *Handler) rejectUploads(end time.Time) {
	h.uploads.Range(func(state, controller any) bool {
		s := state.(*requestState)
		if !s.deadline.After(end) {
			return true
		}
		if _, isReading := h.uploads.LoadAndDelete(s); isReading {
			// A writer without deadlines leaves the request as it is.
			_ = controller.(*http.ResponseController).SetReadDeadline(pastDeadline)
		}
		return true
	})
}
