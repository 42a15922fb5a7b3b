package experiment

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/standin/caller"
)

// Runner runs a plan.
type Runner struct {
	// Plan must be valid.
	Plan *Plan
	// Client sends the faults; nil means http.DefaultClient.
	Client *http.Client

	callers   [][]*caller.Caller
	collector Collector
	inFlight  chan struct{}
	group     sync.WaitGroup
	start     time.Time
}

// Run sends the plan's load and faults, waits for all results and returns the
// report. It stops sending when ctx ends.
func (r *Runner) Run(ctx context.Context) *Report {
	r.collector = Collector{
		Plan: r.Plan,
	}
	r.inFlight = make(chan struct{}, r.Plan.MaxInFlight)
	r.createCallers()
	arrivals := r.Plan.Arrivals()
	r.start = time.Now()
	r.group.Go(func() { r.injectFaults(ctx) })
	for _, a := range arrivals {
		if !r.waitUntil(ctx, a.At) {
			r.collector.RecordEarlyEnd(time.Since(r.start))
			break
		}
		r.dispatch(ctx, a)
	}
	r.group.Wait()
	return r.collector.Report()
}

func (r *Runner) createCallers() {
	entryHosts := make([]netip.AddrPort, 0, len(r.Plan.EntryHosts))
	for _, e := range r.Plan.EntryHosts {
		entryHosts = append(entryHosts, netip.MustParseAddrPort(e))
	}
	r.callers = make([][]*caller.Caller, len(r.Plan.Teams))
	for i, t := range r.Plan.Teams {
		for range t.CallerCount {
			r.callers[i] = append(r.callers[i], &caller.Caller{
				EntryHosts: entryHosts,
				Key:        t.Key,
			})
		}
	}
}

// waitUntil waits for an offset from the start of the run. It returns false if
// ctx ends first.
func (r *Runner) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// dispatch sends a request that is due, without waiting for its result. If too
// many requests are in flight, it records the request as not sent.
func (r *Runner) dispatch(ctx context.Context, a Arrival) {
	select {
	case r.inFlight <- struct{}{}:
	default:
		r.collector.RecordNotSent(a)
		return
	}
	r.group.Go(func() {
		defer func() { <-r.inFlight }()
		result := r.send(ctx, a)
		// Latency counts from the time when the request was due, so that it
		// includes delays of the sender.
		result.Latency = time.Since(r.start.Add(a.At))
		r.collector.Record(a, result)
	})
}

func (r *Runner) send(ctx context.Context, a Arrival) caller.Result {
	requestCtx, cancel := context.WithTimeout(ctx, time.Duration(r.Plan.Timeout))
	defer cancel()
	request := r.Plan.Requests[a.RequestIndex]
	return r.callers[a.TeamIndex][a.CallerIndex].Send(requestCtx, caller.Request{
		Method:    request.Method,
		Path:      request.Path,
		Body:      []byte(request.Body),
		UseTicket: request.UseTicket,
	})
}
