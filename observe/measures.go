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
	// those of [OtherLabel].
	MaxTeamLabels = 200
	// OtherLabel is the name under which further teams, and routes, are measured.
	OtherLabel = "other"
	// PublicRouteLabel is the name under which requests on open routes are measured.
	PublicRouteLabel = "open"

	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics holds the histograms and counters of a host. The zero value is
// ready, and safe for use by several goroutines.
type Metrics struct {
	once     sync.Once
	registry metrics.Registry

	mutex sync.Mutex
	teams map[string]struct{}
	// routes are those that have measures of their own.
	routes map[string]struct{}

	violations atomic.Uint64
}

func (m *Metrics) metrics() metrics.Registry {
	m.once.Do(func() {
		m.registry = metrics.NewRegistry()
	})
	return m.registry
}

// TeamLabel returns the name under which a team is measured.
func (m *Metrics) TeamLabel(team string) string {
	if team == "" {
		return PublicRouteLabel
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return known(&m.teams, team, MaxTeamLabels)
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
		return OtherLabel
	}
	(*names)[name] = struct{}{}
	return name
}

// TeamLabels returns the names that have measures.
func (m *Metrics) TeamLabels() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	names := make([]string, 0, len(m.teams))
	for name := range m.teams {
		names = append(names, name)
	}
	return names
}

// Answered records a request that was answered whole.
func (m *Metrics) RecordLatency(team string, latency time.Duration) {
	m.histogram("latency", m.TeamLabel(team)).Update(latency.Microseconds())
}

// Waited records the time that a request spent in the queue.
func (m *Metrics) RecordQueueWait(team string, wait time.Duration) {
	m.histogram("queue-wait", m.TeamLabel(team)).Update(wait.Microseconds())
}

// CountRefusal counts a request that was not run, by reason.
func (m *Metrics) CountRefusal(team, reason string) {
	m.IncrementCounter("refused/" + m.TeamLabel(team) + "/" + reason)
}

// Count adds one to a counter.
func (m *Metrics) IncrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, m.metrics()).Inc(1)
}

// SetGauge sets a gauge.
func (m *Metrics) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.metrics()).Update(value)
}

// CountViolation counts a broken invariant.
func (m *Metrics) CountViolation() {
	m.violations.Add(1)
	m.IncrementCounter("violations")
}

// Violations returns the number of broken invariants since the start.
func (m *Metrics) Violations() uint64 {
	return m.violations.Load()
}

// LatencyPercentile returns a percentile of a team's latency; zero if it has none yet.
func (m *Metrics) LatencyPercentile(team string, percentile float64) time.Duration {
	microseconds := m.histogram("latency", m.TeamLabel(team)).Snapshot().Percentile(percentile)
	return time.Duration(microseconds * float64(time.Microsecond))
}

// AnsweredCount returns how many requests of a team were answered.
func (m *Metrics) AnsweredCount(team string) uint64 {
	return uint64(m.histogram("latency", m.TeamLabel(team)).Count())
}

// RefusalCount returns how many requests of a team were refused for a reason.
func (m *Metrics) RefusalCount(team, reason string) uint64 {
	name := "refused/" + m.TeamLabel(team) + "/" + reason
	return uint64(metrics.GetOrRegisterCounter(name, m.metrics()).Count())
}

// MaxRoutes bounds the routes that have measures of their own.
const MaxRouteLabels = 200

// RouteLabel returns the name under which a route is measured.
func (m *Metrics) RouteLabel(route string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return known(&m.routes, route, MaxRouteLabels)
}

// Passed records an answer of a backend server that went to the caller, by the route
// and the service that gave it.
func (m *Metrics) RecordRouteLatency(route, service string, latency time.Duration) {
	name := m.RouteLabel(route)
	m.histogram("route", name).Update(latency.Microseconds())
	m.IncrementCounter("passed/" + name + "/" + service)
}

// WriteText writes all measures as text, sorted by name. Times are in microseconds.
func (m *Metrics) WriteText(w io.Writer) {
	metrics.WriteOnce(m.metrics(), w)
}

// WriteJSON writes all measures. Times are in microseconds.
func (m *Metrics) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(m.metrics(), w)
}

func (m *Metrics) histogram(kind, team string) metrics.Histogram {
	create := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return m.metrics().GetOrRegister(kind+"/"+team, create).(metrics.Histogram)
}

// TotalRefusalCount returns how many requests of a team were refused for any reason.
func (m *Metrics) TotalRefusalCount(team string) uint64 {
	prefix := "refused/" + m.TeamLabel(team) + "/"
	var sum uint64
	m.metrics().Each(func(name string, metric any) {
		counter, isCounter := metric.(metrics.Counter)
		if isCounter && strings.HasPrefix(name, prefix) {
			sum += uint64(counter.Count())
		}
	})
	return sum
}
