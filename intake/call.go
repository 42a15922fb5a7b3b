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

// call is the state of one caller's request while the host serves it.
type call struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	start   time.Time
	// index is the configuration that was in force when the request arrived.
	index   *routing.Index
	route   *routing.Route
	service string
	// team is nil if the route is public and the request has no valid API key.
	team   *routing.Team
	apiKey string
	// ctx ends at the deadline, or when the caller leaves.
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is the time by which the caller must have a response.
	deadline time.Time
	request  *exchange.Request
	// triedServers holds the names of the backend servers that the request was sent
	// to.
	triedServers []string
	// lastRegion is the region of the last of the tried servers.
	lastRegion string
	// queueTime is the total time that the request waited for slots on backend
	// servers.
	queueTime time.Duration
	// possibleRuns is the number of tried servers that may have run the request.
	possibleRuns int
}

// serve runs the request through all steps of the request path.
func (c *call) serve() {
	if err := c.admit(); err != nil {
		c.reject(err)
		return
	}
	c.finish(c.forward())
}

// admit runs the steps that come before the choice of a backend server. It returns the
// error of the first step that rejects the request.
func (c *call) admit() error {
	for _, step := range []func() error{
		c.checkDraining,
		c.findRoute,
		c.authenticate,
		c.setDeadline,
		c.buildRequest,
		c.takeRateToken,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkDraining rejects a request that might not end before this host stops.
func (c *call) checkDraining() error {
	if !c.handler.accepts(c.start) {
		return &DrainingError{}
	}
	return nil
}

// findRoute finds the route by host and path, and chooses one of its services.
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
	c.service = c.handler.roundRobin.next(route)
	return nil
}

// authenticate finds the team by the request's API key. It checks every request, because
// a valid key in an earlier request on the same connection proves nothing about this
// one.
func (c *call) authenticate() error {
	c.apiKey = c.handler.HeaderCodec.ReadAPIKey(c.r)
	team, found := c.index.TeamByKey(c.apiKey)
	if found {
		c.team = team
		return nil
	}
	if c.route.Public {
		return nil
	}
	return &UnknownKeyError{}
}

// setDeadline sets the deadline of the request to the caller's timeout or the route's,
// whichever ends first.
func (c *call) setDeadline() error {
	timeout := c.handler.HeaderCodec.ReadTimeout(c.r)
	if timeout <= 0 || c.route.Timeout > 0 && timeout > c.route.Timeout {
		timeout = c.route.Timeout
	}
	c.deadline = c.start.Add(timeout)
	c.ctx, c.cancel = context.WithDeadline(c.r.Context(), c.deadline)
	return nil
}

// buildRequest builds the request for the backend servers. It reads the body into memory
// if the body is not larger than [MaxBufferedBodyBytes], and otherwise leaves it a stream,
// which can be sent only once.
func (c *call) buildRequest() error {
	limit := c.index.Limits.BodyBytes
	if limit > 0 && c.r.Body != nil && c.r.Body != http.NoBody {
		c.r.Body = http.MaxBytesReader(c.w, c.r.Body, limit)
	}
	c.request = exchange.FromHTTP(c.r, c.r.Header.Get(c.handler.HeaderCodec.RequestID))
	c.request.Key = c.apiKey
	c.request.Idempotent = c.route.RetryPolicy == routing.Idempotent
	c.request.Header = c.callerHeader()
	stream, isStream := c.request.Body.(*exchange.Stream)
	if !isStream {
		return nil
	}
	body, err := exchange.Buffer(stream, MaxBufferedBodyBytes)
	if err != nil {
		return &BodyError{
			Cause: err,
		}
	}
	c.request.Body = body
	return nil
}

// callerHeader returns the caller's header without the fields that only this host may
// set.
func (c *call) callerHeader() http.Header {
	h := c.r.Header.Clone()
	h.Del(c.handler.HeaderCodec.TargetServer)
	h.Del(c.handler.HeaderCodec.Team)
	h.Del(c.handler.HeaderCodec.Timeout)
	return h
}

// takeRateToken takes a token of the team's rate, from another host if this host has
// none left. Before that it records the demand on the route, which counts rejected
// requests too.
func (c *call) takeRateToken() error {
	if !c.isRegionRestricted() {
		c.handler.demand.record(c.route.Name, c.start)
	}
	if c.team == nil {
		return nil
	}
	if !c.handler.RateLimiter.HasShares() {
		return &StartingError{}
	}
	if wait, ok := c.handler.RateLimiter.Take(c.team.Name); !ok && !c.borrowToken() {
		return &RateLimitError{
			Team:       c.team.Name,
			RetryAfter: wait,
		}
	}
	return nil
}

// borrowToken takes a token of the team's rate from another host.
func (c *call) borrowToken() bool {
	return c.handler.BorrowToken != nil && c.handler.BorrowToken(c.ctx, c.team.Name)
}

// placementRequest describes which backend servers may serve the request, and how long it
// may wait for a slot on one.
func (c *call) placementRequest() placement.Request {
	return placement.Request{
		Service:         c.service,
		Route:           c.route.Name,
		AffinityKey:     c.affinityKey(),
		AllowedRegions:  c.allowedRegions(),
		Priority:        routing.EffectivePriority(c.route, c.team),
		WaitDeadline:    c.queueDeadline(),
		ExcludedServers: c.triedServers,
	}
}

// affinityKey returns the key of the object that the request is about; empty on routes
// without affinity.
func (c *call) affinityKey() string {
	if !c.route.Affinity {
		return ""
	}
	return c.handler.HeaderCodec.ReadAffinityKey(c.r)
}

// allowedRegions returns the lists of regions, each of which must contain the region of
// the backend server. An empty list allows all regions.
func (c *call) allowedRegions() [][]string {
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

// isRegionRestricted reports whether only some regions may serve the request.
func (c *call) isRegionRestricted() bool {
	return len(c.route.Regions) > 0 || c.team != nil && len(c.team.Regions) > 0
}

// maxQueueFraction is the longest time that a request waits for a slot on a backend
// server, as a fraction of the route's latency target.
const maxQueueFraction = 0.5

// queueDeadline returns the time until which the request waits for a slot on a backend
// server.
func (c *call) queueDeadline() time.Time {
	until := c.start.Add(time.Duration(maxQueueFraction * float64(c.route.LatencyTarget)))
	if until.After(c.deadline) {
		return c.deadline
	}
	return until
}

func (c *call) crashDetector() retry.CrashDetector {
	return c.handler.CrashDetector
}
