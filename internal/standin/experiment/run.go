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
type Run struct {
	// Plan has passed its check.
	Plan *Plan
	// Client sends the faults; http.DefaultClient if nil.
	Client *http.Client

	callers [][]*caller.Caller
	tally   Tally
	open    chan struct{}
	group   sync.WaitGroup
	start   time.Time
}

// Do sends the load and the faults, waits for all results and reports. It ends
// early when ctx does.
func (r *Run) Do(ctx context.Context) *Report {
	r.tally = Tally{
		Plan: r.Plan,
	}
	r.open = make(chan struct{}, r.Plan.MaxOpen)
	r.makeCallers()
	arrivals := r.Plan.Arrivals()
	r.start = time.Now()
	r.group.Go(func() { r.inject(ctx) })
	for _, a := range arrivals {
		if !r.waitUntil(ctx, a.At) {
			r.tally.CutShort(time.Since(r.start))
			break
		}
		r.dispatch(ctx, a)
	}
	r.group.Wait()
	return r.tally.Report()
}

func (r *Run) makeCallers() {
	entries := make([]netip.AddrPort, 0, len(r.Plan.Entries))
	for _, e := range r.Plan.Entries {
		entries = append(entries, netip.MustParseAddrPort(e))
	}
	r.callers = make([][]*caller.Caller, len(r.Plan.Teams))
	for i, t := range r.Plan.Teams {
		for range t.Skew {
			r.callers[i] = append(r.callers[i], &caller.Caller{
				Entries: entries,
				Key:     t.Key,
			})
		}
	}
}

// waitUntil waits for a moment of the run and tells whether to go on.
func (r *Run) waitUntil(ctx context.Context, at time.Duration) bool {
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
func (r *Run) dispatch(ctx context.Context, a Arrival) {
	select {
	case r.open <- struct{}{}:
	default:
		r.tally.Withhold(a)
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

func (r *Run) send(ctx context.Context, a Arrival) caller.Result {
	bounded, cancel := context.WithTimeout(ctx, time.Duration(r.Plan.Timeout))
	defer cancel()
	request := r.Plan.Requests[a.Request]
	return r.callers[a.Team][a.Caller].Send(bounded, caller.Request{
		Method: request.Method,
		Path:   request.Path,
		Body:   []byte(request.Body),
		Ticket: request.Ticket,
	})
}
