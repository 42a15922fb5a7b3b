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
	// MaxTeamLabels is how many teams have metrics of their own; the other teams share
	// those of [OtherLabel].
	MaxTeamLabels = 200
	// OtherLabel is the label of the metrics that all further teams, or all further
	// routes, share.
	OtherLabel = "other"
	// NoTeamLabel is the team label of requests on public routes, which need no API key
	// and belong to no team.
	NoTeamLabel = "open"

	// The histograms keep exponentially decaying samples of this reservoir size and
	// decay factor.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Metrics holds the histograms, counters and gauges of a host. The zero value is ready
// for use; it is safe for concurrent use.
type Metrics struct {
	once     sync.Once
	registry metrics.Registry

	mutex sync.Mutex
	// teamLabels and routeLabels hold the teams and routes that have metrics of their
	// own.
	teamLabels  map[string]struct{}
	routeLabels map[string]struct{}

	violations atomic.Uint64
}

func (m *Metrics) metricsRegistry() metrics.Registry {
	m.once.Do(func() {
		m.registry = metrics.NewRegistry()
	})
	return m.registry
}

// TeamLabel returns the label of a team's metrics: [NoTeamLabel] for no team, else the
// team's name, or [OtherLabel] if there is none left for it. The first [MaxTeamLabels]
// teams that are passed to any method get a label of their own.
func (m *Metrics) TeamLabel(team string) string {
	if team == "" {
		return NoTeamLabel
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return boundedLabel(&m.teamLabels, team, MaxTeamLabels)
}

// boundedLabel returns the name if it is in the set or the set holds fewer than limit
// names, to which it is added; else it returns [OtherLabel].
func boundedLabel(names *map[string]struct{}, name string, limit int) string {
	if *names == nil {
		*names = make(map[string]struct{})
	}
	if _, isKnown := (*names)[name]; isKnown {
		return name
	}
	if len(*names) >= limit {
		return OtherLabel
	}
	(*names)[name] = struct{}{}
	return name
}

// TeamLabels returns the names of the teams that have metrics of their own.
func (m *Metrics) TeamLabels() []string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	names := make([]string, 0, len(m.teamLabels))
	for name := range m.teamLabels {
		names = append(names, name)
	}
	return names
}

// RecordLatency records the latency of a request whose complete response was sent to
// the caller, by team.
func (m *Metrics) RecordLatency(team string, latency time.Duration) {
	m.histogram("latency", m.TeamLabel(team)).Update(latency.Microseconds())
}

// RecordQueueWait records how long a request waited in the queue.
func (m *Metrics) RecordQueueWait(team string, wait time.Duration) {
	m.histogram("queue-wait", m.TeamLabel(team)).Update(wait.Microseconds())
}

// RecordRetryAfter records after what time the caller of a request that found no room was told to return.
func (m *Metrics) RecordRetryAfter(team string, wait time.Duration) {
	m.histogram("retry-after", m.TeamLabel(team)).Update(wait.Microseconds())
}

// CountRejection counts a request that was not run, by team and reason.
func (m *Metrics) CountRejection(team, reason string) {
	m.IncrementCounter("refused/" + m.TeamLabel(team) + "/" + reason)
}

// IncrementCounter adds one to the counter.
func (m *Metrics) IncrementCounter(name string) {
	metrics.GetOrRegisterCounter(name, m.metricsRegistry()).Inc(1)
}

// SetGauge sets the value of the gauge.
func (m *Metrics) SetGauge(name string, value int64) {
	metrics.GetOrRegisterGauge(name, m.metricsRegistry()).Update(value)
}

// CountViolation counts a violated invariant.
func (m *Metrics) CountViolation() {
	m.violations.Add(1)
	m.IncrementCounter("violations")
}

// Violations returns the number of violated invariants since the start.
func (m *Metrics) Violations() uint64 {
	return m.violations.Load()
}

// LatencyQuantile returns a quantile, from 0 to 1, of a team's latency; zero if no
// latency was recorded.
func (m *Metrics) LatencyQuantile(team string, quantile float64) time.Duration {
	microseconds := m.histogram("latency", m.TeamLabel(team)).Snapshot().Percentile(quantile)
	return time.Duration(microseconds * float64(time.Microsecond))
}

// CompletedCount returns the number of latencies recorded for a team, one for each
// request whose complete response was sent.
func (m *Metrics) CompletedCount(team string) uint64 {
	return uint64(m.histogram("latency", m.TeamLabel(team)).Count())
}

// RejectionCount returns how many requests of a team were rejected for the reason.
func (m *Metrics) RejectionCount(team, reason string) uint64 {
	name := "refused/" + m.TeamLabel(team) + "/" + reason
	return uint64(metrics.GetOrRegisterCounter(name, m.metricsRegistry()).Count())
}

// MaxRouteLabels is how many routes have metrics of their own.
const MaxRouteLabels = 200

// RouteLabel returns the label of a route's metrics: the route's name, or [OtherLabel]
// for routes beyond the first [MaxRouteLabels].
func (m *Metrics) RouteLabel(route string) string {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return boundedLabel(&m.routeLabels, route, MaxRouteLabels)
}

// RecordRouteLatency records the latency of the same request by route, and counts its
// response by route and service. Only hosts that run trefoillined serve call it, in
// addition to RecordLatency.
func (m *Metrics) RecordRouteLatency(route, service string, latency time.Duration) {
	label := m.RouteLabel(route)
	m.histogram("route", label).Update(latency.Microseconds())
	m.IncrementCounter("passed/" + label + "/" + service)
}

// WriteText writes all metrics as text, sorted by name. Times are in microseconds.
func (m *Metrics) WriteText(w io.Writer) {
	metrics.WriteOnce(m.metricsRegistry(), w)
}

// WriteJSON writes all metrics as JSON. Times are in microseconds.
func (m *Metrics) WriteJSON(w io.Writer) {
	metrics.WriteJSONOnce(m.metricsRegistry(), w)
}

func (m *Metrics) histogram(kind, label string) metrics.Histogram {
	newHistogram := func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	}
	return m.metricsRegistry().GetOrRegister(kind+"/"+label, newHistogram).(metrics.Histogram)
}

// TotalRejectionCount returns how many requests of a team were rejected, for all reasons.
func (m *Metrics) TotalRejectionCount(team string) uint64 {
	prefix := "refused/" + m.TeamLabel(team) + "/"
	var total uint64
	m.metricsRegistry().Each(func(name string, metric any) {
		counter, isCounter := metric.(metrics.Counter)
		if isCounter && strings.HasPrefix(name, prefix) {
			total += uint64(counter.Count())
		}
	})
	return total
}
