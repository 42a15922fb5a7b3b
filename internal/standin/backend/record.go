package backend

import (
	"encoding/json"
	"maps"
	"net/http"
)

// maxLogEntries bounds the entries of the request log. Later requests are still
// counted in RunCounts and TotalRuns.
const maxLogEntries = 100_000

// LogEntry describes one request as the server received it.
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
	// Ran reports whether the request ran.
	Ran bool `json:"ran"`
}

// RequestLog holds the requests that a server received.
type RequestLog struct {
	Entries []LogEntry `json:"entries"`
	// RunCounts is the number of runs by request ID. Requests without an ID count
	// under the empty string.
	RunCounts map[string]int `json:"runs"`
	// TotalRuns is the number of runs of all requests.
	TotalRuns int `json:"total"`
}

// Health is the response of [HealthPath].
type Health struct {
	State   State `json:"state"`
	Running int   `json:"running"`
	Slots   int   `json:"slots"`
}

// State is the state that a server reports.
type State string

// The states of a server.
const (
	Live     State = "live"
	Draining State = "draining"
)

// RequestLog returns a copy of the request log.
func (s *Server) RequestLog() RequestLog {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := make([]LogEntry, 0, len(s.logEntries))
	for _, e := range s.logEntries {
		entries = append(entries, *e)
	}
	return RequestLog{
		Entries:   entries,
		RunCounts: maps.Clone(s.runCounts),
		TotalRuns: s.totalRuns,
	}
}

// Health returns the health that [HealthPath] reports.
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

// IsCrashed reports whether [Faults.Crashed] is set.
func (s *Server) IsCrashed() bool { return s.currentFaults().Crashed }

func (s *Server) serveHealth(w http.ResponseWriter) {
	if s.IsCrashed() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, s.Health())
}

func (s *Server) serveRequestLog(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		writeJSON(w, s.RequestLog())
	case http.MethodDelete:
		s.clearRequestLog()
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "only GET and DELETE are allowed", http.StatusMethodNotAllowed)
	}
}

func (s *Server) currentFaults() Faults {
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
