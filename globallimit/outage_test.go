package globallimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/globallimit"
)

// startTeamCallers starts callers for each team at nine tenths of its rate. All
// callers of one team use one host. The teams are spread over the hosts.
func (f *fleet) startTeamCallers(limits []globallimit.Limit) []*callers {
	var teams []*callers
	for i, limit := range limits {
		teams = append(teams, f.startCallers(&callers{
			limit:     limit.Name,
			perSecond: 0.9 * limit.Kind.(globallimit.Rate).PerSecond,
			hosts:     f.hostNames[i%len(f.hostNames) : i%len(f.hostNames)+1],
		}))
	}
	return teams
}

// rejectedFractionOfAllSinceReset returns the fraction of requests of all teams
// that was rejected since the last call, and clears the counts.
func rejectedFractionOfAllSinceReset(teams []*callers) float64 {
	sent, rejected := 0, 0
	for _, c := range teams {
		sent += c.sent
		rejected += c.rejected
		c.rejectedFractionSinceReset()
	}
	return float64(rejected) / float64(max(1, sent))
}

// timeToRecover returns how long it takes until less than a hundredth of the
// requests is rejected for ten seconds in a row, or timeout.
func (f *fleet) timeToRecover(teams []*callers, timeout time.Duration) time.Duration {
	rejectedFractionOfAllSinceReset(teams)
	goodSeconds := 0
	for elapsed := time.Second; elapsed <= timeout; elapsed += time.Second {
		f.advance(time.Second)
		goodSeconds++
		if rejectedFractionOfAllSinceReset(teams) >= maxRejectedFraction {
			goodSeconds = 0
		}
		if goodSeconds == 10 {
			return elapsed - 10*time.Second
		}
	}
	return timeout
}

// While the store is down, the hosts confirm the epoch to each other, so that
// callers are still served. Losing a host must not break a limit.
func TestGrantsContinueWhileStoreIsDownForAnHour(t *testing.T) {
	t.Parallel()
	limits := teamLimits(8)
	f := newFleet(t, 2, 7, limits)
	f.advance(30 * time.Second)
	teams := f.startTeamCallers(limits)
	f.advance(10 * time.Second)
	f.store.down = true
	rejectedFractionOfAllSinceReset(teams)
	f.advance(30 * time.Minute)
	rejectedFraction := rejectedFractionOfAllSinceReset(teams)
	t.Logf("store down, all hosts running: fraction rejected %.4f", rejectedFraction)
	require.Less(t, rejectedFraction, maxRejectedFraction)

	f.killHost(f.hostNames[6])
	for _, c := range teams {
		if c.hosts[0] == f.hostNames[6] {
			c.hosts = f.hostNames[:1]
		}
	}
	f.advance(10 * time.Second)
	t.Logf("store down, first 10 s after a host was lost: fraction rejected %.4f", rejectedFractionOfAllSinceReset(teams))
	f.advance(15 * time.Minute)
	t.Logf("store down, one host lost: fraction rejected %.4f", rejectedFractionOfAllSinceReset(teams))
	f.startProcess(f.hostNames[6])
	f.advance(15 * time.Minute)
	t.Logf("store down, lost host restarted: fraction rejected %.4f", rejectedFractionOfAllSinceReset(teams))
	f.store.down = false
	t.Logf("recovered %s after the store was up again", f.timeToRecover(teams, time.Minute))
	f.advance(time.Minute)
	require.Less(t, rejectedFractionOfAllSinceReset(teams), maxRejectedFraction)
	requireLimitsHeld(t, f)
}

func TestRecoveryAfterHostLossWhileStoreIsUp(t *testing.T) {
	limits := teamLimits(8)
	f := newFleet(t, 3, 7, limits)
	f.advance(30 * time.Second)
	teams := f.startTeamCallers(limits)
	f.advance(10 * time.Second)
	f.killHost(f.hostNames[6])
	for _, c := range teams {
		if c.hosts[0] == f.hostNames[6] {
			c.hosts = f.hostNames[:1]
		}
	}
	t.Logf("recovered %s after a host was lost", f.timeToRecover(teams, time.Minute))
	f.advance(time.Minute)
	require.Less(t, rejectedFractionOfAllSinceReset(teams), maxRejectedFraction)
	requireLimitsHeld(t, f)
}

// A team at five times its rate must not cause rejections for the other teams.
func TestTeamAboveItsRateDoesNotAffectOtherTeams(t *testing.T) {
	limits := teamLimits(8)
	f := newFleet(t, 4, 7, limits)
	f.advance(30 * time.Second)
	teams := f.startTeamCallers(limits[1:])
	for _, c := range teams {
		c.evenlySpaced = true
	}
	f.startCallers(&callers{
		limit:     limits[0].Name,
		perSecond: 5 * limits[0].Kind.(globallimit.Rate).PerSecond,
		hosts:     f.hostNames,
	})
	f.advance(10 * time.Second)
	rejectedFractionOfAllSinceReset(teams)
	f.advance(5 * time.Minute)
	for _, c := range teams {
		require.Zero(t, c.rejected, c.limit)
	}
	requireLimitsHeld(t, f)
}

// When callers move to another host at once, that host must get the shares that
// were lent to the old one.
func TestSharesFollowCallersThatMoveToAnotherHost(t *testing.T) {
	limits := teamLimits(8)
	f := newFleet(t, 7, 7, limits)
	f.advance(30 * time.Second)
	teams := f.startTeamCallers(limits)
	f.advance(30 * time.Second)
	rejectedFractionOfAllSinceReset(teams)
	for i, c := range teams {
		c.hosts = f.hostNames[(i+3)%7 : (i+3)%7+1]
	}
	for range 8 {
		f.advance(time.Second)
		t.Logf("fraction rejected in this second: %.4f", rejectedFractionOfAllSinceReset(teams))
	}
	f.advance(time.Minute)
	require.Less(t, rejectedFractionOfAllSinceReset(teams), maxRejectedFraction)
	requireLimitsHeld(t, f)
}
