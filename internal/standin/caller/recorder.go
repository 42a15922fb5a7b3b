package caller

import (
	"encoding/json"
	"io"
	"sync"
	"time"
)

// Recorder writes the requests that a load sends as a trace, which
// "trefoilline-standin replay" plays. The zero value records nothing.
type Recorder struct {
	// Out takes one JSON line a request.
	Out io.Writer
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
	Outcome Kind `json:"outcome"`
}

// record writes one request, which began so long after the load.
func (r *Recorder) record(at time.Duration, result Result) error {
	if r.Out == nil || !result.Host.IsValid() {
		return nil
	}
	text, err := json.Marshal(recorded{
		Kind:    "request",
		At:      at.Round(time.Microsecond).String(),
		Team:    r.Team,
		Host:    result.Host.String(),
		Outcome: result.Kind,
	})
	if err != nil {
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, err = r.Out.Write(append(text, '\n'))
	return err
}
