package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// DropPoint is the point of a request at which the server drops the connection.
type DropPoint string

// Points at which a connection is dropped.
const (
	// NoDrop drops no connection.
	NoDrop DropPoint = ""
	// DropBeforeBody drops the connection before the body is read; the request
	// does not run.
	DropBeforeBody DropPoint = "before-request"
	// DropDuringBody drops the connection in the middle of the body; the request
	// does not run.
	DropDuringBody DropPoint = "in-request"
	// DropBeforeResponse drops the connection after the request has run, without
	// a response.
	DropBeforeResponse DropPoint = "after-request"
	// DropDuringResponse drops the connection in the middle of the response body.
	DropDuringResponse DropPoint = "in-answer"
)

// Duration is a [time.Duration] that is written as a Go duration in JSON.
type Duration time.Duration

// MarshalText writes the duration in Go's format, such as "1.5s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText parses a Go duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Faults is the set of failures that a server simulates, and two of its settings.
// The zero value simulates no failure and leaves the settings unchanged.
type Faults struct {
	// Draining rejects every request before it runs and shows in the health.
	Draining bool `json:"draining,omitempty"`
	// RejectWhenFull rejects a request before it runs if all slots are taken,
	// instead of queueing it.
	RejectWhenFull bool `json:"shed,omitempty"`
	// RejectAll rejects every request before it runs.
	RejectAll bool `json:"shed-all,omitempty"`
	// DropAt is the point at which connections are dropped.
	DropAt DropPoint `json:"drop,omitempty"`
	// MaxDrops is the number of connections to drop; zero means no limit.
	MaxDrops int `json:"drop-count,omitempty"`
	// CloseAfterResponse closes the connection right after a complete response,
	// without having announced it with "Connection: close".
	CloseAfterResponse bool `json:"close-idle,omitempty"`
	// HangOpenConnections leaves every request on the connections that are open
	// now without a response, permanently. New connections work.
	HangOpenConnections bool `json:"silence,omitempty"`
	// ReportLiveAndIdle makes the health report a live server without running
	// requests, whatever its real state.
	ReportLiveAndIdle bool `json:"lying-health,omitempty"`
	// ResponseDelay is the time between the end of a request's run and its
	// response.
	ResponseDelay Duration `json:"late,omitempty"`
	// SendPreviousResponse answers each request with the response to the request
	// before it, if there was one.
	SendPreviousResponse bool `json:"crossed,omitempty"`
	// Crashed drops every connection, including health checks, except those to
	// [FaultsPath] and [RequestLogPath].
	Crashed bool `json:"crashed,omitempty"`
	// ExitProcess calls [Server.OnCrash], which ends the process of the command.
	// It has no effect if OnCrash is nil or returns.
	ExitProcess bool `json:"exit,omitempty"`
	// ColdStart replaces [Server.ColdStart], if it is set, and resets the count
	// of runs, [RequestLog.TotalRuns], which decides which requests are slow. It
	// is a setting, which later faults without it leave unchanged.
	ColdStart *ColdStart `json:"cold,omitempty"`
	// ServiceTime replaces [Server.ServiceTime], if it is set. It is a setting,
	// which later faults without it leave unchanged.
	ServiceTime *Duration `json:"service-time,omitempty"`
}

// InvalidFaultsError reports a body of a POST to [FaultsPath] that is not a
// valid [Faults] in JSON.
type InvalidFaultsError struct {
	Cause error
}

func (e *InvalidFaultsError) Error() string {
	return fmt.Sprintf("invalid faults: %v", e.Cause)
}

func (e *InvalidFaultsError) Unwrap() error { return e.Cause }

// SetFaults replaces the simulated faults, and the settings ColdStart and
// ServiceTime if they are set.
func (s *Server) SetFaults(faults Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.HangOpenConnections {
		for address := range s.connectionHangs {
			s.connectionHangs[address] = true
		}
	}
	if faults.ColdStart != nil {
		s.ColdStart = *faults.ColdStart
		s.totalRuns = 0
	}
	if faults.ServiceTime != nil {
		s.ServiceTime = time.Duration(*faults.ServiceTime)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "only POST is allowed", http.StatusMethodNotAllowed)
		return
	}
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		invalid := &InvalidFaultsError{
			Cause: err,
		}
		http.Error(w, invalid.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	if faults.ExitProcess && s.OnCrash != nil {
		s.OnCrash()
	}
	w.WriteHeader(http.StatusNoContent)
}

// consumeDrop reports whether the connection is to be dropped at this point,
// and counts the drop.
func (s *Server) consumeDrop(point DropPoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.DropAt != point {
		return false
	}
	if s.faults.MaxDrops == 0 {
		return true
	}
	s.faults.MaxDrops--
	if s.faults.MaxDrops == 0 {
		s.faults.DropAt = NoDrop
	}
	return true
}

// crash calls OnCrash. If that is nil or returns, it drops the connection and
// sets [Faults.Crashed].
func (s *Server) crash() {
	if s.OnCrash != nil {
		s.OnCrash()
	}
	s.mu.Lock()
	s.faults.Crashed = true
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}
