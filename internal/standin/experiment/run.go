package experiment

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/standin/caller"
)

// Run carries out a plan.
type Runner struct {
	// Plan has passed its check.
	Plan *Plan
	// Client sends the faults; http.DefaultClient if nil.
	Client *http.Client

	callers [][]*caller.Caller
	tally   Collector
	open    chan struct{}
	group   sync.WaitGroup
	start   time.Time
}

// Do sends the load and the faults, waits for all results and reports. It ends
// early when ctx does.
func (r *Runner) Run(ctx context.Context) *Report {
	r.tally = Collector{
		Plan: r.Plan,
	}
	r.open = make(chan struct{}, r.Plan.MaxInFlight)
	r.makeCallers()
	arrivals := r.Plan.Arrivals()
	r.start = time.Now()
	r.group.Go(func() { r.inject(ctx) })
	for _, a := range arrivals {
		if !r.waitUntil(ctx, a.At) {
			r.tally.RecordEarlyEnd(time.Since(r.start))
			break
		}
		r.dispatch(ctx, a)
	}
	r.group.Wait()
	return r.tally.Report()
}

func (r *Runner) makeCallers() {
	entries := make([]netip.AddrPort, 0, len(r.Plan.EntryHosts))
	for _, e := range r.Plan.EntryHosts {
		entries = append(entries, netip.MustParseAddrPort(e))
	}
	r.callers = make([][]*caller.Caller, len(r.Plan.Teams))
	for i, t := range r.Plan.Teams {
		for range t.CallerCount {
			r.callers[i] = append(r.callers[i], &caller.Caller{
				EntryHosts: entries,
				Key:        t.Key,
			})
		}
	}
}

// waitUntil waits for a moment of the run and tells whether to go on.
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

// dispatch sends a request that is due, without waiting for it.
func (r *Runner) dispatch(ctx context.Context, a Arrival) {
	select {
	case r.open <- struct{}{}:
	default:
		r.tally.RecordNotSent(a)
		return
	}
	r.group.Go(func() {
		defer func() { <-r.open }()
		result := r.send(ctx, a)
		// Counted from when it was due, so that a late sender hides nothing.
		result.Latency = time.Since(r.start.Add(a.At))
		r.tally.Record(a, result)
	})
}

func (r *Runner) send(ctx context.Context, a Arrival) caller.Result {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(r.Plan.Timeout))
	defer cancel()
	request := r.Plan.Requests[a.RequestIndex]
	return r.callers[a.TeamIndex][a.CallerIndex].Send(bounded, caller.Request{
		Method:    request.Method,
		Path:      request.Path,
		Body:      []byte(request.Body),
		UseTicket: request.UseTicket,
	})
}
