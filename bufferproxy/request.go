package bufferproxy

import (
	"context"
	"net/http"
	"strings"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/routing"
)

// requestState is the state of one caller's request while the host serves it.
type requestState struct {
	handler *Handler
	w       http.ResponseWriter
	// callerRequest is the request as the caller sent it.
	callerRequest *http.Request
	// isForwarded is true if another entry host forwarded the request.
	isForwarded bool
	start       time.Time
	// index is the configuration that was in force when the request arrived. It is nil once the route and the team are known, so that
	// long requests do not keep it in memory. Its version and limits stay.
	index   *routing.Index
	version routing.Version
	limits  routing.Limits
	route   *routing.Route
	service string
	// team is nil if the route is public and the request has no valid API key.
	team   *routing.Team
	apiKey string
	// ctx ends at the deadline, or when the caller closes its connection or cancels
	// the request.
	ctx    context.Context
	cancel context.CancelFunc
	// deadline is the time by which the caller must have a response.
	deadline time.Time
	// serverRequest is the request that is sent to backend servers.
	serverRequest *exchange.Request
	// triedServers holds the names of the backend servers that the request was sent
	// to.
	triedServers []string
	// triedHosts holds the names of the other hosts that the request was forwarded to.
	triedHosts []string
	// lastRegion is the region of the last of the tried servers and hosts.
	lastRegion string
	// metPause is true if a server turned the request away and asked for a pause.
	metPause bool
	// queueTime is the total time that the request waited for slots on backend
	// servers.
	queueTime time.Duration
	// responseBytes is the size of the response body that was passed on.
	responseBytes int64
	// upload is the memory of the request's body; nil if there is none.
	upload *memorybudget.Holding
	// stream is the body if it is sent on while it arrives, nil otherwise.
	stream *streamReader
	// answer is the memory of the last response; nil if there was none.
	answer *memorybudget.Holding
	// transfers ends the transfers from and to the caller.
	transfers transfers
	// possibleRuns is the number of tried servers that may have run the request.
	possibleRuns int
}

// serve takes the request through all steps of the request path.
func (s *requestState) serve() {
	if err := s.prepare(); err != nil {
		s.reject(err)
		return
	}
	if !s.keepConnection() {
		s.respond(&failure{
			cause: &ConnectionClosedError{},
		})
		return
	}
	result := s.obtainResult()
	s.releaseBody()
	s.respond(result)
}

// keepConnection reports whether the caller's connection is open, and stays so as far as this host decides it.
func (s *requestState) keepConnection() bool {
	return s.handler.Keep == nil || s.handler.Keep(s.callerRequest)
}

// prepare runs the steps that come before the choice of a backend server. It returns the
// error of the first step that rejects the request.
func (s *requestState) prepare() error {
	for _, step := range []func() error{
		s.findRoute,
		s.authenticate,
		s.setDeadline,
		s.checkDraining,
		s.buildServerRequest,
		// The body may have taken long to arrive.
		s.checkDraining,
		s.applyRateLimit,
		s.recordDemand,
	} {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

// checkDraining rejects a request that might not end before this host stops.
func (s *requestState) checkDraining() error {
	if !s.handler.accepts(s.handler.now(), s.deadline) {
		return &DrainingError{}
	}
	return nil
}

// findRoute finds the route by host and path, and chooses one of its services.
func (s *requestState) findRoute() error {
	s.index = s.handler.index.Load()
	if s.index == nil {
		return &StartingError{}
	}
	s.version, s.limits = s.index.Version, s.index.Limits
	route, found := s.index.Route(s.callerRequest.Host, exchange.TargetPath(s.callerRequest))
	if !found {
		return &NoRouteError{
			Host: s.callerRequest.Host,
			Path: s.callerRequest.URL.Path,
		}
	}
	s.route = keepAlone(route)
	s.service = s.handler.roundRobin.nextService(route)
	return nil
}

// keepAlone returns a copy of a part of a configuration, which does not keep the rest in memory as long as the request lasts.
func keepAlone[T any](part *T) *T {
	alone := *part
	return &alone
}

// authenticate finds the team by the request's API key. It checks every request, because
// a valid key in an earlier request on the same connection proves nothing about this
// one.
func (s *requestState) authenticate() error {
	s.apiKey = s.handler.HeaderCodec.ReadAPIKey(s.callerRequest)
	team, found := s.index.TeamByKey(s.apiKey)
	s.index = nil
	if found {
		s.team = keepAlone(team)
		return s.checkTarget()
	}
	if s.route.Public {
		return nil
	}
	return &UnknownKeyError{}
}

// checkTarget rejects a request whose target has its key. It can neither be forwarded with the key nor changed.
func (s *requestState) checkTarget() error {
	if s.apiKey != "" && strings.Contains(s.callerRequest.RequestURI, s.apiKey) {
		return &KeyInTargetError{}
	}
	return nil
}

// setDeadline sets the deadline of the request by the caller's timeout or the route's,
// whichever is shorter. Zero means that there is no timeout; if there is neither, the
// deadline is the start of the request.
func (s *requestState) setDeadline() error {
	timeout := s.handler.HeaderCodec.ReadTimeout(s.callerRequest)
	if timeout <= 0 || s.route.Timeout > 0 && timeout > s.route.Timeout {
		timeout = s.route.Timeout
	}
	s.deadline = s.start.Add(timeout)
	s.ctx, s.cancel = context.WithDeadline(s.callerRequest.Context(), s.deadline)
	s.handler.cancels.Store(s, s.cancel)
	return nil
}

// buildServerRequest builds the request that is sent to backend servers. It reads the body into
// memory if the body is not larger than [MaxBufferedBodyBytes], and otherwise leaves it a
// stream, which can be sent only once. It also limits the size of the body to the limit in
// the configuration.
func (s *requestState) buildServerRequest() error {
	limit := s.limits.MaxBodyBytes
	if limit > 0 && s.callerRequest.ContentLength > limit {
		s.abandonBody()
		return &http.MaxBytesError{
			Limit: limit,
		}
	}
	if limit > 0 && s.callerRequest.Body != nil && s.callerRequest.Body != http.NoBody {
		s.callerRequest.Body = http.MaxBytesReader(s.w, s.callerRequest.Body, limit)
	}
	s.serverRequest = exchange.FromHTTP(s.callerRequest, s.callerRequest.Header.Get(s.handler.HeaderCodec.RequestID))
	s.serverRequest.APIKey = s.apiKey
	s.serverRequest.Idempotent = s.route.RetryPolicy == routing.Idempotent
	s.serverRequest.Header = s.callerHeader()
	stream, isStream := s.serverRequest.Body.(*exchange.Stream)
	if !isStream {
		return nil
	}
	body, err := s.readBody(stream)
	if err != nil {
		return err
	}
	s.serverRequest.Body = body
	return nil
}

// callerHeader returns the caller's header without the fields that only this host may
// set.
func (s *requestState) callerHeader() http.Header {
	h := s.callerRequest.Header.Clone()
	h.Del(s.handler.HeaderCodec.TargetServer)
	h.Del(s.handler.HeaderCodec.Team)
	h.Del(s.handler.HeaderCodec.Timeout)
	return h
}

// applyRateLimit takes a rate-limit token of the team, from another host if this host has
// none left.
func (s *requestState) applyRateLimit() error {
	if s.isForwarded {
		// The host that forwarded the request has taken a token.
		return nil
	}
	if s.team == nil {
		return nil
	}
	if !s.handler.RateLimiter.HasShares() {
		return &StartingError{}
	}
	if _, ok := s.handler.RateLimiter.TakeToken(s.team.Name); ok {
		return nil
	}
	othersWait, ok := s.borrowToken()
	if ok {
		return nil
	}
	wait := s.handler.RateLimiter.PromiseToken(s.team.Name)
	switch {
	case othersWait > 0:
		wait = min(wait, othersWait)
	case wait > maxRetryAfter:
		// This host has no tokens of the team, and those that have did not answer.
		wait = DefaultRetryAfter
	}
	return &RateLimitError{
		Team:       s.team.Name,
		RetryAfter: wait,
	}
}

// recordDemand counts the request in the rate of its route. Requests that only some regions may serve
// are counted apart, if this region is one of them. Requests that
// the rate limit rejects are not counted: they occupy no slots, so no load needs to move for them. The
// host that forwarded a request has counted it.
func (s *requestState) recordDemand() error {
	switch {
	case s.isForwarded:
	case !s.isRegionRestricted():
		s.handler.routeRates.record(s.route.Name, s.start)
	case s.isLocalAllowed():
		s.handler.boundRouteRates.record(s.route.Name, s.start)
	}
	return nil
}

// borrowToken takes a rate-limit token of the team from another host. If there is none, it
// returns false and the time until another host has one, zero if that is not known.
func (s *requestState) borrowToken() (time.Duration, bool) {
	if s.handler.BorrowToken == nil {
		return 0, false
	}
	return s.handler.BorrowToken(s.ctx, s.team.Name)
}

// placementRequest describes which backend servers may serve the request, and how long it
// may wait for a slot on one.
func (s *requestState) placementRequest() placement.Request {
	return placement.Request{
		Service:         s.service,
		Route:           s.route.Name,
		AffinityKey:     s.affinityKey(),
		AllowedRegions:  s.allowedRegions(),
		Team:            s.teamName(),
		TeamWeight:      s.teamWeight(),
		Priority:        routing.EffectivePriority(s.route, s.team),
		QueueDeadline:   s.queueDeadline(),
		Target:          s.targetTime(1),
		LateDeadline:    s.targetTime(maxLateFraction),
		ExcludedServers: s.triedServers,
	}
}

// teamWeight returns the weight of the team among queued requests: its rate, zero if it has none.
func (s *requestState) teamWeight() float64 {
	if s.team == nil {
		return 0
	}
	return s.team.Rate
}

// affinityKey returns the request's affinity key; empty on routes without affinity.
func (s *requestState) affinityKey() string {
	if !s.route.Affinity {
		return ""
	}
	return s.handler.HeaderCodec.ReadAffinityKey(s.callerRequest)
}

// allowedRegions returns the route's and the team's lists of allowed regions. The region
// of the backend server must be in both lists. An empty list allows every region.
func (s *requestState) allowedRegions() [][]string {
	if s.team == nil {
		return [][]string{
			s.route.Regions,
		}
	}
	return [][]string{
		s.route.Regions,
		s.team.Regions,
	}
}

// isRegionRestricted reports whether only some regions may serve the request.
func (s *requestState) isRegionRestricted() bool {
	return len(s.route.Regions) > 0 || s.team != nil && len(s.team.Regions) > 0
}

// isLocalAllowed reports whether the region of this host may serve the request.
func (s *requestState) isLocalAllowed() bool {
	for _, regions := range s.allowedRegions() {
		if !routing.AllowsRegion(regions, s.handler.Pool.Region) {
			return false
		}
	}
	return true
}

// maxQueueFraction is the longest time that a request is expected to wait for a slot on a backend
// server, as a fraction of the route's latency target. One that is expected to wait longer is
// rejected at once.
const maxQueueFraction = 0.5

// maxLateFraction is the longest time after which a request that was queued is still worth a late
// response, as a fraction of the route's latency target.
const maxLateFraction = 1.5

// queueDeadline returns the time until which the request is expected to wait for a slot on a backend
// server at most.
func (s *requestState) queueDeadline() time.Time {
	return s.targetTime(maxQueueFraction)
}

// targetTime returns the time after the given fraction of the route's latency target, but not after the
// request's deadline.
func (s *requestState) targetTime(fraction float64) time.Time {
	at := s.start.Add(time.Duration(fraction * float64(s.route.LatencyTarget)))
	if at.After(s.deadline) {
		return s.deadline
	}
	return at
}

func (s *requestState) crashDetector() retry.CrashDetector {
	return s.handler.CrashDetector
}
