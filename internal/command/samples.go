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
	// measuresPath is where a host gives its measures.
	measuresPath = "/trefoilline/measures"
	// latencyMeasure, waitMeasure and refusedMeasure start the names of a team's
	// measures.
	latencyMeasure = "latency/"
	waitMeasure    = "queue-wait/"
	refusedMeasure = "refused/"
)

// hostSample is one measure of one host; times are in microseconds.
type hostSample struct {
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

// samples asks every host for its measures, by name. The entry of a host that
// gave none is nil.
func (h hostClient) samples(ctx context.Context) []map[string]hostSample {
	found := make([]map[string]hostSample, len(h.hosts))
	var calls errgroup.Group
	calls.SetLimit(parallelHosts)
	for i, host := range h.hosts {
		calls.Go(func() error {
			// A host that gives none is counted, and no reason to give up the rest.
			found[i], _ = h.hostSamples(ctx, host)
			return nil
		})
	}
	_ = calls.Wait()
	return found
}

func (h hostClient) hostSamples(ctx context.Context, host netip.AddrPort) (map[string]hostSample, error) {
	ctx, cancel := context.WithTimeout(ctx, h.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.String()+measuresPath, nil)
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
	samples := make(map[string]hostSample)
	return samples, json.NewDecoder(response.Body).Decode(&samples)
}

// latencies are percentiles in nanoseconds, each that of the host where it is
// highest: percentiles of several hosts cannot be added up.
type latencies struct {
	P50 time.Duration `json:"p50"`
	P75 time.Duration `json:"p75"`
	P95 time.Duration `json:"p95"`
	P99 time.Duration `json:"p99"`
	Max time.Duration `json:"max"`
}

func (l *latencies) add(s hostSample) {
	l.P50 = max(l.P50, microseconds(s.P50))
	l.P75 = max(l.P75, microseconds(s.P75))
	l.P95 = max(l.P95, microseconds(s.P95))
	l.P99 = max(l.P99, microseconds(s.P99))
	l.Max = max(l.Max, microseconds(s.Max))
}

func microseconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Microsecond))
}

// refusal is how many requests were refused for one reason.
type refusal struct {
	Reason string `json:"reason"`
	Count  int64  `json:"count"`
}

// teamMeasure is how one team fares over all hosts.
type teamMeasure struct {
	Team      string    `json:"team"`
	Answered  int64     `json:"answered"`
	Refused   int64     `json:"refused"`
	Refusals  []refusal `json:"refusals"`
	Latency   latencies `json:"latency"`
	QueueWait latencies `json:"queue-wait"`
}

// add takes in one measure of one host; those that are no team's are left out.
func (l *measureList) add(name string, s hostSample) {
	switch {
	case strings.HasPrefix(name, latencyMeasure):
		t := l.team(strings.TrimPrefix(name, latencyMeasure))
		t.Answered += s.Count
		t.Latency.add(s)
	case strings.HasPrefix(name, waitMeasure):
		l.team(strings.TrimPrefix(name, waitMeasure)).QueueWait.add(s)
	case strings.HasPrefix(name, refusedMeasure):
		team, reason, _ := strings.Cut(strings.TrimPrefix(name, refusedMeasure), "/")
		l.team(team).refuse(reason, s.Count)
	}
}

// team returns the entry of a team, which is made if need be.
func (l *measureList) team(name string) *teamMeasure {
	for _, t := range l.Teams {
		if t.Team == name {
			return t
		}
	}
	t := &teamMeasure{
		Team:     name,
		Refusals: []refusal{},
	}
	l.Teams = append(l.Teams, t)
	return t
}

func (t *teamMeasure) refuse(reason string, count int64) {
	t.Refused += count
	for i := range t.Refusals {
		if t.Refusals[i].Reason == reason {
			t.Refusals[i].Count += count
			return
		}
	}
	t.Refusals = append(t.Refusals, refusal{
		Reason: reason,
		Count:  count,
	})
}
