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
	DropNowhere DropPoint = ""
	// DropBefore drops it before the body is read; the request does not run.
	DropBefore DropPoint = "before-request"
	// DropIn drops it in the middle of the body; the request does not run.
	DropIn DropPoint = "in-request"
	// DropAfter drops it when the request has run, with no answer.
	DropAfter DropPoint = "after-request"
	// DropInAnswer drops it in the middle of the answer.
	DropInAnswer DropPoint = "in-answer"
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
	Shed bool `json:"shed,omitempty"`
	// ShedAll refuses every request truthfully.
	ShedAll bool `json:"shed-all,omitempty"`
	// Drop says where connections are dropped.
	Drop DropPoint `json:"drop,omitempty"`
	// DropCount ends the drops after so many; zero means that they go on.
	DropCount int `json:"drop-count,omitempty"`
	// CloseIdle drops a connection right after a whole answer, unannounced.
	CloseIdle bool `json:"close-idle,omitempty"`
	// Silence makes all connections that are open now silent for good; new ones
	// work.
	Silence bool `json:"silence,omitempty"`
	// LyingHealth reports a live and idle server whatever is true.
	LyingHealth bool `json:"lying-health,omitempty"`
	// Late holds each answer back for so long after the request has run.
	Late Duration `json:"late,omitempty"`
	// Crossed answers with the answer to the request before, if there was one.
	Crossed bool `json:"crossed,omitempty"`
	// Crashed drops every connection, health checks too.
	Crashed bool `json:"crashed,omitempty"`
	// Exit ends the process, if the server has a Crash function.
	Exit bool `json:"exit,omitempty"`
	// Cold replaces the cold start and counts from now, if it is set.
	Cold *ColdStart `json:"cold,omitempty"`
	// ServiceTime replaces the service time, if it is set.
	ServiceTime *Duration `json:"service-time,omitempty"`
}

// FaultsError reports a command that the stand-in does not understand.
type FaultsError struct {
	Cause error
}

func (e *FaultsError) Error() string {
	return fmt.Sprintf("faults are not understood: %v", e.Cause)
}

func (e *FaultsError) Unwrap() error { return e.Cause }

// SetFaults replaces the faults.
func (s *Server) SetFaults(faults Faults) {
	s.init()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if faults.Silence {
		for address := range s.open {
			s.open[address] = true
		}
	}
	if faults.Cold != nil {
		s.Cold = *faults.Cold
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
		wrong := &FaultsError{
			Cause: err,
		}
		http.Error(w, wrong.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	if faults.Exit && s.Crash != nil {
		s.Crash()
	}
	w.WriteHeader(http.StatusNoContent)
}

// takeDrop reports whether the connection is to be dropped at this point, and
// counts it.
func (s *Server) takeDrop(point DropPoint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Drop != point {
		return false
	}
	if s.faults.DropCount == 0 {
		return true
	}
	s.faults.DropCount--
	if s.faults.DropCount == 0 {
		s.faults.Drop = DropNowhere
	}
	return true
}

// crash carries out a poisoned request.
func (s *Server) crash() {
	if s.Crash != nil {
		s.Crash()
	}
	s.mu.Lock()
	s.faults.Crashed = true
	s.mu.Unlock()
	panic(http.ErrAbortHandler)
}
