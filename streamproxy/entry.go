/*
Package streamproxy is the HTTP request path of an entry host that the daemon of package
internal/daemon runs, with routes and teams from a versioned table. It finds the route,
checks the caller's API key, admits the request, checks the team's rate, chooses the
region, waits in a fair queue for a slot on a backend server there, sends the request to
the server, and streams the response to the caller. The rate and the queue come after
admission, since only package dedup knows whether the same request ran when the
caller sent it before.

There are two request paths in this code base. Package bufferproxy is the other one, which
the daemon of package internal/host runs. They differ in these points:

  - This package takes its routes and teams from package table. Package globallimit divides
    the teams' rates between hosts, package steer chooses the region, package queue
    orders the requests that wait for a slot, and package backend chooses the server.
    Package bufferproxy uses packages routing, quota and placement for these purposes.
  - This package streams the response, and breaks the caller's connection if the
    response is incomplete. Package bufferproxy reads the whole response first, and responds
    with 502 in that case.
  - This package tells the caller the outcome in the headers Trefoilline-Not-Run and
    Trefoilline-Outcome-Unknown and in a JSON body. Package bufferproxy tells it by the
    status alone.
  - This package supports tickets (see [header.Ticket]) and idempotency keys, with which
    package dedup runs a request at most once. Package bufferproxy does not support
    tickets.

Every request whose caller waits for the response ends in one of four ways:

  - With a backend server's complete response.
  - With a broken connection, because the backend server's response was incomplete.
  - With an error response (see [ErrorResponse]) that has the header
    Trefoilline-Not-Run: the request was not run.
  - With an error response that has the header Trefoilline-Outcome-Unknown: the request
    may have run, or ran when the caller sent it before.

# Usage

	handler := &streamproxy.Handler{
		Host:        "accra-1",
		Region:      "accra",
		KeyVerifier: keys,
		Pool:        pool,
		Router:      router,
		Client:      client,
		RateLimiter: limiter,
		Admission:   controller,
		Metrics:     &observe.Metrics{},
	}
	handler.SetTable(currentTable)
	http.ListenAndServe(address, handler)
*/
package streamproxy

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/dedup"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/table"
)

const (
	// DefaultMaxTimeout is the default of [Handler.MaxTimeout].
	DefaultMaxTimeout = time.Minute
	// MaxBufferedBodyBytes is the largest request body, in bytes, that is kept in memory
	// so that a request that was not run can be sent again. A larger body is streamed,
	// and cannot be sent again once an attempt has read from it.
	MaxBufferedBodyBytes = 64 << 10
)

// KeyVerifier verifies callers' API keys.
type KeyVerifier interface {
	// Verify returns the team of the API key. It returns the errors of
	// apikey.View.Verify, and a [KeysUnconfirmedError] if this host may not know of all
	// withdrawn keys.
	Verify(text string) (string, error)
}

// Handler serves callers' requests. All fields must be set before the first request,
// except those whose comment states a default.
type Handler struct {
	// Host is the name of this entry host. Request IDs start with it.
	Host string
	// Region is the region of this entry host. The handler does not use it; the Router
	// has the region too.
	Region      string
	KeyVerifier KeyVerifier
	// Pool holds the backend servers, and reserves slots on them.
	Pool *backend.Pool
	// Router chooses the region of a request.
	Router *steer.Router
	// Client sends requests to backend servers.
	Client *exchange.Client
	// RateLimiter limits the teams' rates.
	RateLimiter *globallimit.Limiter
	// Admission admits requests that may run only once.
	Admission *dedup.Deduplicator
	// CrashDetector detects requests that crash backend servers. It may be nil.
	CrashDetector *crashdetect.Detector
	// MaxTimeout is the longest time from the arrival of a request to its end; zero
	// means [DefaultMaxTimeout]. Each request needs such a limit, because the slots of a
	// region are allocated to a host for a limited time.
	MaxTimeout time.Duration
	// Clock returns the current time; nil means [time.Now].
	Clock func() time.Time
	// Log writes the events of requests. The zero value discards them.
	Log observe.Log
	// Metrics counts how requests end on this host.
	Metrics *observe.Metrics

	// routes also holds the current table. It is nil until the first call of SetTable.
	routes  atomic.Pointer[routeMatcher]
	running atomic.Int64

	tokenWaiters tokenWaiterCounts

	slotQueuesMutex sync.Mutex
	slotQueues      map[slotQueueKey]*slotQueue

	retryBudgetsMutex sync.Mutex
	retryBudgets      map[string]*retry.Budget
}

// SetTable sets the table for new requests.
func (h *Handler) SetTable(current *table.Table) {
	h.routes.Store(newRouteMatcher(current))
	h.setQueueWeights(current.Teams)
}

// RunningRequests returns the number of requests that are being served.
func (h *Handler) RunningRequests() int {
	return int(h.running.Load())
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	s := h.newRequestState(w, r)
	defer s.cancel()
	s.serve()
}

func (h *Handler) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock()
}

// retryBudget returns the retry budget of a route, which it creates if there is none.
func (h *Handler) retryBudget(route string) *retry.Budget {
	h.retryBudgetsMutex.Lock()
	defer h.retryBudgetsMutex.Unlock()
	if budget, found := h.retryBudgets[route]; found {
		return budget
	}
	if h.retryBudgets == nil {
		h.retryBudgets = make(map[string]*retry.Budget)
	}
	budget := &retry.Budget{}
	h.retryBudgets[route] = budget
	return budget
}
