package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/objectstore"
)

// settleBound is how long a fleet whose hosts all start at once may take to find
// itself.
const settleBound = time.Minute

// settled starts a fleet and lets it find itself.
func settled(t testing.TB, seed uint64, hosts, zones, regions int) *world {
	w := newWorld(t, seed, hosts, zones, regions, fleet.Settings{})
	began := w.now()
	for !w.complete() {
		require.Less(t, w.now()-began, settleBound)
		w.run(time.Second)
	}
	if hosts == manyHosts {
		t.Logf("%d hosts that start at once know each other after %s", hosts, w.now()-began)
	}
	w.run(10 * time.Second)
	for _, h := range w.hosts {
		require.NoError(t, h.node.CheckConfirmed(keysFeed))
	}
	return w
}

// complete tells whether each host sees all others.
func (w *world) complete() bool {
	for _, h := range w.hosts {
		if len(h.node.LiveHosts()) < len(w.hosts) {
			return false
		}
	}
	return true
}

func TestMembershipFollowsKillsLeavesAndRestarts(t *testing.T) {
	w := settled(t, 1, 70, 14, 4)
	killed, left, restarted := w.hosts[3], w.hosts[17], w.hosts[40]
	killed.dead = true
	w.memory.UnregisterMachine(killed.Name)
	left.node.StartDraining()
	w.boot(restarted, fleet.Settings{})
	w.run(40 * time.Second)
	for _, h := range w.hosts {
		if h == killed {
			continue
		}
		require.Len(t, h.node.LiveHosts(), 69, h.Name)
		require.True(t, h.node.IsDraining(left.Name), h.Name)
		require.False(t, h.node.IsDraining(restarted.Name))
		require.Zero(t, h.node.ViolationCount())
	}
	w.list(killed, objectstore.Live)
	w.boot(killed, fleet.Settings{})
	w.run(20 * time.Second)
	for _, h := range w.hosts {
		require.Len(t, h.node.LiveHosts(), 70, h.Name)
	}
}
