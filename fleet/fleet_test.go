package fleet_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/platform"
)

// settled starts a fleet and lets it find itself.
func settled(t *testing.T, seed uint64, hosts, zones, regions int) *world {
	w := newWorld(t, seed, hosts, zones, regions, fleet.Settings{})
	w.run(15 * time.Second)
	for _, h := range w.hosts {
		require.Len(t, h.node.Live(), hosts, "%s at start", h.Name)
		require.NoError(t, h.node.Confirmation(keysFeed))
	}
	return w
}

func TestMembershipFollowsKillsLeavesAndRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := settled(t, 1, 70, 14, 4)
		killed, left, restarted := w.hosts[3], w.hosts[17], w.hosts[40]
		killed.dead = true
		w.memory.Unregister(killed.Name)
		left.node.Leave()
		w.boot(restarted, fleet.Settings{})
		w.run(40 * time.Second)
		for _, h := range w.hosts {
			if h == killed {
				continue
			}
			require.Len(t, h.node.Live(), 69, h.Name)
			require.True(t, h.node.IsLeaving(left.Name), h.Name)
			require.False(t, h.node.IsLeaving(restarted.Name))
			require.Zero(t, h.node.Violations())
		}
		w.list(killed, platform.Live)
		w.boot(killed, fleet.Settings{})
		w.run(20 * time.Second)
		for _, h := range w.hosts {
			require.Len(t, h.node.Live(), 70, h.Name)
		}
	})
}
