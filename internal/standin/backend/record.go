package backend

import (
	"encoding/json"
	"maps"
	"net/http"
)

// entryLimit bounds the entries that a record keeps; run counts go on.
const entryLimit = 100_000

// LogEntry is one request as the server saw it.
type LogEntry struct {
	RequestID string      `json:"request"`
	Method    string      `json:"method"`
	URI       string      `json:"uri"`
	Host      string      `json:"host"`
	Header    http.Header `json:"header"`
	Trailer   http.Header `json:"trailer,omitempty"`
	// BodyHash is the SHA-256 of the body in hexadecimal.
	BodyHash   string `json:"body-hash"`
	BodyLength int64  `json:"body-length"`
	// Ran tells whether the request took effect.
	Ran bool `json:"ran"`
}

// RequestLog is all that a server saw.
type RequestLog struct {
	Entries []LogEntry `json:"entries"`
	// RunCounts counts how often each named request took effect.
	RunCounts map[string]int `json:"runs"`
	// TotalRuns is the number of runs of all requests.
	TotalRuns int `json:"total"`
}

// Health is the answer of the health endpoint.
type Health struct {
	State   State `json:"state"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
}

// State is what a server says of itself.
type State string

// The states of a server.
const (
	Live     State = "live"
	Draining State = "draining"
)

// RequestLog returns a copy of what the server saw.
func (s *Server) RequestLog() RequestLog {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]LogEntry, 0, len(s.entries))
	for _, e := range s.entries {
		entries = append(entries, *e)
	}
	return RequestLog{
		Entries:   entries,
		RunCounts: maps.Clone(s.runs),
		TotalRuns: s.ran,
	}
}

// Health returns what the health endpoint tells.
func (s *Server) Health() Health {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	health := Health{
		State:   Live,
		Running: s.running,
		Slots:   s.slotCount(),
	}
	if s.faults.ReportLiveAndIdle {
		health.Running = 0
		return health
	}
	if s.faults.Draining {
		health.State = Draining
	}
	return health
}

// IsCrashed tells whether the server drops every connection.
func (s *Server) IsCrashed() bool { return s.current().Crashed }

func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.IsCrashed() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, s.Health())
}

func (s *Server) serveRecord(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, s.RequestLog())
	case http.MethodDelete:
		s.forget()
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "accepted are GET and DELETE", http.StatusMethodNotAllowed)
	}
}

func (s *Server) current() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(value); err != nil {
		panic(http.ErrAbortHandler)
	}
}
