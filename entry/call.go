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

const bearer = "Bearer "

// call is one request on its way through the host.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	// name tells the request from all others.
	name     string
	start    time.Time
	route    table.Route
	key      string
	team     string
	ctx      context.Context
	cancel   context.CancelFunc
	deadline time.Time
	// grant is what the request took of its team's rate.
	grant share.Grant
	// decision is the region of all tries, nil before the first.
	decision *steer.Decision
	// attempt is the slot that the request holds now, nil if none.
	attempt *attempt
	// server is the backend server that the request met last.
	server string
	// cause is why this host refused the request, nil if it did not.
	cause error
}

func (h *Handler) newCall(w http.ResponseWriter, r *http.Request) *call {
	return &call{
		handler: h,
		w:       w,
		r:       r,
		name:    h.Host + "-" + uuid.NewString(),
		start:   h.now(),
		cancel:  func() {},
	}
}

// serve takes the request through all steps.
func (c *call) serve() {
	request, err := c.prepare()
	if err != nil {
		c.refuse(refusalFor(err, c.named()))
		return
	}
	outcome := c.forward(request)
	c.name = request.ID
	c.finish(outcome)
}

// prepare does what comes before a request is admitted.
func (c *call) prepare() (*exchange.Request, error) {
	if err := c.findRoute(); err != nil {
		return nil, err
	}
	if err := c.readDeadline(); err != nil {
		return nil, err
	}
	if err := c.authenticate(); err != nil {
		return nil, err
	}
	return c.request()
}

// named tells whether the request may have been sent before under its name.
func (c *call) named() bool {
	return c.r.Header.Get(header.Ticket) != "" || c.r.Header.Get(header.IdempotencyKey) != "" ||
		c.r.Header.Get(header.XIdempotencyKey) != ""
}

func (c *call) findRoute() error {
	routes := c.handler.routes.Load()
	if routes == nil {
		return &StartingError{}
	}
	route, found := routes.find(c.r.URL.Path)
	if !found {
		return &NoRouteError{
			Path: c.r.URL.Path,
		}
	}
	c.route = route
	return nil
}

func (c *call) readDeadline() error {
	left, err := header.ParseTimeout(c.r.Header.Get(header.Timeout))
	if err != nil {
		return err
	}
	longest := c.handler.Deadline
	if longest == 0 {
		longest = DefaultDeadline
	}
	if left == 0 || left > longest {
		left = longest
	}
	c.deadline = c.start.Add(left)
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// authenticate checks the key of this request; that an earlier one on the same
// connection had a good key says nothing.
func (c *call) authenticate() error {
	if c.route.Access == table.Public {
		return nil
	}
	c.key = presentedKey(c.r)
	name, err := c.handler.Keys.Verify(c.key)
	if err != nil {
		return err
	}
	c.team = name
	return nil
}

// presentedKey returns the key from the first place that carries one.
func presentedKey(r *http.Request) string {
	if key := r.Header.Get(header.APIKey); key != "" {
		return key
	}
	if value := r.Header.Get("Authorization"); len(value) > len(bearer) && strings.EqualFold(value[:len(bearer)], bearer) {
		return value[len(bearer):]
	}
	if cookie, err := r.Cookie(header.APIKeyCookie); err == nil {
		return cookie.Value
	}
	return r.URL.Query().Get(header.APIKeyParameter)
}

// request builds what goes to the backend server.
func (c *call) request() (*exchange.Request, error) {
	request := exchange.FromHTTP(c.r, c.name)
	request.APIKey = c.key
	request.Idempotent = c.route.RetryPolicy == table.Idempotent
	stream, isStream := request.Body.(*exchange.Stream)
	if !isStream {
		return request, nil
	}
	body, err := exchange.BufferBody(stream, MaxBuffered)
	if err != nil {
		return nil, &BodyError{
			Cause: err,
		}
	}
	request.Body = body
	return request, nil
}

// client returns the caller's address.
func (c *call) client() netip.Addr {
	address, err := netip.ParseAddrPort(c.r.RemoteAddr)
	if err != nil {
		return netip.Addr{}
	}
	return address.Addr().Unmap()
}
