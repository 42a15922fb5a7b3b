package share_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/share"
)

// startTeams has all callers of each team at nine tenths of its rate on one
// host, a different one for each team.
func (f *fleet) startTeams(limits []share.Limit) []*callers {
	var all []*callers
	for place, limit := range limits {
		all = append(all, f.start(&callers{
			limit:     limit.Name,
			perSecond: 0.9 * limit.Kind.(share.Rate).PerSecond,
			hosts:     f.names[place%len(f.names) : place%len(f.names)+1],
		}))
	}
	return all
}

func reset(all []*callers) float64 {
	sent, refused := 0, 0
	for _, c := range all {
		sent += c.sent
		refused += c.refused
		c.reset()
	}
	return float64(refused) / float64(max(1, sent))
}

// recovery is how long it takes until under a hundredth is refused for ten
// seconds in a row, at most the patience.
func (f *fleet) recovery(all []*callers, patience time.Duration) time.Duration {
	reset(all)
	good := 0
	for passed := time.Second; passed <= patience; passed += time.Second {
		f.run(time.Second)
		good++
		if reset(all) >= mostRefused {
			good = 0
		}
		if good == 10 {
			return passed - 10*time.Second
		}
	}
	return patience
}

func TestStoreDownForAnHour(t *testing.T) {
	limits := teamLimits(8)
	f := newFleet(t, 2, 7, limits)
	f.run(30 * time.Second)
	all := f.startTeams(limits)
	f.run(10 * time.Second)
	f.store.down = true
	reset(all)
	f.run(30 * time.Minute)
	part := reset(all)
	t.Logf("store down, all hosts live: %.4f refused", part)
	require.Less(t, part, mostRefused)

	f.kill(f.names[6])
	for _, c := range all {
		if c.hosts[0] == f.names[6] {
			c.hosts = f.names[:1]
		}
	}
	f.run(10 * time.Second)
	t.Logf("store down, first 10 s after a host was lost: %.4f refused", reset(all))
	f.run(15 * time.Minute)
	t.Logf("store down, one host lost: %.4f refused", reset(all))
	f.boot(f.names[6])
	f.run(15 * time.Minute)
	t.Logf("store down, lost host restarted: %.4f refused", reset(all))
	f.store.down = false
	t.Logf("recovered %s after the store came back", f.recovery(all, time.Minute))
	f.run(time.Minute)
	require.Less(t, reset(all), mostRefused)
	requireSafe(t, f)
}

func TestHostLostWithStore(t *testing.T) {
	limits := teamLimits(8)
	f := newFleet(t, 3, 7, limits)
	f.run(30 * time.Second)
	all := f.startTeams(limits)
	f.run(10 * time.Second)
	f.kill(f.names[6])
	for _, c := range all {
		if c.hosts[0] == f.names[6] {
			c.hosts = f.names[:1]
		}
	}
	t.Logf("recovered %s after the loss", f.recovery(all, time.Minute))
	f.run(time.Minute)
	require.Less(t, reset(all), mostRefused)
	requireSafe(t, f)
}

// A team at five times its rate takes no tokens of the others.
func TestOneTeamAtFiveTimesItsRate(t *testing.T) {
	limits := teamLimits(8)
	f := newFleet(t, 4, 7, limits)
	f.run(30 * time.Second)
	all := f.startTeams(limits[1:])
	for _, c := range all {
		c.even = true
	}
	f.start(&callers{
		limit:     limits[0].Name,
		perSecond: 5 * limits[0].Kind.(share.Rate).PerSecond,
		hosts:     f.names,
	})
	f.run(10 * time.Second)
	reset(all)
	f.run(5 * time.Minute)
	for _, c := range all {
		require.Zero(t, c.refused, c.limit)
	}
	requireSafe(t, f)
}
