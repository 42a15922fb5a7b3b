package entry

import (
	"context"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/google/uuid"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

// bearerPrefix precedes the API key in the header Authorization.
const bearerPrefix = "Bearer "

// requestState holds a caller's request and what is known of it while it is served.
type requestState struct {
	handler *Handler
	w       http.ResponseWriter
	// callerRequest is the request as the caller sent it.
	callerRequest *http.Request
	// requestID is unique. The ID of a ticket or an idempotency key replaces it once
	// the request is admitted.
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
	// rateGrant holds the token that the request took from its team's rate limit.
	rateGrant share.Grant
	// decision holds the service and the region for all attempts; nil before the
	// first.
	decision *steer.Decision
	// slot is the slot on a backend server that the request holds; nil if none.
	slot *heldSlot
	// lastServer is the name of the backend server that the request was last sent to.
	lastServer string
	// rejectCause is the error for which this host rejected the request, or failed to
	// get a slot for the last attempt; nil if there is none.
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
	request, err := s.prepare()
	if err != nil {
		s.respondError(errorResponseBeforeAdmission(err, s.hasTicketOrIdempotencyKey()))
		return
	}
	outcome := s.forward(request)
	s.requestID = request.ID
	s.respond(outcome)
}

// prepare takes the steps before admission: it finds the route, sets the deadline,
// checks the API key and builds the request for the backend server.
func (s *requestState) prepare() (*exchange.Request, error) {
	if err := s.findRoute(); err != nil {
		return nil, err
	}
	if err := s.readDeadline(); err != nil {
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
	matcher := s.handler.matcher.Load()
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

// readDeadline sets the deadline from the timeout that the caller states. MaxTimeout
// replaces a longer timeout and a missing one.
func (s *requestState) readDeadline() error {
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

// authenticate checks the API key of this request and sets its team. A valid key in an
// earlier request on the same connection does not count. Public routes need no key.
func (s *requestState) authenticate() error {
	if s.route.Access == table.Public {
		return nil
	}
	s.apiKey = readAPIKey(s.callerRequest)
	name, err := s.handler.KeyVerifier.Verify(s.apiKey)
	if err != nil {
		return err
	}
	s.team = name
	return nil
}

// readAPIKey returns the API key of the request: from the header [header.APIKey], the
// header Authorization, the cookie or the query parameter, whichever has one first.
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
