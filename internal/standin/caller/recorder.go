package caller

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// TraceRecorder writes the requests that a load sends as a trace, which
// "trefoilline-standin replay" plays. The zero value records nothing.
type TraceRecorder struct {
	// Output takes one JSON line a request.
	Output io.Writer
	// Team is the team whose requests these are.
	Team string

	mutex sync.Mutex
}

// recorded is a line of a trace.
type recorded struct {
	Kind string `json:"kind"`
	At   string `json:"at"`
	Team string `json:"team"`
	Host string `json:"host"`
	// Outcome is what came of it when it was recorded.
	Outcome Outcome `json:"outcome"`
}

// record writes one request, which began so long after the load.
func (r *TraceRecorder) record(at time.Duration, result Result) error {
	if r.Output == nil || !result.Host.IsValid() {
		return nil
	}
	text, err := json.Marshal(recorded{
		Kind:    "request",
		At:      at.Round(time.Microsecond).String(),
		Team:    r.Team,
		Host:    result.Host.String(),
		Outcome: result.Outcome,
	})
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, err = r.Output.Write(append(text, '\n'))
	return err
}
