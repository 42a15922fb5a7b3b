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
	maxLatency         = time.Minute
	significantFigures = 3
)

// LoadGenerator sends the same request repeatedly at a fixed rate (open loop): a
// slow response does not delay the next request.
type LoadGenerator struct {
	Caller  *Caller
	Request Request
	// Count is the number of requests to send.
	Count int
	// Rate is in requests per second.
	Rate float64
	// Timeout bounds each request.
	Timeout time.Duration
	// Recorder writes a trace of the requests; nil writes none. A request that
	// cannot be written to the trace gets the reason "trace not written".
	Recorder *TraceRecorder
}

// Summary counts the results of a load run by outcome.
type Summary struct {
	Answered       int `json:"answered"`
	NotRun         int `json:"not-run"`
	OutcomeUnknown int `json:"unknown"`
	Unreachable    int `json:"unreached"`
	// Statuses is the number of answered requests by HTTP status.
	Statuses []StatusCount `json:"statuses"`
	// Reasons is the number of requests by [Result.Reason], if that is set.
	Reasons []ReasonCount `json:"reasons,omitempty"`
	// P50 and P99 are percentiles of the latency of answered requests, in
	// milliseconds. A latency above one minute is left out.
	P50 float64 `json:"p50-ms"`
	P99 float64 `json:"p99-ms"`
}

// StatusCount is the number of answered requests with one HTTP status.
type StatusCount struct {
	Status int `json:"status"`
	Count  int `json:"count"`
}

// ReasonCount is the number of requests with one reason.
type ReasonCount struct {
	Reason string `json:"reason"`
	Count  int    `json:"count"`
}

// Run sends all requests, waits for them to end and returns a summary of the
// results. It stops sending when ctx ends.
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
			requestCtx, cancel := context.WithTimeout(ctx, l.Timeout)
			defer cancel()
			offset := time.Since(start)
			result := l.Caller.Send(requestCtx, l.Request)
			if l.Recorder != nil && l.Recorder.writeLine(offset, result) != nil {
				result.Reason = "trace not written"
			}
			results <- result
		})
	}
	group.Wait()
	close(results)
	return summarize(results)
}

func summarize(results <-chan Result) Summary {
	histogram := hdrhistogram.New(1, maxLatency.Microseconds(), significantFigures)
	statuses := make(map[int]int)
	reasons := make(map[string]int)
	var s Summary
	for r := range results {
		switch r.Outcome {
		case Answered:
			s.Answered++
			statuses[r.Status]++
			// A latency above maxLatency is left out of the percentiles.
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
	s.P50 = toMilliseconds(histogram.ValueAtQuantile(50))
	s.P99 = toMilliseconds(histogram.ValueAtQuantile(99))
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

func toMilliseconds(microseconds int64) float64 {
	return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
}

// Write prints the summary as text.
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
