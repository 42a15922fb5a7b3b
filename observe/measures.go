package observe

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// MaxTeams bounds the teams that have measures of their own; the rest share
	// those of [OtherTeams].
	MaxTeams = 200
	// OtherTeams is the name under which further teams, and routes, are measured.
	OtherTeams = "other"
	// OpenTeam is the name under which requests on open routes are measured.
	OpenTeam = "open"

	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Measures holds the histograms and counters of a host. The zero value is
// ready, and safe for use by several goroutines.
type Measures struct {
	once     sync.Once
	registry metrics.Registry

	mutex sync.Mutex
	teams map[string]struct{}
	// routes are those that have measures of their own.
	routes map[string]struct{}

	violations atomic.Uint64
}

func (m *Measures) metrics() metrics.Registry {
	m.once.Do(func() {
		m.registry = metrics.NewRegistry()
	})
	return m.registry
}

// Team returns the name under which a team is measured.
func (m *Measures) Team(team string) string {
	if team == "" {
		return OpenTeam
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return known(&m.teams, team, MaxTeams)
}

// known returns a name if it is among the first so many, else that of all others.
func known(names *map[string]struct{}, name string, most int) string {
	if *names == nil {
		*names = make(map[string]struct{})
	}
	if _, isKnown := (*names)[name]; isKnown {
		return name
	}
	if len(*names) >= most {
		return OtherTeams
	}
	(*names)[name] = struct{}{}
	return name
}

// Teams returns the names that have measures.
func (m *Measures) Teams() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	names := make([]string, 0, len(m.teams))
	for name := range m.teams {
		names = append(names, name)
	}
	return names
}

// Answered records a request that was answered whole.
func (m *Measures) Answered(team string, latency time.Duration) {
	m.histogram("latency", m.Team(team)).Update(latency.Microseconds())
}

// Waited records the time that a request spent in the queue.
func (m *Measures) Waited(team string, wait time.Duration) {
	m.histogram("queue-wait", m.Team(team)).Update(wait.Microseconds())
}

// Refused counts a request that was not run, by reason.
func (m *Measures) Refused(team, reason string) {
	m.Count("refused/" + m.Team(team) + "/" + reason)
}

// Count adds one to a counter.
func (m *Measures) Count(name string) {
	metrics.GetOrRegisterCounter(name, m.metrics()).Inc(1)
}

// Gauge sets a gauge.
func (m *Measures) Gauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.metrics()).Update(value)
}

// Violated counts a broken invariant.
func (m *Measures) Violated() {
	m.violations.Add(1)
	m.Count("violations")
}

// Violations returns the number of broken invariants since the start.
func (m *Measures) Violations() uint64 {
	return m.violations.Load()
}

// Latency returns a percentile of a team's latency; zero if it has none yet.
func (m *Measures) Latency(team string, percentile float64) time.Duration {
	microseconds := m.histogram("latency", m.Team(team)).Snapshot().Percentile(percentile)
	return time.Duration(microseconds * float64(time.Microsecond))
}

// AnsweredCount returns how many requests of a team were answered.
func (m *Measures) AnsweredCount(team string) uint64 {
	return uint64(m.histogram("latency", m.Team(team)).Count())
}

// RefusedCount returns how many requests of a team were refused for a reason.
func (m *Measures) RefusedCount(team, reason string) uint64 {
	name := "refused/" + m.Team(team) + "/" + reason
	return uint64(metrics.GetOrRegisterCounter(name, m.metrics()).Count())
}

// MaxRoutes bounds the routes that have measures of their own.
const MaxRoutes = 200

// Route returns the name under which a route is measured.
func (m *Measures) Route(route string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return known(&m.routes, route, MaxRoutes)
}

// Passed records an answer of a backend server that went to the caller, by the route
// and the service that gave it.
func (m *Measures) Passed(route, service string, latency time.Duration) {
	name := m.Route(route)
	m.histogram("route", name).Update(latency.Microseconds())
	m.Count("passed/" + name + "/" + service)
}

// WriteText writes all measures as text, sorted by name. Times are in microseconds.
func (m *Measures) WriteText(w io.Writer) {
	metrics.WriteOnce(m.metrics(), w)
}

// WriteJSON writes all measures. Times are in microseconds.
func (m *Measures) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(m.metrics(), w)
}

func (m *Measures) histogram(kind, team string) metrics.Histogram {
	create := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return m.metrics().GetOrRegister(kind+"/"+team, create).(metrics.Histogram)
}

// AllRefused returns how many requests of a team were refused for any reason.
func (m *Measures) AllRefused(team string) uint64 {
	prefix := "refused/" + m.Team(team) + "/"
	var sum uint64
	m.metrics().Each(func(name string, metric any) {
		counter, isCounter := metric.(metrics.Counter)
		if isCounter && strings.HasPrefix(name, prefix) {
			sum += uint64(counter.Count())
		}
	})
	return sum
}
