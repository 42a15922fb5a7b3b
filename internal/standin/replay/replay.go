/*
Package replay replays a recorded trace of requests in simulated time against
the team rate limits that entry hosts share, and compares the outcome with the
trace's expectations. It tests the limits alone: requests reach no backend
server. A request is granted if its entry host has a token of the team's limit
for it within one second, and refused otherwise.

A trace is a file of JSON lines in any order; events are replayed in the order of
their times. A request names the entry host that it was sent to. The simulation
has exactly the hosts that the trace names.

	{"kind": "team", "team": "ridge-primary", "rate": 40, "burst": 80}
	{"kind": "request", "at": "12.03s", "team": "ridge-primary", "host": "entry-3"}
	{"kind": "lose-host", "at": "30s", "host": "entry-3"}
	{"kind": "store-down", "at": "31s"}
	{"kind": "store-up", "at": "40s"}
	{"kind": "expect", "team": "ridge-primary", "refused-at-most": 0.01}

# Usage

	trace, err := replay.ReadTrace(file)
	if err != nil {
		return err // a LineError with the line and the accepted values
	}
	report := trace.Replay(seed)
	err = report.Check(trace)
*/
package replay

import (
	"math/rand/v2"
	"slices"
	"time"

	"trefoilline.example/trefoilline/globallimit"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/streamproxy"
)

const (
	// timeStep is the step of simulated time.
	timeStep = 10 * time.Millisecond
	// warmUpTime is simulated before the trace starts, so that the hosts have
	// divided the limits among themselves.
	warmUpTime = 40 * time.Second
	// messageDelay is the time that a message between hosts takes.
	messageDelay = 55 * time.Millisecond
	// maxTokenWait bounds the time that a request waits for tokens that its entry
	// host borrows from other hosts.
	maxTokenWait = time.Second
)

// simulationStart is the time at which the simulation starts.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation holds the simulated entry hosts, their store and their messages.
type simulation struct {
	now          time.Time
	store        *store.Memory
	grantChecker globallimit.GrantChecker
	hosts        []*host
	// inFlight holds the messages that have not arrived yet, in order of arrival.
	inFlight        []inFlightMessage
	waitingRequests []waitingRequest
	report          *Report
}

// host is one simulated entry host.
type host struct {
	name     string
	limiter  *globallimit.Limiter
	syncer   *globallimit.AllocationSyncer
	isFailed bool
	lastTick time.Time
}

// inFlightMessage is a message between hosts and the time at which it arrives.
type inFlightMessage struct {
	arrival  time.Time
	envelope globallimit.Envelope
}

// waitingRequest is a request that waits for tokens until its deadline.
type waitingRequest struct {
	host     *host
	team     string
	deadline time.Time
}

// Replay replays the trace. The seed determines the random choices of the hosts:
// the same trace and seed give the same report.
func (t *Trace) Replay(seed uint64) Report {
	s := newSimulation(t, seed)
	s.advanceTo(simulationStart.Add(warmUpTime))
	traceStart := s.now
	for _, e := range t.sortedEvents() {
		s.advanceTo(traceStart.Add(e.offset()))
		e.apply(s)
	}
	s.advanceTo(s.now.Add(maxTokenWait + timeStep))
	s.report.Violations = len(s.grantChecker.Check(s.now))
	for _, h := range s.hosts {
		s.report.Violations += int(h.limiter.ViolationCount())
	}
	return *s.report
}

func newSimulation(t *Trace, seed uint64) *simulation {
	s := &simulation{
		now:    simulationStart,
		report: newReport(t.Teams),
	}
	clock := func() time.Time { return s.now }
	s.store = &store.Memory{
		Clock: clock,
	}
	limits := teamLimits(t.Teams)
	s.grantChecker.SetLimits(limits)
	for n, name := range t.hostNames() {
		limiter := &globallimit.Limiter{
			Host:        name,
			Incarnation: uint64(n + 1),
			SoleProcess: true,
			Clock:       clock,
			Rand:        rand.New(rand.NewPCG(seed, uint64(n))),
		}
		limiter.SetLimits(limits)
		s.hosts = append(s.hosts, &host{
			name:    name,
			limiter: limiter,
			syncer: &globallimit.AllocationSyncer{
				Store:   s.store,
				Limiter: limiter,
			},
		})
	}
	s.updateLiveHosts()
	return s
}

func teamLimits(teams []Team) []globallimit.Limit {
	limits := make([]globallimit.Limit, 0, len(teams))
	for _, t := range teams {
		limits = append(limits, globallimit.Limit{
			Name: streamproxy.TeamLimitName(t.Name),
			Kind: globallimit.Rate{
				PerSecond: t.Rate,
				Burst:     t.Burst,
			},
		})
	}
	return limits
}

// updateLiveHosts tells every host which hosts are live.
func (s *simulation) updateLiveHosts() {
	var live []globallimit.ProcessID
	for _, h := range s.hosts {
		if !h.isFailed {
			live = append(live, h.limiter.ProcessID())
		}
	}
	for _, h := range s.hosts {
		h.limiter.SetLiveProcesses(live)
	}
}

// advanceTo advances simulated time to the given time.
func (s *simulation) advanceTo(end time.Time) {
	for s.now.Before(end) {
		s.now = s.now.Add(timeStep)
		s.deliverMessages()
		s.tickHosts()
		s.retryWaiting()
	}
}

func (s *simulation) deliverMessages() {
	for len(s.inFlight) > 0 && !s.inFlight[0].arrival.After(s.now) {
		next := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		if h := s.findHost(next.envelope.To); h != nil && !h.isFailed {
			s.enqueueMessages(h.limiter.Receive(next.envelope.Message))
		}
	}
}

func (s *simulation) enqueueMessages(envelopes []globallimit.Envelope) {
	for _, e := range envelopes {
		s.inFlight = append(s.inFlight, inFlightMessage{
			arrival:  s.now.Add(messageDelay),
			envelope: e,
		})
	}
}

func (s *simulation) tickHosts() {
	for _, h := range s.hosts {
		if h.isFailed || s.now.Sub(h.lastTick) < globallimit.TickInterval {
			continue
		}
		h.lastTick = s.now
		s.enqueueMessages(h.limiter.Tick())
		// A failed call is repeated at the next tick.
		_ = h.syncer.Refresh(background)
	}
}

func (s *simulation) findHost(name string) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == name })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// acquire takes one token of the team's limit for a request at the host, and
// reports whether it was granted.
func (s *simulation) acquire(h *host, team string) bool {
	granted, ok := h.limiter.Acquire(streamproxy.TeamLimitName(team), 1).(globallimit.Granted)
	if !ok {
		return false
	}
	s.grantChecker.Add(globallimit.GrantRecord{
		Limit: granted.Grant.Limit,
		Host:  h.name,
		Time:  granted.Grant.Time,
		Count: granted.Grant.Count,
	})
	return true
}

// retryWaiting grants waiting requests whose host has a token by now, and refuses
// those whose deadline has passed or whose host has failed.
func (s *simulation) retryWaiting() {
	remaining := s.waitingRequests[:0]
	for _, r := range s.waitingRequests {
		hasToken := r.host.limiter.LimitStatus(streamproxy.TeamLimitName(r.team)).Available >= 1
		switch {
		case hasToken && s.acquire(r.host, r.team):
			s.report.countGranted(r.team)
		case s.now.After(r.deadline) || r.host.isFailed:
			s.report.countRefused(r.team)
		default:
			remaining = append(remaining, r)
		}
	}
	s.waitingRequests = remaining
}

func (s *simulation) setStoreDown(down bool) {
	s.store.SetFaults(store.Faults{
		Down: down,
	})
}
