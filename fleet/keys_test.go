package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/objectstore"
)

const (
	// bound is how long a withdrawn key may live.
	bound = 5 * time.Second
	// requestStep is the time between two keyed requests at each host.
	requestStep = 100 * time.Millisecond
	// withdrawStep is the time between two withdrawals.
	withdrawStep = 3 * time.Second
)

// policy decides whether a host serves a keyed request now.
type policy struct {
	name   string
	serves func(node *fleet.Node) bool
	// refused counts requests refused and stale those served by a view that
	// lacked an accepted withdrawal written longer ago than the bound.
	refused int
	stale   int
	// life is the longest that a withdrawn key was served.
	life time.Duration
}

// policies returns the node's own rule and its rivals.
func policies() []*policy {
	return []*policy{
		{
			name:   "serve on",
			serves: func(*fleet.Node) bool { return true },
		},
		{
			name: "refuse past the bound",
			serves: func(node *fleet.Node) bool {
				age, ok := node.ConfirmationAge(keysFeed)
				return ok && age <= bound
			},
		},
		{
			name:   "confirmation",
			serves: func(node *fleet.Node) bool { return node.CheckConfirmed(keysFeed) == nil },
		},
	}
}

// trial sends keyed requests to all hosts while keys are withdrawn.
type trial struct {
	*world
	policies  []*policy
	withdrawn []withdrawal
	requests  int
	// over ends the requests and withdrawals.
	over bool
}

// withdrawal is a key withdrawn by a write to the store. It is accepted once
// running hosts of two zones hold it: the operator is told so no sooner, since
// a write that nobody read before the store went down is known to nobody.
type withdrawal struct {
	version  objectstore.Version
	written  time.Duration
	accepted bool
}

func newTrial(w *world) *trial {
	r := &trial{
		world:    w,
		policies: policies(),
	}
	w.request = r.ask
	w.after(0, r.askAll)
	w.after(0, r.withdraw)
	return r
}

func (r *trial) withdraw() {
	if r.over {
		return
	}
	if !r.memory.Faults().Down {
		version := r.put(keysFeed + "withdrawn")
		r.put(keysHead)
		r.withdrawn = append(r.withdrawn, withdrawal{
			version: version,
			written: r.now(),
		})
	}
	r.after(withdrawStep, r.withdraw)
}

// accept marks the withdrawals that hosts of two zones hold.
func (r *trial) accept() {
	for i := range r.withdrawn {
		key := &r.withdrawn[i]
		zones := make(map[string]bool)
		for _, h := range r.hosts {
			if !key.accepted && !h.dead && !h.frozen && h.node.FeedVersion(keysFeed) >= key.version {
				zones[h.Zone] = true
			}
		}
		key.accepted = key.accepted || len(zones) >= 2
	}
}

func (r *trial) askAll() {
	if r.over {
		return
	}
	r.accept()
	for _, h := range r.hosts {
		if !h.dead && !h.frozen {
			r.ask(h)
		}
	}
	r.after(requestStep, r.askAll)
}

func (r *trial) ask(h *host) {
	r.requests++
	held := h.node.FeedVersion(keysFeed)
	for _, p := range r.policies {
		if !p.serves(h.node) {
			p.refused++
			continue
		}
		life := r.longestLife(held)
		p.life = max(p.life, life)
		if life > bound {
			p.stale++
		}
	}
}

// longestLife returns how long ago the oldest accepted withdrawal was written
// that the version lacks.
func (r *trial) longestLife(held objectstore.Version) time.Duration {
	for _, key := range r.withdrawn {
		if held < key.version && key.accepted {
			return r.now() - key.written
		}
	}
	return 0
}

func (r *trial) report(name string) {
	unaccepted := 0
	for _, key := range r.withdrawn {
		if !key.accepted {
			unaccepted++
		}
	}
	r.t.Logf("%-34s withdrawals written %d, of them not accepted %d", name, len(r.withdrawn), unaccepted)
	for _, p := range r.policies {
		r.t.Logf("%-34s %-22s requests %7d, refused %6d (%.1f%%), stale %6d, longest life %s",
			name, p.name, r.requests, p.refused, 100*float64(p.refused)/float64(r.requests), p.stale, p.life)
	}
}

// own returns the node's own rule.
func (r *trial) own() *policy { return r.policies[len(r.policies)-1] }

// scenario is a fault that begins after some seconds and ends before the last
// ones.
type scenario struct {
	name  string
	span  time.Duration
	begin func(r *trial)
	end   func(r *trial)
}

func scenarios() []scenario {
	down := func(r *trial) {
		r.memory.SetFaults(store.Faults{
			Down: true,
		})
	}
	up := func(r *trial) { r.memory.SetFaults(store.Faults{}) }
	return []scenario{
		{
			name:  "store down for an hour",
			span:  time.Hour,
			begin: down,
			end:   up,
		},
		{
			name: "store down, one host killed",
			span: 2 * time.Minute,
			begin: func(r *trial) {
				down(r)
				r.after(20*time.Second, func() {
					r.hosts[4].dead = true
					r.memory.UnregisterMachine(r.hosts[4].Name)
				})
			},
			end: up,
		},
		{
			name: "store down, one host restarted",
			span: 2 * time.Minute,
			begin: func(r *trial) {
				down(r)
				r.after(20*time.Second, func() { r.boot(r.hosts[4], fleet.Settings{}) })
			},
			end: up,
		},
		{
			name:  "one host cut off from the store",
			span:  2 * time.Minute,
			begin: func(r *trial) { r.hosts[4].cutStore = true },
			end:   func(r *trial) { r.hosts[4].cutStore = false },
		},
		{
			name: "one host cut off from all",
			span: 2 * time.Minute,
			begin: func(r *trial) {
				r.hosts[4].cutStore = true
				r.cut = func(from, to *host) bool { return from == r.hosts[4] || to == r.hosts[4] }
			},
			end: func(r *trial) {
				r.hosts[4].cutStore = false
				r.cut = nil
			},
		},
		{
			name: "one host hears nobody",
			span: 2 * time.Minute,
			begin: func(r *trial) {
				r.hosts[4].cutStore = true
				r.cut = func(_, to *host) bool { return to == r.hosts[4] }
			},
			end: func(r *trial) {
				r.hosts[4].cutStore = false
				r.cut = nil
			},
		},
		{
			name: "a region cut off from the others",
			span: 2 * time.Minute,
			begin: func(r *trial) {
				for _, h := range r.hosts {
					h.cutStore = h.Region == "region-1"
				}
				r.cut = func(from, to *host) bool { return (from.Region == "region-1") != (to.Region == "region-1") }
			},
			end: func(r *trial) {
				for _, h := range r.hosts {
					h.cutStore = false
				}
				r.cut = nil
			},
		},
		{
			name: "watches of the store lag",
			span: 2 * time.Minute,
			begin: func(r *trial) {
				r.memory.SetFaults(store.Faults{
					StaleWatch: true,
				})
			},
			end: up,
		},
		{
			name:  "one host frozen for 30 s",
			span:  30 * time.Second,
			begin: func(r *trial) { r.hosts[4].frozen = true },
			end:   func(r *trial) { r.thaw(r.hosts[4]) },
		},
	}
}

// TestWithdrawnKeysUnderEachCut gives for each cut what the rules cost: keyed
// requests refused against seconds that a withdrawn key lives.
func TestWithdrawnKeysUnderEachCut(t *testing.T) {
	t.Parallel()
	for _, s := range scenarios() {
		r := newTrial(settled(t, 2, 7, 6, 3))
		r.run(10 * time.Second)
		s.begin(r)
		r.run(s.span)
		s.end(r)
		r.run(30 * time.Second)
		r.report(s.name)
		require.Zero(t, r.own().stale, s.name)
		for _, h := range r.hosts {
			if !h.dead {
				require.NoError(t, h.node.CheckConfirmed(keysFeed), "%s must serve again", h.Name)
			}
			require.Zero(t, h.node.ViolationCount())
		}
	}
}

// TestWithdrawnKeysUnderRandomFaults freezes, cuts, kills and restarts hosts
// at random, together and twice, with a lossy network and store outages. The
// small fleet has readers only, the large one two levels below them.
func TestWithdrawnKeysUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		randomFaults(t, seed, 14, 6, 3)
	}
	for seed := range uint64(2) {
		randomFaults(t, seed, 60, 2, 2)
	}
}

func randomFaults(t *testing.T, seed uint64, hosts, zones, regions int) {
	r := newTrial(settled(t, seed, hosts, zones, regions))
	r.loss, r.twice, r.slow = 0.01, 0.02, 20*time.Millisecond
	cuts := make(map[string]bool)
	r.cut = func(from, to *host) bool { return cuts[from.Name+to.Name] || cuts[from.Name] }
	for range 120 {
		r.disturb(cuts)
		r.run(time.Duration(r.random.IntN(6000)) * time.Millisecond)
	}
	r.report(fmt.Sprintf("%d hosts, random faults, seed %d", hosts, seed))
	require.Zero(t, r.own().stale)
	require.Less(t, r.own().refused, r.requests)
	for _, h := range r.hosts {
		require.Zero(t, h.node.ViolationCount())
	}
}

// disturb begins or ends one fault.
func (r *trial) disturb(cuts map[string]bool) {
	h, other := r.anyHost(), r.anyHost()
	switch r.random.IntN(9) {
	case 0:
		if !h.dead {
			h.frozen = true
		}
	case 1:
		for _, h := range r.hosts {
			if h.frozen {
				r.thaw(h)
			}
		}
	case 2:
		cuts[h.Name+other.Name] = !cuts[h.Name+other.Name]
	case 3:
		cuts[h.Name] = !cuts[h.Name]
	case 4:
		h.cutStore = !h.cutStore
	case 5:
		r.boot(h, fleet.Settings{})
	case 6:
		r.memory.SetFaults(store.Faults{
			Down:       r.random.IntN(3) == 0,
			StaleWatch: r.random.IntN(3) == 0,
		})
	case 7:
		h.dead = true
	case 8:
		clear(cuts)
		for _, h := range r.hosts {
			h.cutStore = false
		}
	}
}

func (r *trial) anyHost() *host { return r.hosts[r.random.IntN(len(r.hosts))] }
