package share_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/share"
)

// mostRefused is the target: under one request in a hundred is refused although
// the team is within nine tenths of its rate.
const mostRefused = 0.01

func requireSafe(t testing.TB, f *fleet) {
	t.Helper()
	require.Empty(t, f.ledger.Check(f.now))
	for _, p := range f.processes {
		require.Zero(t, p.holder.Violations())
	}
}

func TestAllCallersOnOneHost(t *testing.T) {
	for _, size := range []int{1, 2, 7} {
		limits := teamLimits(8)
		f := newFleet(t, 1, size, limits)
		f.run(30 * time.Second)
		var all []*callers
		for _, limit := range limits {
			all = append(all, f.start(&callers{
				limit:     limit.Name,
				perSecond: 0.9 * limit.Kind.(share.Rate).PerSecond,
				hosts:     f.names[:1],
			}))
		}
		f.run(10 * time.Second)
		for _, c := range all {
			c.reset()
		}
		f.store.down = size < 7
		f.run(2 * time.Minute)
		for _, c := range all {
			part := c.reset()
			t.Logf("%d hosts, %s: %.4f refused", size, c.limit, part)
			require.Less(t, part, mostRefused)
		}
		requireSafe(t, f)
	}
}
