/*
Package bufferproxy is the HTTP request path of an entry host that the daemon of package
internal/host runs, with routes, teams' keys and backend servers from the platform's
object store. It finds the route, checks the caller's API key and the team's rate,
reserves a slot on a backend server, sends the request there, and passes the complete
response on to the caller.

There are two request paths in this code base. Package streamproxy is the other one, which
the daemon of package internal/daemon runs. They differ in these points:

  - This package takes its configuration from a [routing.Index], divides teams' rates
    between hosts with package quota, and leaves the choice of the backend server and
    the queue to package placement. Package streamproxy uses packages table, globallimit, steer,
    queue and backend for the same purposes.
  - This package reads the whole response before it passes it on, so that it can respond
    with 502 if the response is incomplete. Package streamproxy streams the response, and breaks
    the caller's connection in that case.
  - This package tells the caller the outcome by the status alone. Package streamproxy also
    sets the headers Trefoilline-Not-Run and Trefoilline-Outcome-Unknown.
  - This package does not support tickets (see [header.Ticket]), and takes the names of
    the headers from a [HeaderCodec].

Every request whose caller waits for the response ends in one of three ways:

  - With a backend server's complete response: its status, its body and its end-to-end
    headers are unchanged.
  - With a rejection: the request was not run and never will be. The status is 429 or
    503 if the caller may send the request again after the time in Retry-After, and
    400, 401, 404 or 413 if the request itself is at fault, 408 if its body stalled while its
    memory was needed. A request that has crashed backend servers gets 503 too.
  - With status 502 or 504: the request may have run.

If the caller closes its connection or cancels the request before that, the request
ends without a response.

A request keeps the configuration that was in force when it arrived. The backend
server is chosen anew for each attempt to send it, among those usable at that time.

# Usage

	handler := &bufferproxy.Handler{
		Pool:        pool,
		RateLimiter: limiter,
		Client:      client,
		HeaderCodec: codec,
	}
	handler.SetConfiguration(routing.NewIndex(configuration))
	http.Serve(listener, handler)
*/
package bufferproxy

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/memorybudget"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/routing"
)

// MaxBufferedBodyBytes is the largest request body, in bytes, that is kept in memory so
// that the request can be sent again. A request with a larger body is sent only once.
const MaxBufferedBodyBytes = 256 << 10

// HeaderCodec holds the names and value formats of the headers that this host exchanges
// with callers and backend servers.
type HeaderCodec struct {
	header.Dialect
	// ReadAPIKey returns the API key of a request; empty if it has none.
	ReadAPIKey func(*http.Request) string
	// ReadTimeout returns how long the caller waits for the response; zero if the
	// request does not state it.
	ReadTimeout func(*http.Request) time.Duration
	// ReadAffinityKey returns the affinity key of a request, which names what the
	// request is about. Requests with the same key go to the same few backend servers.
	// It returns an empty string if the request has no key.
	ReadAffinityKey func(*http.Request) string
	// ReadLoad returns the load that a backend server reports in the header of a
	// response; nil if it reports none.
	ReadLoad func(http.Header) *placement.LoadReport
	// ReadLimit returns what the header of a backend server's response says of the rate
	// of requests that the server accepts; nil if it is malformed. If ReadLimit is nil,
	// servers name no limits.
	ReadLimit func(http.Header) placement.LimitReport
	// ReadLeaving reports whether the header of a backend server's response says that the server
	// leaves. If it is nil, servers can't say so.
	ReadLeaving func(http.Header) bool
	// ReadPause returns what the header of a response with status 503 says of a pause. If it is
	// nil, servers can't ask for one.
	ReadPause func(http.Header) placement.PauseReport
	// FormatRetryAfter returns the value of the Retry-After header for a wait.
	FormatRetryAfter func(time.Duration) string
}

// Handler serves callers' requests. All fields must be set before the first request,
// except those whose comment states a default.
type Handler struct {
	Pool        *placement.Pool
	RateLimiter *quota.Limiter
	Client      *exchange.Client
	HeaderCodec HeaderCodec
	// RetryBudget limits the retries that follow an attempt in which the request may
	// have reached a backend server. A nil budget denies all of these.
	RetryBudget *RetryBudget
	// BorrowToken takes a token of a team's rate from another host when this host has
	// none left. If no other host has a token, it returns false and the time until one of
	// them expects to have one, zero if it knows none. If BorrowToken is nil, no tokens
	// are borrowed.
	BorrowToken func(ctx context.Context, team string) (time.Duration, bool)
	// FindHost returns another host that reaches backend servers and is in all of the lists of
	// regions, but none of those in excluded; it returns false if there is none. The request is
	// forwarded there with HostClient if this host reaches no server. If FindHost is nil, no
	// request is forwarded.
	FindHost   func(regions [][]string, excluded []string) (OtherHost, bool)
	HostClient *exchange.Client
	// Keep is called with a caller's request before a backend server is sought for it. If it returns false, the request is
	// not run, since its connection was closed meanwhile. It may be nil.
	Keep func(*http.Request) bool
	// CrashDetector detects requests that crash backend servers. It may be nil.
	CrashDetector retry.CrashDetector
	// Memory limits the memory for request bodies and responses. The zero value has a default limit.
	Memory memorybudget.Budget
	// Clock returns the current time; nil means [time.Now].
	Clock func() time.Time
	// Log writes the events of requests. The zero value discards them.
	Log observe.Log
	// Metrics counts how requests end on this host. The zero value is ready for use.
	Metrics observe.Metrics

	index      atomic.Pointer[routing.Index]
	roundRobin weightedRoundRobin
	routeRates routeRates
	callerLoad callerLoad
	// boundRouteRates are of requests that only some regions may serve, among them that of this host.
	boundRouteRates routeRates
	// uploadSlots are the uploads that occupy slots on backend servers.
	uploadSlots uploadSlots
	memoryLog   memoryLog
	running     atomic.Int64
	// cancels holds the functions that end the running requests, by their states.
	cancels sync.Map
	// uploads holds what ends the reading of a body, by the states of the requests whose bodies are being read.
	uploads sync.Map
	// draining is nil while the host is not draining.
	draining atomic.Pointer[drainingPeriod]
}

// SetConfiguration sets the configuration for new requests. If it is not newer than the
// configuration in force, SetConfiguration does nothing and returns false.
func (h *Handler) SetConfiguration(index *routing.Index) bool {
	for {
		current := h.index.Load()
		if current != nil && current.Version >= index.Version {
			return false
		}
		if h.index.CompareAndSwap(current, index) {
			h.forgetOtherRoutes(index.RouteNames())
			return true
		}
	}
}

// forgetOtherRoutes drops what is kept of routes that are not in force any more.
func (h *Handler) forgetOtherRoutes(routes map[string]struct{}) {
	h.routeRates.keep(routes)
	h.boundRouteRates.keep(routes)
	h.roundRobin.keep(routes)
	h.Pool.KeepRoutes(routes)
}

// Configuration returns the configuration in force; nil if none has been set.
func (h *Handler) Configuration() *routing.Index {
	return h.index.Load()
}

// RunningRequests returns the number of requests that are being served.
func (h *Handler) RunningRequests() int {
	return int(h.running.Load())
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.serve(w, r, false)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request, isForwarded bool) {
	h.running.Add(1)
	defer h.running.Add(-1)
	s := &requestState{
		handler:       h,
		w:             w,
		callerRequest: r,
		isForwarded:   isForwarded,
		start:         h.now(),
		cancel:        func() {},
	}
	// Also if the request ends with a panic, what it holds is released.
	defer s.end()
	s.serve()
}

// end releases what the request holds.
func (s *requestState) end() {
	s.recordCallerLoad()
	s.handler.cancels.Delete(s)
	s.cancel()
	s.endTransfers()
}

func (h *Handler) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock()
}

func (h *Handler) isDraining() bool {
	return h.draining.Load() != nil
}

// accepts reports whether a request that is read at the given time and must end by the deadline
// is served.
func (h *Handler) accepts(now, deadline time.Time) bool {
	period := h.draining.Load()
	return period == nil || period.accepts(now, deadline)
}
