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
	// storeTimeout and storePause are those of the real reader.
	storeTimeout = 600 * time.Millisecond
	storePause   = 250 * time.Millisecond
	storeWait    = 500 * time.Millisecond
	changeWait   = 4 * time.Second
	watchStep    = 250 * time.Millisecond
)

// world runs nodes over a fake network on a clock of its own, one event at a
// time, so that the seed decides everything.
type world struct {
	t      testing.TB
	random *rand.Rand
	at     time.Duration
	memory *store.Memory
	hosts  []*host
	byName map[string]*host
	queue  queue
	seq    int
	loss   float64
	twice  float64
	slow   time.Duration
	cut    func(from, to *host) bool
	// calls counts the calls to the platform, a waiting watch as one.
	calls objectstore.CallCounter
	// watched, if set, sees each message that is sent.
	watched func(from, to *host, message fleet.Message)
	// request is made at a host that thaws, before anything else.
	request func(h *host)
}

type host struct {
	fleet.Host
	node     *fleet.Node
	starts   uint64
	dead     bool
	frozen   bool
	cutStore bool
	inbox    []func()
	// life counts starts, so that events of an earlier process are ignored.
	life int
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// newWorld starts hosts spread over zones, and zones over regions.
func newWorld(t testing.TB, seed uint64, hosts, zones, regions int, settings fleet.Settings) *world {
	w := &world{
		t:      t,
		random: rand.New(rand.NewPCG(seed, 7)),
		byName: make(map[string]*host),
	}
	w.memory = &store.Memory{
		Clock:      w.clock,
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
		w.hosts = append(w.hosts, h)
		w.byName[h.Name] = h
		w.list(h, objectstore.Live)
	}
	w.put(tableFeed + "head")
	w.put(keysFeed + "first")
	w.run(6 * time.Second)
	for _, h := range w.hosts {
		w.boot(h, settings)
	}
	return w
}

func (w *world) list(h *host, state objectstore.MachineState) {
	w.memory.RegisterMachine(objectstore.Machine{
		Name:    h.Name,
		Kind:    objectstore.EntryHost,
		Region:  h.Region,
		Zone:    h.Zone,
		Address: h.Address,
		State:   state,
	})
}

// clock is the time on all hosts.
func (w *world) clock() time.Time {
	return time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC).Add(w.at)
}

func (w *world) now() time.Duration { return w.at }

func (w *world) after(wait time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{
		at:  w.now() + wait,
		seq: w.seq,
		run: run,
	})
}

// run handles events for a while.
func (w *world) run(span time.Duration) {
	end := w.now() + span
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.at = next.at
		next.run()
	}
	w.at = end
}

// boot starts a process on the host, with nothing kept from an earlier one.
func (w *world) boot(h *host, settings fleet.Settings) {
	h.starts++
	h.life++
	h.dead, h.frozen, h.inbox = false, false, nil
	h.node = &fleet.Node{
		Self:        h.Host,
		Incarnation: uint64(w.clock().UnixMilli()) + h.starts,
		Clock:       w.clock,
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
		Rand:     rand.New(rand.NewPCG(w.random.Uint64(), h.starts)),
		OnViolation: func(v fleet.Violation) {
			w.t.Errorf("%s: %s (%s)", h.Name, v.Invariant, v.Feed)
		},
	}
	life := h.life
	w.after(w.jitter(500*time.Millisecond), func() { w.tick(h, life) })
	w.after(w.jitter(500*time.Millisecond), func() { w.listMachines(h, life) })
	for _, feed := range []string{
		tableFeed,
		keysFeed,
	} {
		w.after(w.jitter(500*time.Millisecond), func() { w.read(h, life, feed, waitOf(feed)) })
	}
}

func (w *world) jitter(span time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(span)))
}

// on runs the step in the host's process, after a freeze if there is one.
func (w *world) on(h *host, life int, step func()) {
	if h.dead || h.life != life {
		return
	}
	if h.frozen {
		h.inbox = append(h.inbox, step)
		return
	}
	step()
}

func (w *world) tick(h *host, life int) {
	w.on(h, life, func() {
		w.send(h, h.node.Tick())
		w.after(h.node.TickInterval(), func() { w.tick(h, life) })
	})
}

func (w *world) send(from *host, envelopes []fleet.Envelope) {
	for _, envelope := range envelopes {
		to := w.byName[envelope.To.Name]
		if w.watched != nil {
			w.watched(from, to, envelope.Message)
		}
		copies := 1
		if w.random.Float64() < w.twice {
			copies++
		}
		for range copies {
			if w.random.Float64() < w.loss || w.cut != nil && w.cut(from, to) {
				continue
			}
			life := to.life
			w.after(w.distance(from.Host, to.Host), func() {
				w.on(to, life, func() { w.send(to, to.node.Receive(envelope.Message)) })
			})
		}
	}
}

// distance is the one-way time between hosts.
func (w *world) distance(from, to fleet.Host) time.Duration {
	extra := time.Millisecond
	if w.slow > 0 {
		extra += w.jitter(w.slow)
	}
	if from.Region != to.Region {
		return 55*time.Millisecond + extra
	}
	return extra
}

// read calls the store as the reader does; it stands in the first region.
func (w *world) read(h *host, life int, feed string, wait time.Duration) {
	w.on(h, life, func() {
		again := func(pause, wait time.Duration) {
			w.after(pause, func() { w.read(h, life, feed, wait) })
		}
		if !h.node.ShouldReadStore(feed) {
			again(h.node.TickInterval(), waitOf(feed))
			return
		}
		way := w.distance(h.Host, w.hosts[0].Host)
		w.calls.Add(objectstore.WatchCall)
		began, after := h.node.BeginRead(feed)
		answer := func(changes objectstore.Changes, err error) {
			if err != nil || h.cutStore {
				w.after(storeTimeout, func() {
					w.on(h, life, func() { h.node.RecordStoreUnreachable(feed, began) })
					again(storePause, 0)
				})
				return
			}
			w.after(way, func() {
				w.on(h, life, func() { w.takeChanges(h, feed, began, changes) })
				again(0, waitOf(feed))
			})
		}
		w.after(way, func() { w.watch(feed, after, wait, answer) })
	})
}

// takeChanges does what the reader does with the answer to a watch.
func (w *world) takeChanges(h *host, feed string, began time.Duration, changes objectstore.Changes) {
	if feed == keysFeed {
		w.calls.Add(objectstore.GetCall)
		head, err := w.memory.Get(w.t.Context(), keysHead)
		if err == nil && head.Version > changes.Next {
			w.calls.Add(objectstore.ListCall)
			objects, err := w.memory.List(w.t.Context(), feed)
			if err == nil {
				h.node.ApplyListResult(feed, began, objects)
			}
			return
		}
	}
	h.node.ApplyWatchResult(feed, began, changes)
}

// waitOf is how long the reader waits for changes of a feed.
func waitOf(feed string) time.Duration {
	if feed == keysFeed {
		return storeWait
	}
	return changeWait
}

// watch answers at once if there are changes, else after the wait.
func (w *world) watch(feed string, after objectstore.Version, wait time.Duration, answer func(objectstore.Changes, error)) {
	changes, err := w.memory.Watch(w.t.Context(), feed, after, 0)
	if err != nil || len(changes.Objects) > 0 || wait == 0 {
		answer(changes, err)
		return
	}
	step := min(wait, watchStep)
	w.after(step, func() { w.watch(feed, after, wait-step, answer) })
}

func (w *world) listMachines(h *host, life int) {
	w.on(h, life, func() {
		if h.node.IsStoreReader() || len(h.node.Members()) == 1 {
			w.calls.Add(objectstore.MachinesCall)
			machines, err := w.memory.Machines(w.t.Context())
			if err == nil {
				h.node.SetMachines(machines)
			}
		}
		w.after(5*time.Second, func() { w.listMachines(h, life) })
	})
}

// put writes a key and returns its version.
func (w *world) put(key string) objectstore.Version {
	version, err := w.memory.Put(w.t.Context(), key, []byte("value"), nil)
	require.NoError(w.t, err)
	return version
}

// thaw lets a frozen process go on: first with the request in its hands, then
// with what has piled up.
func (w *world) thaw(h *host) {
	h.frozen = false
	if w.request != nil {
		w.request(h)
	}
	inbox := h.inbox
	h.inbox = nil
	for _, step := range inbox {
		step()
	}
}

// inForce runs until every given host has the version, and returns how long it
// took.
func (w *world) inForce(feed string, version objectstore.Version, hosts []*host, limit time.Duration) time.Duration {
	began := w.now()
	for w.now()-began <= limit {
		behind := 0
		for _, h := range hosts {
			if !h.dead && !h.frozen && h.node.FeedVersion(feed) < version {
				behind++
			}
		}
		if behind == 0 {
			return w.now() - began
		}
		w.run(50 * time.Millisecond)
	}
	return w.now() - began
}

// heal ends the faults of the network and the store.
func (w *world) heal() {
	w.memory.SetFaults(store.Faults{})
	w.loss, w.twice, w.slow, w.cut = 0, 0, 0, nil
	for _, h := range w.hosts {
		h.cutStore = false
	}
}
