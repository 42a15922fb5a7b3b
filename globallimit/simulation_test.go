package globallimit_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/globallimit"
)

// fleet runs limiters with a simulated network, store and clock. A single
// goroutine runs all events in order, so that a run depends on its seed only.
type fleet struct {
	t         testing.TB
	now       time.Time
	events    events
	lastOrder uint64
	rand      *rand.Rand
	store     *memoryStore
	limits    []globallimit.Limit
	checker   *globallimit.GrantChecker
	// hosts has the processes of each host that were not killed, in order of
	// start.
	hosts     map[string][]*process
	hostNames []string
	// downLinks has the links that are down, as sender and receiver.
	downLinks map[[2]string]bool
	// networkFaultProbability is the probability that a message is lost, that
	// it is duplicated, and that it is delayed by up to 20 s.
	networkFaultProbability float64
	// returnProbability is the probability that a grant is returned.
	returnProbability float64
	messagesSent      int
	bytesSent         int
	bytesReceivedBy   map[string]int
	bytesSentBy       map[string]int
	granted           int
	rejected          int
	// processes has all processes that were ever started.
	processes  []*process
	liveView   []globallimit.ProcessID
	liveViewAt time.Time
}

// process is one process of a host's daemon.
type process struct {
	name    string
	limiter *globallimit.Limiter
	syncer  *globallimit.AllocationSyncer
	dead    bool
	frozen  bool
	// queued has the messages that arrived while the process was frozen.
	queued []globallimit.Message
	// lastContact is when the process and each other host could last reach each
	// other.
	lastContact map[string]time.Time
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

var startTime = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

func newFleet(t testing.TB, seed uint64, size int, limits []globallimit.Limit) *fleet {
	f := &fleet{
		t:                 t,
		now:               startTime,
		rand:              rand.New(rand.NewPCG(seed, 1)),
		limits:            limits,
		returnProbability: 0.05,
		checker:           &globallimit.GrantChecker{},
		hosts:             make(map[string][]*process),
		downLinks:         make(map[[2]string]bool),
		bytesReceivedBy:   make(map[string]int),
		bytesSentBy:       make(map[string]int),
	}
	f.store = newMemoryStore(f)
	f.checker.SetLimits(limits)
	for i := range size {
		name := fmt.Sprintf("host-%03d", i)
		f.hostNames = append(f.hostNames, name)
		f.startProcess(name)
	}
	return f
}

// schedule runs a function after a delay in simulated time.
func (f *fleet) schedule(delay time.Duration, run func()) {
	f.lastOrder++
	heap.Push(&f.events, event{
		at:    f.now.Add(delay),
		order: f.lastOrder,
		run:   run,
	})
}

// advance runs the events of the period.
func (f *fleet) advance(period time.Duration) {
	end := f.now.Add(period)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		next := heap.Pop(&f.events).(event)
		f.now = next.at
		next.run()
	}
	f.now = end
}

// startProcess starts a process of the host, beside any that still runs.
func (f *fleet) startProcess(name string) *process {
	p := &process{
		name:        name,
		lastContact: make(map[string]time.Time),
	}
	// The clocks of the hosts drift apart by up to half a percent.
	drift := 1 + (f.rand.Float64()-0.5)/100
	start := f.now
	p.limiter = &globallimit.Limiter{
		Host:        name,
		Incarnation: uint64(len(f.processes) + 1),
		SoleProcess: true,
		Clock: func() time.Time {
			return start.Add(time.Duration(float64(f.now.Sub(start)) * drift))
		},
		Rand: rand.New(rand.NewPCG(f.rand.Uint64(), 2)),
	}
	p.syncer = &globallimit.AllocationSyncer{
		Store: &hostStore{
			memoryStore: f.store,
			host:        name,
		},
		Limiter: p.limiter,
	}
	p.limiter.SetLimits(f.limits)
	f.hosts[name] = append(f.hosts[name], p)
	f.processes = append(f.processes, p)
	f.schedule(time.Duration(f.rand.Int64N(int64(globallimit.TickInterval))), func() { f.tick(p) })
	return p
}

func (f *fleet) tick(p *process) {
	if p.dead {
		return
	}
	f.schedule(globallimit.TickInterval, func() { f.tick(p) })
	if p.frozen {
		return
	}
	f.updateLiveProcesses(p)
	_ = p.syncer.Refresh(f.t.Context())
	f.send(p, p.limiter.Tick())
}

// updateLiveProcesses replaces the membership protocol: a host is alive if the
// process could reach it within the last four seconds.
func (f *fleet) updateLiveProcesses(p *process) {
	if len(f.hostNames) > 100 && len(f.downLinks) == 0 {
		p.limiter.SetLiveProcesses(f.liveProcesses())
		return
	}
	live := []globallimit.ProcessID{p.limiter.ProcessID()}
	for _, name := range f.hostNames {
		if name == p.name {
			continue
		}
		other := f.newestProcess(name)
		if other == nil {
			continue
		}
		if !other.frozen && !f.downLinks[[2]string{name, p.name}] && !f.downLinks[[2]string{p.name, name}] {
			p.lastContact[name] = f.now
		}
		if f.now.Sub(p.lastContact[name]) < 4*time.Second {
			live = append(live, other.limiter.ProcessID())
		}
	}
	p.limiter.SetLiveProcesses(live)
}

// liveProcesses returns the running processes of a large fleet without link
// failures. It is recomputed every four seconds.
func (f *fleet) liveProcesses() []globallimit.ProcessID {
	if f.now.Sub(f.liveViewAt) < 4*time.Second && f.liveView != nil {
		return f.liveView
	}
	f.liveViewAt = f.now
	f.liveView = nil
	for _, name := range f.hostNames {
		if p := f.newestProcess(name); p != nil && !p.frozen {
			f.liveView = append(f.liveView, p.limiter.ProcessID())
		}
	}
	return f.liveView
}

// newestProcess returns the process of the host that was started last and not
// killed, or nil.
func (f *fleet) newestProcess(name string) *process {
	processes := f.hosts[name]
	for i := len(processes) - 1; i >= 0; i-- {
		if !processes[i].dead {
			return processes[i]
		}
	}
	return nil
}

func (f *fleet) send(p *process, envelopes []globallimit.Envelope) {
	for _, envelope := range envelopes {
		data, err := json.Marshal(envelope)
		require.NoError(f.t, err)
		f.messagesSent++
		f.bytesSent += len(data)
		f.bytesReceivedBy[envelope.To] += len(data)
		f.bytesSentBy[p.name] += len(data)
		f.deliverLater(p, f.decodeEnvelope(envelope, data))
		if f.networkFaultProbability > 0 && f.rand.Float64() < f.networkFaultProbability {
			f.deliverLater(p, f.decodeEnvelope(envelope, data))
		}
	}
}

// decodeEnvelope decodes the envelope as its receiver does. Large fleets skip
// the decoding to save time.
func (f *fleet) decodeEnvelope(envelope globallimit.Envelope, data []byte) globallimit.Envelope {
	if len(f.hostNames) > 100 {
		return envelope
	}
	var decoded globallimit.Envelope
	require.NoError(f.t, json.Unmarshal(data, &decoded))
	return decoded
}

// deliverLater delivers one copy of a message after a delay, or loses it.
func (f *fleet) deliverLater(p *process, envelope globallimit.Envelope) {
	if f.networkFaultProbability > 0 && f.rand.Float64() < f.networkFaultProbability {
		return
	}
	delay := time.Duration(1+f.rand.Int64N(55)) * time.Millisecond
	if f.networkFaultProbability > 0 && f.rand.Float64() < f.networkFaultProbability {
		delay += time.Duration(f.rand.Int64N(int64(20 * time.Second)))
	}
	f.schedule(delay, func() {
		if !f.downLinks[[2]string{p.name, envelope.To}] {
			f.deliver(f.runningProcess(envelope.To), envelope.Message)
		}
	})
}

// runningProcess picks one of the running processes of the host at random, or
// returns nil.
func (f *fleet) runningProcess(name string) *process {
	var running []*process
	for _, p := range f.hosts[name] {
		if !p.dead {
			running = append(running, p)
		}
	}
	if len(running) == 0 {
		return nil
	}
	return running[f.rand.IntN(len(running))]
}

func (f *fleet) deliver(p *process, message globallimit.Message) {
	if p == nil {
		return
	}
	if p.frozen {
		p.queued = append(p.queued, message)
		return
	}
	f.send(p, p.limiter.Receive(message))
}

func (f *fleet) killHost(name string) {
	for _, p := range f.hosts[name] {
		p.dead = true
	}
	f.hosts[name] = nil
}

func (f *fleet) unfreeze(p *process) {
	p.frozen = false
	queued := p.queued
	p.queued = nil
	if p.dead {
		return
	}
	for _, message := range queued {
		f.deliver(p, message)
	}
}

// acquireOne acquires a grant for one request and records it in the checker.
func (f *fleet) acquireOne(p *process, limit string) bool {
	granted, ok := p.limiter.Acquire(limit, 1).(globallimit.Granted)
	if !ok {
		f.rejected++
		return false
	}
	f.granted++
	f.checker.Add(globallimit.GrantRecord{
		Limit: limit,
		Host:  p.name,
		Time:  f.now,
		Count: 1,
	})
	if f.rand.Float64() < f.returnProbability {
		grantedAt := f.now
		f.schedule(time.Duration(f.rand.Int64N(int64(time.Second))), func() { f.returnGrant(p, granted.Grant, grantedAt) })
	}
	return true
}
