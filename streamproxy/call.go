package streamproxy

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// bearerPrefix precedes the API key in the header Authorization.
const bearerPrefix = "Bearer "

// requestState holds a caller's request and its state while it is served.
type requestState struct {
	handler *Handler
	w       http.ResponseWriter
	// callerRequest is the request as the caller sent it.
	callerRequest *http.Request
	// requestID is unique. Admission gives a request with a ticket or an idempotency key
	// another ID, which replaces this one when forward has returned.
	requestID string
	start     time.Time
	route     table.Route
	apiKey    string
	// team is the team that the API key belongs to; empty if the route is public.
	team string
	// ctx ends at the deadline, or when the caller closes its connection or cancels the
	// request.
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	// rateToken holds the token that the request took from its team's rate limit.
	rateToken globallimit.Grant
	// regionDecision holds the service and the region for all attempts. It is nil before
	// the first attempt, and after the region was found to be lost to the service.
	regionDecision *steer.Decision
	// slot is the slot on a backend server that the request holds; nil if none.
	slot *heldSlot
	// lastServer is the name of the backend server that the request was last sent to.
	lastServer string
	// rejectCause is this host's own error, if it rejected the request or got no slot for
	// the last attempt; otherwise nil.
	rejectCause error
}

func (h *Handler) newRequestState(w http.ResponseWriter, r *http.Request) *requestState {
	return &requestState{
		handler:       h,
		w:             w,
		callerRequest: r,
		requestID:     h.Host + "-" + uuid.NewString(),
		start:         h.now(),
		cancel:        func() {},
	}
}

// serve handles the request from the choice of the route to the response.
func (s *requestState) serve() {
	request, err := s.prepareForAdmission()
	if err != nil {
		s.respondError(errorResponseBeforeAdmission(err, s.hasTicketOrIdempotencyKey()))
		return
	}
	outcome := s.forward(request)
	s.requestID = request.ID
	s.respond(outcome)
}

// prepareForAdmission does what comes before admission: it finds the route, sets the deadline,
// checks the API key, and builds the request for the backend server with a small body read
// into memory.
func (s *requestState) prepareForAdmission() (*exchange.Request, error) {
	if err := s.findRoute(); err != nil {
		return nil, err
	}
	if err := s.setDeadline(); err != nil {
		return nil, err
	}
	if err := s.authenticate(); err != nil {
		return nil, err
	}
	return s.buildServerRequest()
}

// hasTicketOrIdempotencyKey reports whether the request has a ticket or an idempotency
// key, so that the caller may have sent it before.
func (s *requestState) hasTicketOrIdempotencyKey() bool {
	return s.callerRequest.Header.Get(header.Ticket) != "" || s.callerRequest.Header.Get(header.IdempotencyKey) != "" ||
		s.callerRequest.Header.Get(header.XIdempotencyKey) != ""
}

// findRoute sets the route of the request's path.
func (s *requestState) findRoute() error {
	matcher := s.handler.routes.Load()
	if matcher == nil {
		return &StartingError{}
	}
	route, found := matcher.find(s.callerRequest.URL.Path)
	if !found {
		return &NoRouteError{
			Path: s.callerRequest.URL.Path,
		}
	}
	s.route = route
	return nil
}

// setDeadline sets the deadline from the timeout that the caller states. MaxTimeout
// replaces a longer timeout and a missing one.
func (s *requestState) setDeadline() error {
	timeout, err := header.ParseTimeout(s.callerRequest.Header.Get(header.Timeout))
	if err != nil {
		return err
	}
	limit := s.handler.MaxTimeout
	if limit == 0 {
		limit = DefaultMaxTimeout
	}
	if timeout == 0 || timeout > limit {
		timeout = limit
	}
	s.deadline = s.start.Add(timeout)
	s.ctx, s.cancel = context.WithDeadline(s.callerRequest.Context(), s.deadline)
	return nil
}

// authenticate checks the API key of the request and sets its team. The key is checked for
// each request, not once per connection. Public routes need no key.
func (s *requestState) authenticate() error {
	if s.route.Access == table.Public {
		return nil
	}
	s.apiKey = readAPIKey(s.callerRequest)
	teamName, err := s.handler.KeyVerifier.Verify(s.apiKey)
	if err != nil {
		return err
	}
	s.team = teamName
	return nil
}

// readAPIKey returns the API key of the request: from the header [header.APIKey], the
// header Authorization, the cookie or the query parameter, in this order.
func readAPIKey(r *http.Request) string {
	if key := r.Header.Get(header.APIKey); key != "" {
		return key
	}
	if value := r.Header.Get("Authorization"); len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return value[len(bearerPrefix):]
	}
	if cookie, err := r.Cookie(header.APIKeyCookie); err == nil {
		return cookie.Value
	}
	return r.URL.Query().Get(header.APIKeyParameter)
}

// buildServerRequest returns the request to send to a backend server. A small body is
// read into memory, so that the request can be sent again.
func (s *requestState) buildServerRequest() (*exchange.Request, error) {
	request := exchange.FromHTTP(s.callerRequest, s.requestID)
	request.APIKey = s.apiKey
	request.Idempotent = s.route.RetryPolicy == table.Idempotent
	stream, isStreamed := request.Body.(*exchange.Stream)
	if !isStreamed {
		return request, nil
	}
	body, err := exchange.BufferBody(stream, MaxBufferedBodyBytes)
	if err != nil {
		return nil, &BodyError{
			Cause: err,
		}
	}
	request.Body = body
	return request, nil
}

// callerAddress returns the caller's IP address; the zero address if it is not known.
func (s *requestState) callerAddress() netip.Addr {
	address, err := netip.ParseAddrPort(s.callerRequest.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
