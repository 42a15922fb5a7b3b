/*
Package backend is a stand-in for a backend server: it runs requests in a
fixed number of slots, fails on command in the ways that backend servers and
the connections to them fail, and records all that it saw.

It answers four paths of its own; every other path is a request:

  - GET /health: state, running requests and slots, as [Health];
  - GET /stand-in/record: what the server saw, as [Record];
  - POST /stand-in/faults: sets the [Faults] from now on;
  - DELETE /stand-in/record: forgets what it saw.

A request with the query parameter "stand-in-poison" crashes the server, one
with "stand-in-size" gets an answer of that many bytes, and one with
"stand-in-time" takes that Go duration.

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

// DefaultSlots is how many requests a server runs at once unless set.
const DefaultSlots = 4

// The paths of the stand-in's own.
const (
	HealthPath     = "/health"
	RequestLogPath = "/stand-in/record"
	FaultsPath     = "/stand-in/faults"
)

// The query parameters that steer a single request.
const (
	CrashParameter = "stand-in-poison"
	SizeParameter  = "stand-in-size"
	TimeParameter  = "stand-in-time"
)

// Server is one backend server. The zero value runs four requests at once and
// takes no time for them.
type Server struct {
	// Name is told in answers.
	Name string
	// Slots is how many requests run at once; [DefaultSlots] if zero.
	Slots int
	// ServiceTime is how long a request runs.
	ServiceTime time.Duration
	// ColdStart makes the first requests slow.
	ColdStart ColdStart
	// OnCrash is called when a poisoned request runs. If it is nil, or returns,
	// the connection is dropped and so is every later one until the fault
	// "crashed" is cleared.
	OnCrash func()

	once     sync.Once
	slots    chan struct{}
	mu       sync.Mutex
	faults   Faults
	entries  []*LogEntry
	runs     map[string]int
	ran      int
	running  int
	previous answer
	// open holds the connections seen, by the caller's address, and whether
	// each is silent.
	open map[string]bool
}

// ColdStart makes the first requests of a server slow.
type ColdStart struct {
	// Requests is how many are slow.
	Requests int `json:"requests"`
	// ExtraTime is added to the service time of each.
	ExtraTime Duration `json:"extra"`
}

// answer is what a request is answered with.
type answer struct {
	name string
	body []byte
}

func (s *Server) init() {
	s.once.Do(func() {
		s.slots = make(chan struct{}, s.slotCount())
		s.runs = make(map[string]int)
		s.open = make(map[string]bool)
	})
}

func (s *Server) slotCount() int {
	if s.Slots == 0 {
		return DefaultSlots
	}
	return s.Slots
}

// ServeHTTP answers the stand-in's own paths and runs all other requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.init()
	switch r.URL.Path {
	case HealthPath:
		s.serveHealth(w)
	case FaultsPath:
		s.serveFaults(w, r)
	case RequestLogPath:
		s.serveRecord(w, r)
	default:
		s.serve(w, r)
	}
}
