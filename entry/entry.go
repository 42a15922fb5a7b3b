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

	"trefoilline.example/trefoilline/backend"
	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/share"
	"trefoilline.example/trefoilline/table"
)

const (
	// DefaultDeadline bounds requests that state no deadline.
	DefaultDeadline = 30 * time.Second
	// MaxBuffered is the largest body, in bytes, that is kept in memory so that
	// an idempotent request can be sent again.
	MaxBuffered = 64 << 10
	// MaxServers is how many backend servers may meet an idempotent request
	// that none of them refused.
	MaxServers = 2
	// MaxTries bounds the tries of a request, refused ones included.
	MaxTries = 4
)

// Keys verifies callers' keys.
type Keys interface {
	// Verify returns the team of the key. Its errors are those of team.View and
	// [KeysUnconfirmedError].
	Verify(text string) (string, error)
}

// Handler serves callers' requests. Host, Region, Keys, Pool, Client, Limits and
// Measures must be set before the first request.
type Handler struct {
	Host   string
	Region string
	Keys   Keys
	Pool   *backend.Pool
	Client *exchange.Client
	Limits *share.Holder
	// Deadline bounds requests that state none; [DefaultDeadline] if zero.
	Deadline time.Duration
	// Clock returns the time; nil means time.Now.
	Clock    func() time.Time
	Log      observe.Log
	Measures *observe.Measures

	routes  atomic.Pointer[routes]
	running atomic.Int64

	rateWaiting rateWaiting

	queueMutex sync.Mutex
	queues     map[place]*line
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
	if err := c.serve(); err != nil {
		c.refuse(err)
	}
}

func (h *Handler) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock()
}
