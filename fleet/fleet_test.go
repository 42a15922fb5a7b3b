package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/objectstore"
)

// maxConvergenceTime is how long a fleet whose hosts all start at once may take
// until each host sees all others as live.
const maxConvergenceTime = time.Minute

// newConvergedSimulation starts a fleet and advances it until each host sees
// all others as live and has a confirmed view.
func newConvergedSimulation(t testing.TB, seed uint64, hosts, zones, regions int) *simulation {
	sim := newSimulation(t, seed, hosts, zones, regions, fleet.Settings{})
	began := sim.now()
	for !sim.isConverged() {
		require.Less(t, sim.now()-began, maxConvergenceTime)
		sim.advance(time.Second)
	}
	if hosts == maxHosts {
		t.Logf("%d hosts that start at once see each other as live after %s", hosts, sim.now()-began)
	}
	sim.advance(10 * time.Second)
	for _, h := range sim.hosts {
		require.NoError(t, h.node.CheckConfirmed(keysFeed))
	}
	return sim
}

// isConverged reports whether each host sees all others as live.
func (sim *simulation) isConverged() bool {
	for _, h := range sim.hosts {
		if len(h.node.LiveHosts()) < len(sim.hosts) {
			return false
		}
	}
	return true
}

func TestMembershipFollowsKillsDrainsAndRestarts(t *testing.T) {
	sim := newConvergedSimulation(t, 1, 70, 14, 4)
	killed, drained, restarted := sim.hosts[3], sim.hosts[17], sim.hosts[40]
	killed.isKilled = true
	sim.memory.UnregisterMachine(killed.Name)
	drained.node.StartDraining()
	sim.startProcess(restarted, fleet.Settings{})
	sim.advance(40 * time.Second)
	for _, h := range sim.hosts {
		if h == killed {
			continue
		}
		require.Len(t, h.node.LiveHosts(), 69, h.Name)
		require.True(t, h.node.IsDraining(drained.Name), h.Name)
		require.False(t, h.node.IsDraining(restarted.Name))
		require.Zero(t, h.node.ViolationCount())
	}
	sim.registerHost(killed, objectstore.Live)
	sim.startProcess(killed, fleet.Settings{})
	sim.advance(20 * time.Second)
	for _, h := range sim.hosts {
		require.Len(t, h.node.LiveHosts(), 70, h.Name)
	}
}
