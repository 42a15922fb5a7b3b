package experiment

import (
	"time"

	"trefoilline.example/trefoilline/internal/standin/backend"
)

// Duration is a time span that reads and writes as a Go duration in JSON.
type Duration = backend.Duration

// Plan is the content of a plan file.
type Plan struct {
	// Name is repeated in the report.
	Name string `json:"name"`
	// Seed is the source of the arrivals and the mix.
	Seed uint64 `json:"seed"`
	// Duration is how long requests are sent.
	Duration Duration `json:"length"`
	// Timeout bounds each request.
	Timeout Duration `json:"timeout"`
	// MaxOpen bounds the requests under way at once; a request that is due
	// above the bound is not sent and counts as withheld.
	MaxInFlight int `json:"max-open"`
	// EntryHosts are the addresses of the hosts that first look-ups ask.
	EntryHosts []string  `json:"entries"`
	Teams      []Team    `json:"teams"`
	Requests   []Request `json:"requests"`
	Faults     []Fault   `json:"faults"`
}

// TeamIndex is one team's traffic.
type Team struct {
	Name string `json:"name"`
	// Key is the team's key, or "${NAME}" for one from the environment; empty
	// for open routes.
	Key string `json:"key"`
	// Rate is what the team sends, in requests per second.
	Rate float64 `json:"rate"`
	// AllowedRate is the team's rate in the table, in requests per second.
	AllowedRate float64 `json:"allowed-rate"`
	// CallerCount is the number of callers that share the team's traffic. Each caches
	// its own look-up, so a low number puts the traffic on few hosts.
	CallerCount int `json:"skew"`
	// Surge multiplies the rate from some moment on.
	Surge *Surge `json:"surge,omitempty"`
}

// Surge is a stretch at a multiple of a team's rate, until the run's end.
type Surge struct {
	// Start counts from the start of the run.
	Start Duration `json:"from"`
	// Factor multiplies the rate.
	RateFactor float64 `json:"factor"`
}

// RequestIndex is one kind of request in the mix.
type Request struct {
	Method string `json:"method"`
	// Path may carry a query.
	Path string `json:"path"`
	Body string `json:"body,omitempty"`
	// UseTicket asks for a ticket, so that the request may be sent again.
	UseTicket bool `json:"ticket,omitempty"`
	// Weight is the share of the traffic, relative to the others' parts.
	Weight float64 `json:"part"`
}

// Fault is one request to a control of a stand-in.
type Fault struct {
	// At counts from the start of the run.
	At     Duration `json:"at"`
	URL    string   `json:"url"`
	Method string   `json:"method"`
	Body   string   `json:"body,omitempty"`
}

// factorAt returns the multiple of the team's rate at a moment of the run.
func (t Team) factorAt(at time.Duration) float64 {
	if t.surging(at) {
		return t.Surge.RateFactor
	}
	return 1
}

// surging tells whether a moment of the run is in the team's surge.
func (t Team) surging(at time.Duration) bool {
	return t.Surge != nil && at >= time.Duration(t.Surge.Start)
}
