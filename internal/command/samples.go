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
	// metricsPath is the path of a host's metrics.
	metricsPath = "/trefoilline/measures"
	// latencyPrefix, queueWaitPrefix and rejectedPrefix are the prefixes of the names of
	// a team's metrics.
	latencyPrefix   = "latency/"
	queueWaitPrefix = "queue-wait/"
	rejectedPrefix  = "refused/"
)

// metricValue is the value of one metric on one host. Times are in microseconds.
type metricValue struct {
	Count int64   `json:"count"`
	P50   float64 `json:"median"`
	P75   float64 `json:"75%"`
	P95   float64 `json:"95%"`
	P99   float64 `json:"99%"`
	Max   float64 `json:"max"`
}

// HTTPStatusError reports a response of a host with a status other than 200.
type HTTPStatusError struct {
	Status int
}

func (e *HTTPStatusError) Error() string {
	return fmt.Sprintf("response status is %d; expected %d", e.Status, http.StatusOK)
}

// fetchMetrics calls all hosts in parallel and returns the metrics of each by name. The
// entry of a host whose call failed is nil.
func (h hostClient) fetchMetrics(ctx context.Context) []map[string]metricValue {
	metrics := make([]map[string]metricValue, len(h.hosts))
	var calls errgroup.Group
	calls.SetLimit(maxParallelCalls)
	for i, host := range h.hosts {
		calls.Go(func() error {
			// The caller counts nil entries as failed hosts.
			metrics[i], _ = h.fetchHostMetrics(ctx, host)
			return nil
		})
	}
	_ = calls.Wait()
	return metrics
}

func (h hostClient) fetchHostMetrics(ctx context.Context, host netip.AddrPort) (map[string]metricValue, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+metricsPath, nil)
	if err != nil {
		return nil, err
	}
	response, err := h.httpClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, &HTTPStatusError{
			Status: response.StatusCode,
		}
	}
	metrics := make(map[string]metricValue)
	return metrics, json.NewDecoder(response.Body).Decode(&metrics)
}

// durationStats holds the percentiles and the maximum of a duration in nanoseconds. Each
// is the maximum over the hosts, because percentiles of several hosts cannot be merged.
type durationStats struct {
	P50 time.Duration `json:"p50"`
	P75 time.Duration `json:"p75"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

// mergeMax replaces each statistic by that of one host if the latter is higher.
func (l *durationStats) mergeMax(value metricValue) {
	l.P50 = max(l.P50, durationFromMicroseconds(value.P50))
	l.P75 = max(l.P75, durationFromMicroseconds(value.P75))
	l.P95 = max(l.P95, durationFromMicroseconds(value.P95))
	l.P99 = max(l.P99, durationFromMicroseconds(value.P99))
	l.Max = max(l.Max, durationFromMicroseconds(value.Max))
}

func durationFromMicroseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Microsecond))
}

// rejectionCount is the number of requests rejected for one reason.
type rejectionCount struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// teamMetrics holds the metrics of one team, aggregated over all hosts.
type teamMetrics struct {
	Team       string           `json:"team"`
	Answered   int64            `json:"answered"`
	Rejected   int64            `json:"refused"`
	Rejections []rejectionCount `json:"refusals"`
	Latency    durationStats    `json:"latency"`
	QueueWait  durationStats    `json:"queue-wait"`
}

// addMetric adds one metric of one host. It ignores metrics that do not belong to a
// team. The number of latencies of a team is the number of its answered requests.
func (s *metricsSummary) addMetric(name string, value metricValue) {
	switch {
	case strings.HasPrefix(name, latencyPrefix):
		t := s.teamEntry(strings.TrimPrefix(name, latencyPrefix))
		t.Answered += value.Count
		t.Latency.mergeMax(value)
	case strings.HasPrefix(name, queueWaitPrefix):
		s.teamEntry(strings.TrimPrefix(name, queueWaitPrefix)).QueueWait.mergeMax(value)
	case strings.HasPrefix(name, rejectedPrefix):
		team, reason, _ := strings.Cut(strings.TrimPrefix(name, rejectedPrefix), "/")
		s.teamEntry(team).addRejections(reason, value.Count)
	}
}

// teamEntry returns the entry of a team and adds it if it does not exist.
func (s *metricsSummary) teamEntry(name string) *teamMetrics {
	for _, t := range s.Teams {
		if t.Team == name {
			return t
		}
	}
	t := &teamMetrics{
		Team:       name,
		Rejections: []rejectionCount{},
	}
	s.Teams = append(s.Teams, t)
	return t
}

func (t *teamMetrics) addRejections(reason string, count int64) {
	t.Rejected += count
	for i := range t.Rejections {
		if t.Rejections[i].Reason == reason {
			t.Rejections[i].Count += count
			return
		}
	}
	t.Rejections = append(t.Rejections, rejectionCount{
		Reason: reason,
		Count:  count,
	})
}
