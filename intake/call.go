package intake

import (
	"context"
	"net/http"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/routing"
)

// call is one request on its way through the host.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time
	index   *routing.Index
	route   *routing.Route
	service string
	// team is nil on open routes without a key.
	team   *routing.Team
	key    string
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is when the caller must have an answer.
	deadline time.Time
	request  *exchange.Request
	// met names the backend servers that the request was sent to.
	met []string
	// region is that of the last of them.
	region string
	// waited is how long the request waited for places.
	waited time.Duration
	// ran counts those of them that may have run it.
	ran int
}

// serve takes the request through all steps.
func (c *call) serve() {
	if err := c.admit(); err != nil {
		c.refuse(err)
		return
	}
	c.finish(c.forward())
}

// admit does what comes before a backend server is looked for.
func (c *call) admit() error {
	for _, step := range []func() error{
		c.checkStay,
		c.findRoute,
		c.findTeam,
		c.setDeadline,
		c.readBody,
		c.takeRate,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkStay refuses a request that may not end before this host stops.
func (c *call) checkStay() error {
	if !c.handler.takes(c.start) {
		return &DrainingError{}
	}
	return nil
}

func (c *call) findRoute() error {
	c.index = c.handler.index.Load()
	if c.index == nil {
		return &StartingError{}
	}
	route, found := c.index.Route(c.r.Host, c.r.URL.EscapedPath())
	if !found {
		return &NoRouteError{
			Host: c.r.Host,
			Path: c.r.URL.Path,
		}
	}
	c.route = route
	c.service = c.handler.splits.choose(route)
	return nil
}

// findTeam checks the key of this request; that an earlier one on the same
// connection had a good key says nothing.
func (c *call) findTeam() error {
	c.key = c.handler.HeaderCodec.ReadAPIKey(c.r)
	team, known := c.index.TeamByKey(c.key)
	if known {
		c.team = team
		return nil
	}
	if c.route.Public {
		return nil
	}
	return &UnknownKeyError{}
}

// setDeadline bounds the request by what the caller and the operators state.
func (c *call) setDeadline() error {
	left := c.handler.HeaderCodec.ReadTimeout(c.r)
	if left <= 0 || c.route.Timeout > 0 && left > c.route.Timeout {
		left = c.route.Timeout
	}
	c.deadline = c.start.Add(left)
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// readBody reads the request, as far as it is kept in memory.
func (c *call) readBody() error {
	limit := c.index.Limits.MaxBodyBytes
	if limit > 0 && c.r.Body != nil && c.r.Body != http.NoBody {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	c.request = exchange.FromHTTP(c.r, c.r.Header.Get(c.handler.HeaderCodec.RequestID))
	c.request.APIKey = c.key
	c.request.Idempotent = c.route.RetryPolicy == routing.Idempotent
	c.request.Header = c.headers()
	stream, isStream := c.request.Body.(*exchange.Stream)
	if !isStream {
		return nil
	}
	body, err := exchange.BufferBody(stream, MaxBufferedBodyBytes)
	if err != nil {
		return &BodyError{
			Cause: err,
		}
	}
	c.request.Body = body
	return nil
}

// headers returns the caller's headers without those that only this host sets.
func (c *call) headers() http.Header {
	headers := c.r.Header.Clone()
	headers.Del(c.handler.HeaderCodec.TargetServer)
	headers.Del(c.handler.HeaderCodec.Team)
	headers.Del(c.handler.HeaderCodec.Timeout)
	return headers
}

func (c *call) takeRate() error {
	if !c.isBound() {
		c.handler.demand.add(c.route.Name, c.start)
	}
	if c.team == nil {
		return nil
	}
	if !c.handler.RateLimiter.HasShares() {
		return &StartingError{}
	}
	if wait, ok := c.handler.RateLimiter.TakeToken(c.team.Name); !ok && !c.borrow() {
		return &RateLimitError{
			Team:       c.team.Name,
			RetryAfter: wait,
		}
	}
	return nil
}

// borrow gets a token from another host.
func (c *call) borrow() bool {
	return c.handler.BorrowToken != nil && c.handler.BorrowToken(c.ctx, c.team.Name)
}

// want is what the request needs of a backend server.
func (c *call) want() placement.Request {
	return placement.Request{
		Service:         c.service,
		Route:           c.route.Name,
		AffinityKey:     c.object(),
		AllowedRegions:  c.regions(),
		Priority:        routing.EffectivePriority(c.route, c.team),
		WaitDeadline:    c.giveUp(),
		ExcludedServers: c.met,
	}
}

func (c *call) object() string {
	if !c.route.Affinity {
		return ""
	}
	return c.handler.HeaderCodec.ReadAffinityKey(c.r)
}

func (c *call) regions() [][]string {
	if c.team == nil {
		return [][]string{
			c.route.Regions,
		}
	}
	return [][]string{
		c.route.Regions,
		c.team.Regions,
	}
}

// isBound tells whether the request may be served in some regions only.
func (c *call) isBound() bool {
	return len(c.route.Regions) > 0 || c.team != nil && len(c.team.Regions) > 0
}

// waitPart is the part of a route's target for which its requests wait for a
// place.
const waitPart = 0.5

// giveUp is until when waiting for a place is of use.
func (c *call) giveUp() time.Time {
	until := c.start.Add(time.Duration(waitPart * float64(c.route.LatencyTarget)))
	if until.After(c.deadline) {
		return c.deadline
	}
	return until
}

func (c *call) suspects() retry.CrashDetector {
	return c.handler.CrashDetector
}
