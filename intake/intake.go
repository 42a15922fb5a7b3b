/*
Package intake is the request path of an entry host whose configuration, keys and
backend servers come from the platform's store: it finds the route, checks the
caller's key and the team's rate, gets a place on a backend server, and passes the
whole answer on.

Every request ends in one of three ways:

  - a backend server's whole answer, unchanged,
  - a refusal with status 429 or 503: the request was not run and never will be;
    Retry-After says when to come back,
  - 502 or 504: the request may have run.

A request keeps the configuration that was in force when it came. Which backend
servers may get it is decided at the moment of each send.

# Usage

	handler := &intake.Handler{
		Pool:    pool,
		Book:    book,
		Client:  client,
		Dialect: dialect,
	}
	handler.SetConfiguration(routing.NewIndex(configuration))
	http.Serve(listener, handler)
*/
package intake

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/exchange"
	"trefoilline.example/trefoilline/header"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/retry"
	"trefoilline.example/trefoilline/routing"
)

// MaxBufferedBodyBytes is the largest request body, in bytes, that is kept in memory so
// that a request that was not run can be sent again.
const MaxBufferedBodyBytes = 256 << 10

// HeaderCodec is what callers and backend servers say to this host.
type HeaderCodec struct {
	header.Dialect
	// ReadAPIKey returns the key that the caller presents; empty if none.
	ReadAPIKey func(*http.Request) string
	// ReadTimeout returns how long the caller waits; zero if it does not say.
	ReadTimeout func(*http.Request) time.Duration
	// ReadAffinityKey returns what the request is about; empty if it does not say.
	ReadAffinityKey func(*http.Request) string
	// ReadLoad reads a backend server's report of its load; nil if there is none.
	ReadLoad func(http.Header) *placement.LoadReport
	// FormatRetryAfter writes how long a caller is to wait before it comes back.
	FormatRetryAfter func(time.Duration) string
}

// Handler serves callers' requests. All fields without a stated default must be
// set before the first request.
type Handler struct {
	Pool        *placement.Pool
	RateLimiter *quota.Limiter
	Client      *exchange.Client
	HeaderCodec HeaderCodec
	// RetryBudget pays for sending requests to further backend servers.
	RetryBudget *RetryBudget
	// BorrowToken gets a token of a team's rate from another host where this one has none;
	// nil if there is none to be had.
	BorrowToken func(ctx context.Context, team string) bool
	// CrashDetector knows the requests that backend servers die of; it may be nil.
	CrashDetector retry.CrashDetector
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time
	Log   observe.Log
	// Metrics is how requests ended on this host.
	Metrics observe.Metrics

	index   atomic.Pointer[routing.Index]
	splits  splits
	demand  demand
	running atomic.Int64
	// lastTake is until when this host takes requests; nil while it stays.
	lastTake atomic.Pointer[time.Time]
}

// takePart is the part of the time before it stops in which a host still takes
// requests. Those that come later may not end in time, and are refused.
const takePart = 0.4

// StartDraining says that the host stops at the end of the span. From now on each answer
// asks its caller to use another host.
func (h *Handler) StartDraining(span time.Duration) {
	h.lastTake.Store(new(h.now().Add(time.Duration(takePart * float64(span)))))
}

// SetConfiguration puts a configuration in force for new requests. One that is
// not newer than that in force changes nothing, and it reports false.
func (h *Handler) SetConfiguration(index *routing.Index) bool {
	for {
		before := h.index.Load()
		if before != nil && before.Version >= index.Version {
			return false
		}
		if h.index.CompareAndSwap(before, index) {
			return true
		}
	}
}

// Configuration returns the configuration in force, nil before the first.
func (h *Handler) Configuration() *routing.Index {
	return h.index.Load()
}

// RunningRequests returns how many requests are being served.
func (h *Handler) RunningRequests() int {
	return int(h.running.Load())
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.running.Add(1)
	defer h.running.Add(-1)
	c := &call{
		handler: h,
		w:       w,
		r:       r,
		start:   h.now(),
		cancel:  func() {},
	}
	c.serve()
	c.cancel()
}

func (h *Handler) now() time.Time {
	if h.Clock == nil {
		return time.Now()
	}
	return h.Clock()
}

func (h *Handler) isLeaving() bool {
	return h.lastTake.Load() != nil
}

// takes tells whether a request that comes now is taken.
func (h *Handler) takes(now time.Time) bool {
	last := h.lastTake.Load()
	return last == nil || now.Before(*last)
}
