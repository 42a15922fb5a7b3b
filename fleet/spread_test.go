package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
)

const (
	// inForceBound is how long a change may take to every reachable host.
	inForceBound = 11 * time.Second
	// The size to design for.
	manyHosts   = 650
	manyZones   = 14
	manyRegions = 4
)

// spreadFaults are in force while a change spreads.
func spreadFaults() []scenario {
	return []scenario{
		{
			name:  "no fault",
			begin: func(*trial) {},
		},
		{
			name:  "messages lost, repeated and slow",
			begin: func(r *trial) { r.loss, r.twice, r.slow = 0.05, 0.05, 100*time.Millisecond },
		},
		{
			name: "a zone cut off from the store",
			begin: func(r *trial) {
				for _, h := range r.hosts {
					h.cutStore = h.Zone == "zone-05"
				}
			},
		},
		{
			name: "all readers of a zone killed",
			begin: func(r *trial) {
				for _, h := range r.hosts {
					h.dead = h.dead || h.Zone == "zone-09" && h.node.IsStoreReader()
				}
			},
		},
		{
			name: "watches lag and a tenth of the hosts restart",
			begin: func(r *trial) {
				r.memory.SetFaults(store.Faults{
					StaleReads: true,
				})
				for i, h := range r.hosts {
					if i%10 == 0 && !h.dead {
						r.boot(h, fleet.Settings{})
					}
				}
			},
		},
	}
}

// changeInForce publishes changes at several times the stated rate, one as soon
// as the last is in force.
func changeInForce(t *testing.T, w *world) {
	r := &trial{
		world: w,
	}
	for _, s := range spreadFaults() {
		s.begin(r)
		version := w.put(tableFeed + "head")
		took := w.inForce(tableFeed, version, w.hosts, inForceBound)
		t.Logf("%-45s in force on all reachable hosts after %s", s.name, took)
		require.LessOrEqual(t, took, inForceBound, s.name)
		w.run(time.Second)
		w.heal()
	}
}
