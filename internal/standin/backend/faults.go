package backend

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// DropPoint is where the server drops the connection of a request.
type DropPoint string

// The points at which a connection is dropped.
const (
	// DropNowhere leaves connections alone.
	NoDrop DropPoint = ""
	// DropBefore drops it before the body is read; the request does not run.
	DropBeforeBody DropPoint = "before-request"
	// DropIn drops it in the middle of the body; the request does not run.
	DropDuringBody DropPoint = "in-request"
	// DropAfter drops it when the request has run, with no answer.
	DropBeforeResponse DropPoint = "after-request"
	// DropInAnswer drops it in the middle of the answer.
	DropDuringResponse DropPoint = "in-answer"
)

// Duration is a time span that reads and writes as a Go duration in JSON.
type Duration time.Duration

// MarshalText writes the duration as "1.5s".
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads a duration such as "1.5s".
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(parsed)
	return nil
}

// Faults is what goes wrong from now on. The zero value is a sound server.
type Faults struct {
	// Draining refuses new work truthfully and shows in the health.
	Draining bool `json:"draining,omitempty"`
	// Shed refuses requests truthfully when all slots are taken, in place of
	// letting them wait.
	RejectWhenFull bool `json:"shed,omitempty"`
	// ShedAll refuses every request truthfully.
	RejectAll bool `json:"shed-all,omitempty"`
	// DropAt says where connections are dropped.
	DropAt DropPoint `json:"drop,omitempty"`
	// MaxDrops ends the drops after so many; zero means that they go on.
	MaxDrops int `json:"drop-count,omitempty"`
	// CloseIdle drops a connection right after a whole answer, unannounced.
	CloseAfterResponse bool `json:"close-idle,omitempty"`
	// HangOpenConnections makes all connections that are open now silent for good; new ones
	// work.
	HangOpenConnections bool `json:"silence,omitempty"`
	// LyingHealth reports a live and idle server whatever is true.
	ReportLiveAndIdle bool `json:"lying-health,omitempty"`
	// ResponseDelay holds each answer back for so long after the request has run.
	ResponseDelay Duration `json:"late,omitempty"`
	// Crossed answers with the answer to the request before, if there was one.
	SendPreviousResponse bool `json:"crossed,omitempty"`
	// Crashed drops every connection, health checks too.
	Crashed bool `json:"crashed,omitempty"`
	// ExitProcess ends the process, if the server has a Crash function.
	ExitProcess bool `json:"exit,omitempty"`
	// Cold replaces the cold start and counts from now, if it is set.
	ColdStart *ColdStart `json:"cold,omitempty"`
	// ServiceTime replaces the service time, if it is set.
	ServiceTime *Duration `json:"service-time,omitempty"`
}

// FaultsError reports a command that the stand-in does not understand.
type InvalidFaultsError struct {
	Cause error
}

func (e *InvalidFaultsError) Error() string {
	return fmt.Sprintf("faults are not understood: %v", e.Cause)
}

func (e *InvalidFaultsError) Unwrap() error { return e.Cause }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.HangOpenConnections {
		for address := range s.open {
			s.open[address] = true
		}
	}
	if faults.ColdStart != nil {
		s.ColdStart = *faults.ColdStart
		s.ran = 0
	}
	if faults.ServiceTime != nil {
		s.ServiceTime = time.Duration(*faults.ServiceTime)
	}
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		http.Error(w, "accepted is POST", http.StatusMethodNotAllowed)
		return
	}
	var faults Faults
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		wrong := &InvalidFaultsError{
			Cause: err,
		}
		http.Error(w, wrong.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	if faults.ExitProcess && s.OnCrash != nil {
		s.OnCrash()
	}
	w.WriteHeader(http.StatusNoContent)
}

// takeDrop reports whether the connection is to be dropped at this point, and
// counts it.
func (s *Server) takeDrop(point DropPoint) bool {
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

// crash carries out a poisoned request.
func (s *Server) crash() {
	if s.OnCrash != nil {
		s.OnCrash()
	}
	s.mu.Lock()
	s.faults.Crashed = true
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}
