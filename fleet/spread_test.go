package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/internal/standin/store"
)

const (
	// maxPropagationTime is how long a change may take to reach every running
	// host.
	maxPropagationTime = 11 * time.Second
	// The size of the largest supported fleet.
	maxHosts   = 650
	maxZones   = 14
	maxRegions = 4
)

// propagationFaults returns the faults under which the propagation of a change
// is tested.
func propagationFaults() []faultScenario {
	return []faultScenario{
		{
			name:   "no fault",
			inject: func(*keyWorkload) {},
		},
		{
			name:   "messages lost, duplicated and delayed",
			inject: func(w *keyWorkload) { w.lossRate, w.duplicateRate, w.maxExtraDelay = 0.05, 0.05, 100*time.Millisecond },
		},
		{
			name: "a zone cut off from the store",
			inject: func(w *keyWorkload) {
				for _, h := range w.hosts {
					h.isCutFromStore = h.Zone == "zone-05"
				}
			},
		},
		{
			name: "all readers of a zone killed",
			inject: func(w *keyWorkload) {
				for _, h := range w.hosts {
					h.isKilled = h.isKilled || h.Zone == "zone-09" && h.node.IsStoreReader()
				}
			},
		},
		{
			name: "watches lag and a tenth of the hosts restart",
			inject: func(w *keyWorkload) {
				w.memory.SetFaults(store.Faults{
					StaleReads: true,
				})
				for i, h := range w.hosts {
					if i%10 == 0 && !h.isKilled {
						w.startProcess(h, fleet.Settings{})
					}
				}
			},
		},
	}
}

// checkChangePropagation writes a change under each fault and checks the time
// until every running host has it. The next change follows 1 s later, so that
// changes are several times as frequent as specified for the system.
func checkChangePropagation(t *testing.T, sim *simulation) {
	w := &keyWorkload{
		simulation: sim,
	}
	for _, s := range propagationFaults() {
		s.inject(w)
		version := sim.put(tableFeed + "head")
		took := sim.waitForVersion(tableFeed, version, sim.hosts, maxPropagationTime)
		t.Logf("%-45s on all running hosts after %s", s.name, took)
		require.LessOrEqual(t, took, maxPropagationTime, s.name)
		sim.advance(time.Second)
		sim.removeFaults()
	}
}
