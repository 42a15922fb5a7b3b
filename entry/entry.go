/*
Package entry is the request path of an entry host: it finds the route, checks
the caller's key, applies the team's rate, waits in the fair queue, chooses the
region and the backend server, and passes the whole answer on.

Every request ends in one of three ways, and the caller can tell which:

  - the backend server's whole answer,
  - a refusal with the header Trefoilline-Not-Run: the request was not run,
  - an answer with the header Trefoilline-Outcome-Unknown: it may have run.

# Usage

	handler := &entry.Handler{
		Host:   "accra-1",
		Region: "accra",
		Keys:   keys,
		Pool:   pool,
		Limits: holder,
		Router: router,
		Desk:   desk,
	}
	handler.SetTable(snapshot)
	http.ListenAndServe(address, handler)
*/
package entry

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/admission"
	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/steer"
	"trefoilline.example/trefoilline/suspect"
	"trefoilline.example/trefoilline/table"
)

const (
	// DefaultDeadline bounds requests if a handler sets no bound.
	DefaultDeadline = time.Minute
	// MaxBuffered is the largest body, in bytes, that is kept in memory so that
	// a request that was not run can be sent again.
	MaxBuffered = 64 << 10
)

// Keys verifies callers' keys.
type Keys interface {
	// Verify returns the team of the key. Its errors are those of team.View and
	// [KeysUnconfirmedError].
	Verify(text string) (string, error)
}

// Handler serves callers' requests. All fields without a stated default must be
// set before the first request.
type Handler struct {
	Host   string
	Region string
	Keys   Keys
	Pool   *backend.Pool
	Router *steer.Router
	Client *exchange.Client
	Limits *share.Limiter
	// Desk admits requests that may run only once.
	Desk *admission.Desk
	// Suspects knows the requests that backend servers die of; it may be nil.
	Suspects *suspect.Detector
	// Deadline bounds every request, since a region's slots are lent for no
	// longer; [DefaultDeadline] if zero.
	Deadline time.Duration
	// Clock returns the time; nil means time.Now.
	Clock    func() time.Time
	Log      observe.Log
	Measures *observe.Metrics

	routes  atomic.Pointer[routes]
	running atomic.Int64

	rateWaiting rateWaiting

	queueMutex sync.Mutex
	queues     map[place]*line

	budgetMutex sync.Mutex
	budgets     map[string]*retry.Budget
}

// SetTable puts a version of the table in force for new requests.
func (h *Handler) SetTable(current *table.Table) {
	h.routes.Store(newRoutes(current))
	h.setQueueWeights(current.Teams)
}

// Running returns how many requests are being served.
func (h *Handler) Running() int {
	return int(h.running.Load())
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	c := h.newCall(w, r)
	defer c.cancel()
	c.serve()
}

func (h *Handler) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock()
}

// budgetOf returns the retry budget of a route.
func (h *Handler) budgetOf(route string) *retry.Budget {
	h.budgetMutex.Lock()
	defer h.budgetMutex.Unlock()
	if b, known := h.budgets[route]; known {
		return b
	}
	if h.budgets == nil {
		h.budgets = make(map[string]*retry.Budget)
	}
	b := &retry.Budget{}
	h.budgets[route] = b
	return b
}
