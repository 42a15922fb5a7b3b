/*
Package backend is a stand-in for a backend server, which the entry hosts
forward requests to in tests and local runs. It runs requests in a fixed number
of slots, simulates failures of backend servers and of the connections to them,
and logs every request that it receives.

It serves four endpoints of its own; every other path is an ordinary request:

  - GET /health: state, running requests and slots, as [Health];
  - GET /stand-in/record: the requests received, as [RequestLog];
  - POST /stand-in/faults: replaces the simulated [Faults];
  - DELETE /stand-in/record: clears the request log and its counts, so that a
    cold start applies again.

The endpoints under /stand-in/ also work while the server simulates a crash.

Three query parameters control a single request: "stand-in-poison" crashes the
server, "stand-in-size" sets the length of the response body in bytes, and
"stand-in-time" sets the service time as a Go duration.

# Usage

	server := &backend.Server{
		Name:        "accra-a-storefront-1",
		Slots:       4,
		ServiceTime: 20 * time.Millisecond,
	}
	http.ListenAndServe("127.0.0.1:9000", server)
*/
package backend

import (
	"net/http"
	"sync"
	"time"
)

// DefaultSlots is the number of requests that a server runs at once if
// [Server.Slots] is zero.
const DefaultSlots = 4

// Paths of the endpoints that control and observe the stand-in.
const (
	HealthPath     = "/health"
	RequestLogPath = "/stand-in/record"
	FaultsPath     = "/stand-in/faults"
)

// Query parameters that control a single request.
const (
	CrashParameter = "stand-in-poison"
	SizeParameter  = "stand-in-size"
	TimeParameter  = "stand-in-time"
)

// Server simulates one backend server. The zero value runs [DefaultSlots]
// requests at once with a service time of zero.
type Server struct {
	// Name is included in the body of responses.
	Name string
	// Slots is the number of requests that run at once; [DefaultSlots] if zero.
	Slots int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ColdStart makes the first requests slow.
	ColdStart ColdStart
	// OnCrash is called when a request with [CrashParameter] runs, and when
	// faults with [Faults.ExitProcess] are posted to [FaultsPath]. If it is nil
	// or returns, a request with CrashParameter sets [Faults.Crashed], which
	// stays until faults without it are set.
	OnCrash func()

	once             sync.Once
	slots            chan struct{}
	mu               sync.Mutex
	faults           Faults
	logEntries       []*LogEntry
	runCounts        map[string]int
	totalRuns        int
	running          int
	previousResponse response
	// connectionHangs maps the remote address of each connection seen to
	// whether the connection gets no more responses.
	connectionHangs map[string]bool
}

// ColdStart makes the first requests of a server slow.
type ColdStart struct {
	// Requests is the number of slow requests.
	Requests int `json:"requests"`
	// ExtraTime is added to the service time of each.
	ExtraTime Duration `json:"extra"`
}

// response is the request ID and body of a response.
type response struct {
	requestID string
	body      []byte
}

func (s *Server) init() {
	s.once.Do(func() {
		s.slots = make(chan struct{}, s.slotCount())
		s.runCounts = make(map[string]int)
		s.connectionHangs = make(map[string]bool)
	})
}

func (s *Server) slotCount() int {
	if s.Slots == 0 {
		return DefaultSlots
	}
	return s.Slots
}

// ServeHTTP serves the stand-in's own endpoints and runs all other requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	switch r.URL.Path {
	case HealthPath:
		s.serveHealth(w)
	case FaultsPath:
		s.serveFaults(w, r)
	case RequestLogPath:
		s.serveRequestLog(w, r)
	default:
		s.serveRequest(w, r)
	}
}
