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
	// maxUseAfterWithdrawal is how long a request with a key may be admitted after
	// the key's withdrawal was written.
	maxUseAfterWithdrawal = 5 * time.Second
	// requestInterval is the time between two keyed requests at each host.
	requestInterval = 100 * time.Millisecond
	// withdrawalInterval is the time between two withdrawals of keys.
	withdrawalInterval = 3 * time.Second
)

// policy decides whether a host admits or rejects a request with a key, with
// the results of applying it.
type policy struct {
	name        string
	shouldAdmit func(node *fleet.Node) bool
	// rejected counts rejected requests. admittedStale counts requests admitted by
	// hosts whose view lacked an acknowledged withdrawal that was written more
	// than maxUseAfterWithdrawal before.
	rejected      int
	admittedStale int
	// longestUse is the longest time after its withdrawal that a key was admitted.
	longestUse time.Duration
}

// policies returns two policies for comparison and, as the last one, the node's
// own policy.
func policies() []*policy {
	return []*policy{
		{
			name:        "never reject",
			shouldAdmit: func(*fleet.Node) bool { return true },
		},
		{
			name: "reject when too old",
			shouldAdmit: func(node *fleet.Node) bool {
				age, ok := node.ConfirmationAge(keysFeed)
				return ok && age <= maxUseAfterWithdrawal
			},
		},
		{
			name:        "CheckConfirmed",
			shouldAdmit: func(node *fleet.Node) bool { return node.CheckConfirmed(keysFeed) == nil },
		},
	}
}

// keyWorkload withdraws keys and sends keyed requests to all hosts.
type keyWorkload struct {
	*simulation
	policies    []*policy
	withdrawals []withdrawal
	requests    int
	// stopped is set to end the requests and withdrawals.
	stopped bool
}

// withdrawal is a key that was withdrawn by a write to the store. It counts as
// acknowledged once running hosts of two zones have the write; if the store goes
// down before any host has read it, no host can enforce it.
type withdrawal struct {
	version      objectstore.Version
	written      time.Duration
	acknowledged bool
}

func newKeyWorkload(sim *simulation) *keyWorkload {
	w := &keyWorkload{
		simulation: sim,
		policies:   policies(),
	}
	sim.onResume = w.sendRequest
	sim.schedule(0, w.sendRequests)
	sim.schedule(0, w.withdrawKey)
	return w
}

func (w *keyWorkload) withdrawKey() {
	if w.stopped {
		return
	}
	if !w.memory.Faults().Down {
		version := w.put(keysFeed + "withdrawn")
		w.put(keysHead)
		w.withdrawals = append(w.withdrawals, withdrawal{
			version: version,
			written: w.now(),
		})
	}
	w.schedule(withdrawalInterval, w.withdrawKey)
}

// acknowledgeWithdrawals marks the withdrawals that hosts of two zones have.
func (w *keyWorkload) acknowledgeWithdrawals() {
	for i := range w.withdrawals {
		wd := &w.withdrawals[i]
		zones := make(map[string]bool)
		for _, h := range w.hosts {
			if !wd.acknowledged && !h.isKilled && !h.isPaused && h.node.FeedVersion(keysFeed) >= wd.version {
				zones[h.Zone] = true
			}
		}
		wd.acknowledged = wd.acknowledged || len(zones) >= 2
	}
}

func (w *keyWorkload) sendRequests() {
	if w.stopped {
		return
	}
	w.acknowledgeWithdrawals()
	for _, h := range w.hosts {
		if !h.isKilled && !h.isPaused {
			w.sendRequest(h)
		}
	}
	w.schedule(requestInterval, w.sendRequests)
}

func (w *keyWorkload) sendRequest(h *host) {
	w.requests++
	version := h.node.FeedVersion(keysFeed)
	for _, p := range w.policies {
		if !p.shouldAdmit(h.node) {
			p.rejected++
			continue
		}
		use := w.useAfterWithdrawal(version)
		p.longestUse = max(p.longestUse, use)
		if use > maxUseAfterWithdrawal {
			p.admittedStale++
		}
	}
}

// useAfterWithdrawal returns the time since the oldest acknowledged withdrawal
// that the version lacks was written, or zero if it lacks none.
func (w *keyWorkload) useAfterWithdrawal(version objectstore.Version) time.Duration {
	for _, wd := range w.withdrawals {
		if version < wd.version && wd.acknowledged {
			return w.now() - wd.written
		}
	}
	return 0
}

func (w *keyWorkload) report(name string) {
	unacknowledged := 0
	for _, wd := range w.withdrawals {
		if !wd.acknowledged {
			unacknowledged++
		}
	}
	w.t.Logf("%-34s withdrawals written %d, of them not acknowledged %d", name, len(w.withdrawals), unacknowledged)
	for _, p := range w.policies {
		w.t.Logf("%-34s %-22s requests %7d, rejected %6d (%.1f%%), admitted stale %6d, longest use after withdrawal %s",
			name, p.name, w.requests, p.rejected, 100*float64(p.rejected)/float64(w.requests), p.admittedStale, p.longestUse)
	}
}

// nodePolicy returns the node's own rule.
func (w *keyWorkload) nodePolicy() *policy { return w.policies[len(w.policies)-1] }

// faultScenario is a fault that lasts for a time. The simulation runs without
// the fault before and after it.
type faultScenario struct {
	name     string
	duration time.Duration
	inject   func(w *keyWorkload)
	remove   func(w *keyWorkload)
}

func faultScenarios() []faultScenario {
	down := func(w *keyWorkload) {
		w.memory.SetFaults(store.Faults{
			Down: true,
		})
	}
	up := func(w *keyWorkload) { w.memory.SetFaults(store.Faults{}) }
	return []faultScenario{
		{
			name:     "store down for an hour",
			duration: time.Hour,
			inject:   down,
			remove:   up,
		},
		{
			name:     "store down, one host killed",
			duration: 2 * time.Minute,
			inject: func(w *keyWorkload) {
				down(w)
				w.schedule(20*time.Second, func() {
					w.hosts[4].isKilled = true
					w.memory.UnregisterMachine(w.hosts[4].Name)
				})
			},
			remove: up,
		},
		{
			name:     "store down, one host restarted",
			duration: 2 * time.Minute,
			inject: func(w *keyWorkload) {
				down(w)
				w.schedule(20*time.Second, func() { w.startProcess(w.hosts[4], fleet.Settings{}) })
			},
			remove: up,
		},
		{
			name:     "one host cut off from the store",
			duration: 2 * time.Minute,
			inject:   func(w *keyWorkload) { w.hosts[4].isCutFromStore = true },
			remove:   func(w *keyWorkload) { w.hosts[4].isCutFromStore = false },
		},
		{
			name:     "one host cut off from the store and all hosts",
			duration: 2 * time.Minute,
			inject: func(w *keyWorkload) {
				w.hosts[4].isCutFromStore = true
				w.isDisconnected = func(from, to *host) bool { return from == w.hosts[4] || to == w.hosts[4] }
			},
			remove: func(w *keyWorkload) {
				w.hosts[4].isCutFromStore = false
				w.isDisconnected = nil
			},
		},
		{
			name:     "one host receives no messages",
			duration: 2 * time.Minute,
			inject: func(w *keyWorkload) {
				w.hosts[4].isCutFromStore = true
				w.isDisconnected = func(_, to *host) bool { return to == w.hosts[4] }
			},
			remove: func(w *keyWorkload) {
				w.hosts[4].isCutFromStore = false
				w.isDisconnected = nil
			},
		},
		{
			name:     "a region cut off from the others",
			duration: 2 * time.Minute,
			inject: func(w *keyWorkload) {
				for _, h := range w.hosts {
					h.isCutFromStore = h.Region == "region-1"
				}
				w.isDisconnected = func(from, to *host) bool { return (from.Region == "region-1") != (to.Region == "region-1") }
			},
			remove: func(w *keyWorkload) {
				for _, h := range w.hosts {
					h.isCutFromStore = false
				}
				w.isDisconnected = nil
			},
		},
		{
			name:     "watches of the store lag",
			duration: 2 * time.Minute,
			inject: func(w *keyWorkload) {
				w.memory.SetFaults(store.Faults{
					StaleWatch: true,
				})
			},
			remove: up,
		},
		{
			name:     "one host paused for 30 s",
			duration: 30 * time.Second,
			inject:   func(w *keyWorkload) { w.hosts[4].isPaused = true },
			remove:   func(w *keyWorkload) { w.resume(w.hosts[4]) },
		},
	}
}

// TestWithdrawnKeysAreRejectedUnderSingleFaults checks that the node's rule
// rejects requests rather than admit a key for longer than
// maxUseAfterWithdrawal after its withdrawal, and that it admits requests again
// after the fault. For each rule it logs the number of rejected requests and
// the longest use of a withdrawn key.
func TestWithdrawnKeysAreRejectedUnderSingleFaults(t *testing.T) {
	t.Parallel()
	for _, s := range faultScenarios() {
		w := newKeyWorkload(newConvergedSimulation(t, 2, 7, 6, 3))
		w.advance(10 * time.Second)
		s.inject(w)
		w.advance(s.duration)
		s.remove(w)
		w.advance(30 * time.Second)
		w.report(s.name)
		require.Zero(t, w.nodePolicy().admittedStale, s.name)
		for _, h := range w.hosts {
			if !h.isKilled {
				require.NoError(t, h.node.CheckConfirmed(keysFeed), "%s must serve again", h.Name)
			}
			require.Zero(t, h.node.ViolationCount())
		}
	}
}

// TestWithdrawnKeysAreRejectedUnderRandomFaults pauses, disconnects, kills and
// restarts hosts at random, with several faults at a time, while messages are
// lost and the store fails. In the fleet of 14 hosts every host is a store
// reader; in that of 60 hosts there are two levels of the tree below the store
// readers.
func TestWithdrawnKeysAreRejectedUnderRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		testRandomFaults(t, seed, 14, 6, 3)
	}
	for seed := range uint64(2) {
		testRandomFaults(t, seed, 60, 2, 2)
	}
}

func testRandomFaults(t *testing.T, seed uint64, hosts, zones, regions int) {
	w := newKeyWorkload(newConvergedSimulation(t, seed, hosts, zones, regions))
	w.lossRate, w.duplicateRate, w.maxExtraDelay = 0.01, 0.02, 20*time.Millisecond
	cuts := make(map[string]bool)
	w.isDisconnected = func(from, to *host) bool { return cuts[from.Name+to.Name] || cuts[from.Name] }
	for range 120 {
		w.changeRandomFault(cuts)
		w.advance(time.Duration(w.random.IntN(6000)) * time.Millisecond)
	}
	w.report(fmt.Sprintf("%d hosts, random faults, seed %d", hosts, seed))
	require.Zero(t, w.nodePolicy().admittedStale)
	require.Less(t, w.nodePolicy().rejected, w.requests)
	for _, h := range w.hosts {
		require.Zero(t, h.node.ViolationCount())
	}
}

// changeRandomFault starts or ends one random fault.
func (w *keyWorkload) changeRandomFault(cuts map[string]bool) {
	h, other := w.randomHost(), w.randomHost()
	switch w.random.IntN(9) {
	case 0:
		if !h.isKilled {
			h.isPaused = true
		}
	case 1:
		for _, h := range w.hosts {
			if h.isPaused {
				w.resume(h)
			}
		}
	case 2:
		cuts[h.Name+other.Name] = !cuts[h.Name+other.Name]
	case 3:
		cuts[h.Name] = !cuts[h.Name]
	case 4:
		h.isCutFromStore = !h.isCutFromStore
	case 5:
		w.startProcess(h, fleet.Settings{})
	case 6:
		w.memory.SetFaults(store.Faults{
			Down:       w.random.IntN(3) == 0,
			StaleWatch: w.random.IntN(3) == 0,
		})
	case 7:
		h.isKilled = true
	case 8:
		clear(cuts)
		for _, h := range w.hosts {
			h.isCutFromStore = false
		}
	}
}

func (w *keyWorkload) randomHost() *host { return w.hosts[w.random.IntN(len(w.hosts))] }
