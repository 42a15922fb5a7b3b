package command

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// metricsPath is where a host gives its measures.
	metricsPath = "/trefoilline/measures"
	// latencyPrefix, waitMeasure and refusedMeasure start the names of a team's
	// measures.
	latencyPrefix = "latency/"
	queueWaitPrefix    = "queue-wait/"
	refusedPrefix = "refused/"
)

// metricValue is one measure of one host; times are in microseconds.
type metricValue struct {
	Count int64   `json:"count"`
	P50   float64 `json:"median"`
	P75   float64 `json:"75%"`
	P95   float64 `json:"95%"`
	P99   float64 `json:"99%"`
	Max   float64 `json:"max"`
}

// HTTPStatusError reports an answer of a host that is not the one wanted.
type HTTPStatusError struct {
	Status int
}

func (e *HTTPStatusError) Error() string {
	return fmt.Sprintf("answered with status %d; accepted: %d", e.Status, http.StatusOK)
}

// fetchMetrics asks every host for its measures, by name. The entry of a host that
// gave none is nil.
func (h hostClient) fetchMetrics(ctx context.Context) []map[string]metricValue {
	found := make([]map[string]metricValue, len(h.hosts))
	var calls errgroup.Group
	calls.SetLimit(maxParallelCalls)
	for i, host := range h.hosts {
		calls.Go(func() error {
			// A host that gives none is counted, and no reason to give up the rest.
			found[i], _ = h.fetchHostMetrics(ctx, host)
			return nil
		})
	}
	_ = calls.Wait()
	return found
}

func (h hostClient) fetchHostMetrics(ctx context.Context, host netip.AddrPort) (map[string]metricValue, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+metricsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := h.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &HTTPStatusError{
			Status: response.StatusCode,
		}
	}
	samples := make(map[string]metricValue)
	return samples, json.NewDecoder(response.Body).Decode(&samples)
}

// latencyPercentiles are percentiles in nanoseconds, each that of the host where it is
// highest: percentiles of several hosts cannot be added up.
type latencyPercentiles struct {
	P50 time.Duration `json:"p50"`
	P75 time.Duration `json:"p75"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

func (l *latencyPercentiles) raiseTo(s metricValue) {
	l.P50 = max(l.P50, microseconds(s.P50))
	l.P75 = max(l.P75, microseconds(s.P75))
	l.P95 = max(l.P95, microseconds(s.P95))
	l.P99 = max(l.P99, microseconds(s.P99))
	l.Max = max(l.Max, microseconds(s.Max))
}

func microseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Microsecond))
}

// refusalCount is how many requests were refused for one reason.
type refusalCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// teamMetrics is how one team fares over all hosts.
type teamMetrics struct {
	Team      string    `json:"team"`
	Answered  int64     `json:"answered"`
	Refused   int64     `json:"refused"`
	Refusals  []refusalCount `json:"refusals"`
	Latency   latencyPercentiles `json:"latency"`
	QueueWait latencyPercentiles `json:"queue-wait"`
}

// addMetric takes in one measure of one host; those that are no team's are left out.
func (l *metricsSummary) addMetric(name string, s metricValue) {
	switch {
	case strings.HasPrefix(name, latencyPrefix):
		t := l.teamEntry(strings.TrimPrefix(name, latencyPrefix))
		t.Answered += s.Count
		t.Latency.raiseTo(s)
	case strings.HasPrefix(name, queueWaitPrefix):
		l.teamEntry(strings.TrimPrefix(name, queueWaitPrefix)).QueueWait.raiseTo(s)
	case strings.HasPrefix(name, refusedPrefix):
		team, reason, _ := strings.Cut(strings.TrimPrefix(name, refusedPrefix), "/")
		l.teamEntry(team).addRefusals(reason, s.Count)
	}
}

// teamEntry returns the entry of a teamEntry, which is made if need be.
func (l *metricsSummary) teamEntry(name string) *teamMetrics {
	for _, t := range l.Teams {
		if t.Team == name {
			return t
		}
	}
	t := &teamMetrics{
		Team:     name,
		Refusals: []refusalCount{},
	}
	l.Teams = append(l.Teams, t)
	return t
}

func (t *teamMetrics) addRefusals(reason string, count int64) {
	t.Refused += count
	for i := range t.Refusals {
		if t.Refusals[i].Reason == reason {
			t.Refusals[i].Count += count
			return
		}
	}
	t.Refusals = append(t.Refusals, refusalCount{
		Reason: reason,
		Count:  count,
	})
}
