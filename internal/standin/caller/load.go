package caller

import (
	"context"
	"fmt"
	"io"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/time/rate"
)

const (
	highestLatency     = time.Minute
	significantFigures = 3
)

// Load sends the same request again and again, open loop: a slow answer does
// not hold up the next request.
type LoadGenerator struct {
	Caller  *Caller
	Request Request
	// Count is the number of requests.
	Count int
	// Rate is in requests per second.
	Rate float64
	// Timeout bounds each request.
	Timeout time.Duration
	// TraceRecorder takes the requests as a trace; nil records nothing.
	Recorder *TraceRecorder
}

// Summary is what came of a load.
type Summary struct {
	Answered       int `json:"answered"`
	NotRun         int `json:"not-run"`
	OutcomeUnknown int `json:"unknown"`
	Unreachable    int `json:"unreached"`
	// Statuses counts answers by HTTP status.
	Statuses []StatusCount `json:"statuses"`
	// Reasons counts results that were not answers, by reason.
	Reasons []ReasonCount `json:"reasons,omitempty"`
	// Latencies are those of answered requests, in milliseconds.
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
}

// StatusCount counts answers with one HTTP status.
type StatusCount struct {
	Status int `json:"status"`
	Count  int `json:"count"`
}

// ReasonCount counts results with one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Run sends the load and waits for all results.
func (l *LoadGenerator) Run(ctx context.Context) Summary {
	limiter := rate.NewLimiter(rate.Limit(l.Rate), 1)
	var group sync.WaitGroup
	results := make(chan Result, l.Count)
	start := time.Now()
	for range l.Count {
		if limiter.Wait(ctx) != nil {
			break
		}
		group.Go(func() {
			bounded, cancel := context.WithTimeout(ctx, l.Timeout)
			defer cancel()
			at := time.Since(start)
			result := l.Caller.Send(bounded, l.Request)
			if l.Recorder != nil && l.Recorder.record(at, result) != nil {
				result.Reason = "not recorded"
			}
			results <- result
		})
	}
	group.Wait()
	close(results)
	return summarize(results)
}

func summarize(results <-chan Result) Summary {
	histogram := hdrhistogram.New(1, highestLatency.Microseconds(), significantFigures)
	statuses := make(map[int]int)
	reasons := make(map[string]int)
	var s Summary
	for r := range results {
		switch r.Outcome {
		case Answered:
			s.Answered++
			statuses[r.Status]++
			// A latency above the highest is left out of the percentiles.
			_ = histogram.RecordValue(r.Latency.Microseconds())
		case NotRun:
			s.NotRun++
		case OutcomeUnknown:
			s.OutcomeUnknown++
		case Unreachable:
			s.Unreachable++
		}
		if r.Reason != "" {
			reasons[r.Reason]++
		}
	}
	s.Statuses = statusCounts(statuses)
	s.Reasons = reasonCounts(reasons)
	s.P50 = milliseconds(histogram.ValueAtQuantile(50))
	s.P99 = milliseconds(histogram.ValueAtQuantile(99))
	return s
}

func statusCounts(counts map[int]int) []StatusCount {
	list := make([]StatusCount, 0, len(counts))
	for s, n := range counts {
		list = append(list, StatusCount{
			Status: s,
			Count:  n,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Status < list[j].Status })
	return list
}

func reasonCounts(counts map[string]int) []ReasonCount {
	list := make([]ReasonCount, 0, len(counts))
	for r, n := range counts {
		list = append(list, ReasonCount{
			Reason: r,
			Count:  n,
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Reason < list[j].Reason })
	return list
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
}

// Write prints the summary for a person.
func (s Summary) Write(w io.Writer) {
	fmt.Fprintf(w, "answered %d, not run %d, unknown %d, unreached %d; latency p50 %.1f ms, p99 %.1f ms\n",
		s.Answered, s.NotRun, s.OutcomeUnknown, s.Unreachable, s.P50, s.P99)
	for _, c := range s.Statuses {
		fmt.Fprintf(w, "  status %d: %d\n", c.Status, c.Count)
	}
	for _, c := range s.Reasons {
		fmt.Fprintf(w, "  %s: %d\n", c.Reason, c.Count)
	}
}
