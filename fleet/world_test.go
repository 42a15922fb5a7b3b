package fleet_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

const (
	tableFeed = "table/"
	keysFeed  = "keys/"
	keysHead  = "keys-head"
	// readTimeout and readRetryDelay equal those of FeedReader.
	readTimeout             = 600 * time.Millisecond
	readRetryDelay          = 250 * time.Millisecond
	watchWaitWithHeadKey    = 500 * time.Millisecond
	watchWaitWithoutHeadKey = 4 * time.Second
	watchCheckInterval      = 250 * time.Millisecond
)

// simulation runs nodes on a simulated network and clock, one event at a time.
// The seed determines the whole run.
type simulation struct {
	t              testing.TB
	random         *rand.Rand
	elapsed        time.Duration
	memory         *store.Memory
	hosts          []*host
	byName         map[string]*host
	queue          eventQueue
	seq            int
	lossRate       float64
	duplicateRate  float64
	maxExtraDelay  time.Duration
	isDisconnected func(from, to *host) bool
	// storeCalls counts the calls to the platform. A watch that waits counts as
	// one.
	storeCalls objectstore.CallCounter
	// onSend, if set, is called for each message that is sent.
	onSend func(from, to *host, message fleet.Message)
	// onResume, if set, is called first when a paused host resumes.
	onResume func(h *host)
}

type host struct {
	fleet.Host
	node           *fleet.Node
	startCount     uint64
	isKilled       bool
	isPaused       bool
	isCutFromStore bool
	deferred       []func()
	// processNumber counts the starts, so that events of an earlier process are
	// ignored.
	processNumber int
}

type event struct {
	dueAt time.Duration
	seq   int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].dueAt < q[j].dueAt || q[i].dueAt == q[j].dueAt && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newSimulation starts hosts spread evenly over zones, and zones over regions.
func newSimulation(t testing.TB, seed uint64, hosts, zones, regions int, settings fleet.Settings) *simulation {
	sim := &simulation{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 7)),
		byName: make(map[string]*host),
	}
	sim.memory = &store.Memory{
		Clock:      sim.clock,
		MachineLag: 5 * time.Second,
	}
	for i := range hosts {
		zone := i % zones
		h := &host{
			Host: fleet.Host{
				Name:    fmt.Sprintf("host-%03d", i),
				Zone:    fmt.Sprintf("zone-%02d", zone),
				Region:  fmt.Sprintf("region-%d", zone%regions),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000),
			},
		}
		sim.hosts = append(sim.hosts, h)
		sim.byName[h.Name] = h
		sim.registerHost(h, objectstore.Live)
	}
	sim.put(tableFeed + "head")
	sim.put(keysFeed + "first")
	sim.advance(6 * time.Second)
	for _, h := range sim.hosts {
		sim.startProcess(h, settings)
	}
	return sim
}

func (sim *simulation) registerHost(h *host, state objectstore.MachineState) {
	sim.memory.RegisterMachine(objectstore.Machine{
		Name:    h.Name,
		Kind:    objectstore.EntryHost,
		Region:  h.Region,
		Zone:    h.Zone,
		Address: h.Address,
		State:   state,
	})
}

// clock returns the time, which is the same on all hosts.
func (sim *simulation) clock() time.Time {
	return time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC).Add(sim.elapsed)
}

func (sim *simulation) now() time.Duration { return sim.elapsed }

func (sim *simulation) schedule(wait time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, event{
		dueAt: sim.now() + wait,
		seq:   sim.seq,
		run:   run,
	})
}

// advance runs the events of the next span of simulated time.
func (sim *simulation) advance(span time.Duration) {
	end := sim.now() + span
	for len(sim.queue) > 0 && sim.queue[0].dueAt <= end {
		next := heap.Pop(&sim.queue).(event)
		sim.elapsed = next.dueAt
		next.run()
	}
	sim.elapsed = end
}

// startProcess starts a process on the host. It has no state of an earlier one.
func (sim *simulation) startProcess(h *host, settings fleet.Settings) {
	h.startCount++
	h.processNumber++
	h.isKilled, h.isPaused, h.deferred = false, false, nil
	h.node = &fleet.Node{
		Self:        h.Host,
		Incarnation: uint64(sim.clock().UnixMilli()) + h.startCount,
		Clock:       sim.clock,
		Feeds: []fleet.Feed{
			{
				Prefix: tableFeed,
			},
			{
				Prefix:  keysFeed,
				HeadKey: keysHead,
			},
		},
		Settings: settings,
		Rand:     rand.New(rand.NewPCG(sim.random.Uint64(), h.startCount)),
		OnViolation: func(v fleet.Violation) {
			sim.t.Errorf("%s: %s (%s)", h.Name, v.Invariant, v.Feed)
		},
	}
	processNumber := h.processNumber
	sim.schedule(sim.jitter(500*time.Millisecond), func() { sim.tick(h, processNumber) })
	sim.schedule(sim.jitter(500*time.Millisecond), func() { sim.listMachines(h, processNumber) })
	for _, feed := range []string{
		tableFeed,
		keysFeed,
	} {
		sim.schedule(sim.jitter(500*time.Millisecond), func() { sim.readStore(h, processNumber, feed, watchWait(feed)) })
	}
}

func (sim *simulation) jitter(span time.Duration) time.Duration {
	return time.Duration(sim.random.Int64N(int64(span)))
}

// runOn runs a step in the host's process, or defers it while the process is
// paused.
func (sim *simulation) runOn(h *host, processNumber int, step func()) {
	if h.isKilled || h.processNumber != processNumber {
		return
	}
	if h.isPaused {
		h.deferred = append(h.deferred, step)
		return
	}
	step()
}

func (sim *simulation) tick(h *host, processNumber int) {
	sim.runOn(h, processNumber, func() {
		sim.send(h, h.node.Tick())
		sim.schedule(h.node.TickInterval(), func() { sim.tick(h, processNumber) })
	})
}

func (sim *simulation) send(from *host, envelopes []fleet.Envelope) {
	for _, envelope := range envelopes {
		to := sim.byName[envelope.To.Name]
		if sim.onSend != nil {
			sim.onSend(from, to, envelope.Message)
		}
		copies := 1
		if sim.random.Float64() < sim.duplicateRate {
			copies++
		}
		for range copies {
			if sim.random.Float64() < sim.lossRate || sim.isDisconnected != nil && sim.isDisconnected(from, to) {
				continue
			}
			processNumber := to.processNumber
			sim.schedule(sim.latency(from.Host, to.Host), func() {
				sim.runOn(to, processNumber, func() { sim.send(to, to.node.Receive(envelope.Message)) })
			})
		}
	}
}

// latency returns the one-way network time between two hosts.
func (sim *simulation) latency(from, to fleet.Host) time.Duration {
	extra := time.Millisecond
	if sim.maxExtraDelay > 0 {
		extra += sim.jitter(sim.maxExtraDelay)
	}
	if from.Region != to.Region {
		return 55*time.Millisecond + extra
	}
	return extra
}

// readStore reads a feed as FeedReader does. The store is in the region of the
// first host.
func (sim *simulation) readStore(h *host, processNumber int, feed string, wait time.Duration) {
	sim.runOn(h, processNumber, func() {
		retry := func(pause, wait time.Duration) {
			sim.schedule(pause, func() { sim.readStore(h, processNumber, feed, wait) })
		}
		if !h.node.ShouldReadStore(feed) {
			retry(h.node.TickInterval(), watchWait(feed))
			return
		}
		oneWay := sim.latency(h.Host, sim.hosts[0].Host)
		sim.storeCalls.Add(objectstore.WatchCall)
		began, after := h.node.BeginRead(feed)
		onResult := func(changes objectstore.VersionedObjects, err error) {
			if err != nil || h.isCutFromStore {
				sim.schedule(readTimeout, func() {
					sim.runOn(h, processNumber, func() { h.node.RecordStoreUnreachable(feed, began) })
					retry(readRetryDelay, 0)
				})
				return
			}
			sim.schedule(oneWay, func() {
				sim.runOn(h, processNumber, func() { sim.applyChanges(h, feed, began, changes) })
				retry(0, watchWait(feed))
			})
		}
		sim.schedule(oneWay, func() { sim.watch(feed, after, wait, onResult) })
	})
}

// applyChanges handles the result of a watch as FeedReader does.
func (sim *simulation) applyChanges(h *host, feed string, began time.Duration, changes objectstore.VersionedObjects) {
	if feed == keysFeed {
		sim.storeCalls.Add(objectstore.GetCall)
		head, err := sim.memory.Get(sim.t.Context(), keysHead)
		if err == nil && head.Version > changes.Next {
			sim.storeCalls.Add(objectstore.ListCall)
			objects, err := sim.memory.List(sim.t.Context(), feed)
			if err == nil {
				h.node.ApplyListResult(feed, began, objects)
			}
			return
		}
	}
	h.node.ApplyWatchResult(feed, began, changes)
}

// watchWait returns how long FeedReader waits for changes of the feed.
func watchWait(feed string) time.Duration {
	if feed == keysFeed {
		return watchWaitWithHeadKey
	}
	return watchWaitWithoutHeadKey
}

// watch returns changes at once if there are any, or the result after the wait.
func (sim *simulation) watch(feed string, after objectstore.Version, wait time.Duration, onResult func(objectstore.VersionedObjects, error)) {
	changes, err := sim.memory.Watch(sim.t.Context(), feed, after, 0)
	if err != nil || len(changes.Objects) > 0 || wait == 0 {
		onResult(changes, err)
		return
	}
	step := min(wait, watchCheckInterval)
	sim.schedule(step, func() { sim.watch(feed, after, wait-step, onResult) })
}

func (sim *simulation) listMachines(h *host, processNumber int) {
	sim.runOn(h, processNumber, func() {
		if h.node.IsStoreReader() || len(h.node.Members()) == 1 {
			sim.storeCalls.Add(objectstore.MachinesCall)
			machines, err := sim.memory.Machines(sim.t.Context())
			if err == nil {
				h.node.SetMachines(machines)
			}
		}
		sim.schedule(5*time.Second, func() { sim.listMachines(h, processNumber) })
	})
}

// put writes a key and returns its version.
func (sim *simulation) put(key string) objectstore.Version {
	version, err := sim.memory.Put(sim.t.Context(), key, []byte("value"), nil)
	require.NoError(sim.t, err)
	return version
}

// resume continues a paused process, first with onResume and then with the
// deferred steps.
func (sim *simulation) resume(h *host) {
	h.isPaused = false
	if sim.onResume != nil {
		sim.onResume(h)
	}
	deferred := h.deferred
	h.deferred = nil
	for _, step := range deferred {
		step()
	}
}

// waitForVersion advances the simulation until every given host that runs has
// the version or the limit has passed, and returns the time that it took.
func (sim *simulation) waitForVersion(feed string, version objectstore.Version, hosts []*host, limit time.Duration) time.Duration {
	began := sim.now()
	for sim.now()-began <= limit {
		behind := 0
		for _, h := range hosts {
			if !h.isKilled && !h.isPaused && h.node.FeedVersion(feed) < version {
				behind++
			}
		}
		if behind == 0 {
			return sim.now() - began
		}
		sim.advance(50 * time.Millisecond)
	}
	return sim.now() - began
}

// removeFaults removes the faults of the network and the store.
func (sim *simulation) removeFaults() {
	sim.memory.SetFaults(store.Faults{})
	sim.lossRate, sim.duplicateRate, sim.maxExtraDelay, sim.isDisconnected = 0, 0, 0, nil
	for _, h := range sim.hosts {
		h.isCutFromStore = false
	}
}
