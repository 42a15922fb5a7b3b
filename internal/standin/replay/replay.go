/*
Package replay plays a recorded trace of requests against the limits that entry
hosts divide among themselves, in simulated time, and holds the outcome against
what the trace states.

A trace is a file of JSON lines. Lines may come in any order; they are played by
their time. A request names the entry host that it was sent to; hosts are those
that the trace names.

	{"kind": "team", "team": "ridge-primary", "rate": 40, "burst": 80}
	{"kind": "request", "at": "12.03s", "team": "ridge-primary", "host": "entry-3"}
	{"kind": "lose-host", "at": "30s", "host": "entry-3"}
	{"kind": "store-down", "at": "31s"}
	{"kind": "store-up", "at": "40s"}
	{"kind": "expect", "team": "ridge-primary", "refused-at-most": 0.01}

# Usage

	trace, err := replay.Read(file)
	if err != nil {
		return err // names the line and what is accepted
	}
	report := trace.Play(seed)
	err = report.Check(trace)
*/
package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"trefoilline.example/trefoilline/entry"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/share"
)

const (
	// tick is the step of simulated time.
	tick = 10 * time.Millisecond
	// settleTime runs before the trace begins, so that the hosts have divided
	// the limits.
	settleTime = 40 * time.Second
	// delay is the time that a message between hosts takes.
	delay = 55 * time.Millisecond
	// wait is how long an entry host lets a request wait for lent tokens.
	wait = time.Second
)

// epoch is when simulated time begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// world is the fleet in simulated time.
type world struct {
	now    time.Time
	store  *store.Memory
	ledger share.GrantChecker
	hosts  []*host
	// flying are the messages on their way, in order of arrival.
	flying  []delivery
	waiting []waiter
	report  *Report
}

// host is one entry host.
type host struct {
	name   string
	holder *share.Limiter
	keeper *share.AllocationSyncer
	lost   bool
	ticked time.Time
}

// delivery is a message on its way.
type delivery struct {
	at       time.Time
	envelope share.Envelope
}

// waiter is a request that waits for tokens.
type waiter struct {
	host  *host
	team  string
	until time.Time
}

// Play runs the trace. The same seed gives the same report.
func (t *Trace) Play(seed uint64) Report {
	w := newWorld(t, seed)
	w.run(epoch.Add(settleTime))
	begin := w.now
	for _, e := range t.events() {
		w.run(begin.Add(e.at()))
		e.play(w)
	}
	w.run(w.now.Add(wait + tick))
	w.report.Violations = len(w.ledger.Check(w.now))
	for _, h := range w.hosts {
		w.report.Violations += int(h.holder.Violations())
	}
	return *w.report
}

func newWorld(t *Trace, seed uint64) *world {
	w := &world{
		now:    epoch,
		report: newReport(t.Teams),
	}
	clock := func() time.Time { return w.now }
	w.store = &store.Memory{
		Clock: clock,
	}
	limits := teamLimits(t.Teams)
	w.ledger.SetLimits(limits)
	for n, name := range t.hosts() {
		holder := &share.Limiter{
			Host:        name,
			Incarnation: uint64(n + 1),
			SoleProcess: true,
			Clock:       clock,
			Rand:        rand.New(rand.NewPCG(seed, uint64(n))),
		}
		holder.SetLimits(limits)
		w.hosts = append(w.hosts, &host{
			name:   name,
			holder: holder,
			keeper: &share.AllocationSyncer{
				Store:   w.store,
				Limiter: holder,
			},
		})
	}
	w.setLive()
	return w
}

func teamLimits(teams []Team) []share.Limit {
	limits := make([]share.Limit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, share.Limit{
			Name: entry.TeamLimit(t.Name),
			Kind: share.Rate{
				PerSecond: t.Rate,
				Burst:     t.Burst,
			},
		})
	}
	return limits
}

// setLive tells the hosts which of them live.
func (w *world) setLive() {
	var live []share.ProcessID
	for _, h := range w.hosts {
		if !h.lost {
			live = append(live, h.holder.ProcessID())
		}
	}
	for _, h := range w.hosts {
		h.holder.SetLiveProcesses(live)
	}
}

// run moves time on.
func (w *world) run(until time.Time) {
	for w.now.Before(until) {
		w.now = w.now.Add(tick)
		w.deliver()
		w.tickHosts()
		w.retryWaiting()
	}
}

func (w *world) deliver() {
	for len(w.flying) > 0 && !w.flying[0].at.After(w.now) {
		next := w.flying[0]
		w.flying = w.flying[1:]
		if h := w.find(next.envelope.To); h != nil && !h.lost {
			w.send(h.holder.Receive(next.envelope.Message))
		}
	}
}

func (w *world) send(envelopes []share.Envelope) {
	for _, e := range envelopes {
		w.flying = append(w.flying, delivery{
			at:       w.now.Add(delay),
			envelope: e,
		})
	}
}

func (w *world) tickHosts() {
	for _, h := range w.hosts {
		if h.lost || w.now.Sub(h.ticked) < share.TickInterval {
			continue
		}
		h.ticked = w.now
		w.send(h.holder.Tick())
		// A call that fails is made again at the next tick.
		_ = h.keeper.Refresh(background)
	}
}

func (w *world) find(name string) *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
}

// take asks for one request, as an entry host does.
func (w *world) take(h *host, team string) bool {
	granted, ok := h.holder.Acquire(entry.TeamLimit(team), 1).(share.Granted)
	if !ok {
		return false
	}
	w.ledger.Add(share.GrantRecord{
		Limit: granted.Grant.Limit,
		Host:  h.name,
		Time:  granted.Grant.Time,
		Count: granted.Grant.Count,
	})
	return true
}

// retryWaiting lets requests that wait take tokens that have come meanwhile.
func (w *world) retryWaiting() {
	kept := w.waiting[:0]
	for _, q := range w.waiting {
		spare := q.host.holder.LimitStatus(entry.TeamLimit(q.team)).Available >= 1
		switch {
		case spare && w.take(q.host, q.team):
			w.report.granted(q.team)
		case w.now.After(q.until) || q.host.lost:
			w.report.refused(q.team)
		default:
			kept = append(kept, q)
		}
	}
	w.waiting = kept
}

// storeFaults puts faults of the store in force.
func (w *world) storeFaults(down bool) {
	w.store.SetFaults(store.Faults{
		Down: down,
	})
}
