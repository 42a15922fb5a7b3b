package caller

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// TraceRecorder writes a trace of the requests that a [LoadGenerator] sends.
// "trefoilline-standin replay" replays such a trace after a line with the rate of
// each team has been added. The zero value writes nothing.
type TraceRecorder struct {
	// Output receives one line of JSON for each request.
	Output io.Writer
	// Team is the team that sends the requests.
	Team string

	mutex sync.Mutex
}

// traceLine is one line of a trace.
type traceLine struct {
	Kind string `json:"kind"`
	At   string `json:"at"`
	Team string `json:"team"`
	// Host is the host of the last attempt.
	Host string `json:"host"`
	// Outcome is the outcome of the request when it was recorded.
	Outcome Outcome `json:"outcome"`
}

// writeLine writes one request, which began at the given offset from the start of
// the load run. It writes nothing for a request that was sent to no host because
// its look-up failed.
func (r *TraceRecorder) writeLine(offset time.Duration, result Result) error {
	if r.Output == nil || !result.Host.IsValid() {
		return nil
	}
	text, err := json.Marshal(traceLine{
		Kind:    "request",
		At:      offset.Round(time.Microsecond).String(),
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
