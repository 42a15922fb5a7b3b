package experiment

import (
	"time"

	"trefoilline.example/trefoilline/internal/standin/backend"
)

// Duration is a [time.Duration] that is written as a Go duration in JSON.
type Duration = backend.Duration

// Plan is the content of a plan file.
type Plan struct {
	// Name is copied to the report.
	Name string `json:"name"`
	// Seed is the random seed of the arrivals and of the choice of requests.
	Seed uint64 `json:"seed"`
	// Duration is how long requests are sent.
	Duration Duration `json:"length"`
	// Timeout is the timeout of each request.
	Timeout Duration `json:"timeout"`
	// MaxInFlight limits the requests in flight. A request that is due above the
	// limit is not sent, and is counted in [TeamReport.NotSent].
	MaxInFlight int `json:"max-open"`
	// EntryHosts are the addresses of the entry hosts that first look-ups ask.
	EntryHosts []string  `json:"entries"`
	Teams      []Team    `json:"teams"`
	Requests   []Request `json:"requests"`
	Faults     []Fault   `json:"faults"`
}

// Team describes the traffic of one team.
type Team struct {
	Name string `json:"name"`
	// Key is the team's API key, or "${NAME}" for the environment variable NAME;
	// empty for public routes.
	Key string `json:"key"`
	// Rate is the rate at which the team sends, in requests per second.
	Rate float64 `json:"rate"`
	// AllowedRate is the team's rate limit in the fleet's configuration table, in
	// requests per second. The run does not set it; the report uses it to find
	// wrongful rejections.
	AllowedRate float64 `json:"allowed-rate"`
	// CallerCount is the number of callers that share the team's traffic. Each
	// caches its own look-up, so that few callers put the traffic on few hosts.
	CallerCount int `json:"skew"`
	// Surge is an optional change of the rate during the run.
	Surge *Surge `json:"surge,omitempty"`
}

// Surge multiplies a team's rate from a set time until the end of the run.
type Surge struct {
	// Start is the offset from the start of the run.
	Start Duration `json:"from"`
	// RateFactor multiplies the rate.
	RateFactor float64 `json:"factor"`
}

// Request is one kind of request that the teams send.
type Request struct {
	Method string `json:"method"`
	// Path may include a query.
	Path string `json:"path"`
	Body string `json:"body,omitempty"`
	// UseTicket sends the request with a ticket, so that it can be sent again
	// without running twice; see package caller.
	UseTicket bool `json:"ticket,omitempty"`
	// Weight is the share of the traffic relative to the other requests' weights.
	Weight float64 `json:"part"`
}

// Fault is one HTTP request to a stand-in's control endpoint.
type Fault struct {
	// At is the offset from the start of the run.
	At     Duration `json:"at"`
	URL    string   `json:"url"`
	Method string   `json:"method"`
	Body   string   `json:"body,omitempty"`
}

// rateFactorAt returns the factor of the team's rate at an offset from the start
// of the run.
func (t Team) rateFactorAt(at time.Duration) float64 {
	if t.inSurge(at) {
		return t.Surge.RateFactor
	}
	return 1
}

// inSurge reports whether the offset is in the team's surge.
func (t Team) inSurge(at time.Duration) bool {
	return t.Surge != nil && at >= time.Duration(t.Surge.Start)
}
