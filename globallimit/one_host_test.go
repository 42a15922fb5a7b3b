package globallimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/globallimit"
)

// maxRefusedFraction is the target: less than one request in a hundred is
// refused while the team stays within nine tenths of its rate.
const maxRefusedFraction = 0.01

func requireLimitsHeld(t testing.TB, f *fleet) {
	t.Helper()
	require.Empty(t, f.checker.Check(f.now))
	for _, p := range f.processes {
		require.Zero(t, p.limiter.ViolationCount())
	}
}

// A host that gets all requests of a team must borrow the shares of the others.
func TestHostWithAllCallersIsGrantedTheTeamRate(t *testing.T) {
	for _, size := range []int{1, 2, 7} {
		limits := teamLimits(8)
		f := newFleet(t, 1, size, limits)
		f.advance(30 * time.Second)
		var teams []*callers
		for _, limit := range limits {
			teams = append(teams, f.startCallers(&callers{
				limit:     limit.Name,
				perSecond: 0.9 * limit.Kind.(globallimit.Rate).PerSecond,
				hosts:     f.hostNames[:1],
			}))
		}
		f.advance(10 * time.Second)
		for _, c := range teams {
			c.refusedFractionSinceReset()
		}
		// The small fleets must do this without the store.
		f.store.down = size < 7
		f.advance(2 * time.Minute)
		for _, c := range teams {
			refusedFraction := c.refusedFractionSinceReset()
			t.Logf("%d hosts, %s: fraction refused %.4f", size, c.limit, refusedFraction)
			require.Less(t, refusedFraction, maxRefusedFraction)
		}
		requireLimitsHeld(t, f)
	}
}
