package queue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/queue"
)

const (
	fairRun      = 120 * time.Second
	fairDeadline = 2 * time.Second
	teamCount    = 8
	largeTeams   = 2
	// usualLoad is the part of the slots in use when all keep to their rates.
	usualLoad = 0.5
)

// load is one team's traffic on a host.
type load struct {
	team string
	rate float64
}

// result is what one team saw.
type result struct {
	mu      sync.Mutex
	waits   []time.Duration
	refused int
}

func (r *result) p99() time.Duration {
	slices.Sort(r.waits)
	return r.waits[len(r.waits)*99/100]
}

// usual returns eight teams, two of them large, that use half of the slots. The
// times is what the first, a large one, sends of its rate.
func usual(free int, times float64) []load {
	capacity := float64(free) / meanService.Seconds()
	loads := make([]load, 0, teamCount)
	for i := range teamCount {
		part := usualLoad / 12
		if i < largeTeams {
			part *= 3
		}
		loads = append(loads, load{
			team: fmt.Sprintf("team-%d", i),
			rate: part * capacity,
		})
	}
	loads[0].rate *= times
	return loads
}

const meanService = 40 * time.Millisecond

// run offers the loads to one host. The line maps a team to the line it waits
// in, so that one line for all is the first-come baseline.
func run(t *testing.T, seed uint64, free int, loads []load, line func(string) string) map[string]*result {
	results := make(map[string]*result)
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(free, 64)
		for i, l := range loads {
			r := &result{}
			results[l.team] = r
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			go func() {
				for time.Since(start) < fairRun {
					time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
					service := time.Duration((0.5 + random.Float64()) * float64(meanService))
					go request(t, q, line(l.team), service, r)
				}
			}()
		}
		time.Sleep(fairRun + fairDeadline + time.Second)
		synctest.Wait()
		require.Zero(t, q.ViolationCount())
	})
	return results
}

func request(t *testing.T, q *queue.Queue[*slots], team string, service time.Duration, r *result) {
	arrived := time.Now()
	g, err := q.Acquire(t.Context(), team, arrived.Add(fairDeadline))
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.refused++
		return
	}
	time.Sleep(service)
	finish(g, team)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits = append(r.waits, time.Since(arrived))
}

// worst returns the largest ratio of a team's p99 to what it is alone, and the
// refusals, over all teams but the first.
func worst(together, alone map[string]*result) (ratio float64, refused int) {
	for team, r := range alone {
		ratio = max(ratio, float64(together[team].p99())/float64(r.p99()))
		refused += together[team].refused
	}
	return ratio, refused
}

func TestOneTeamAtFiveTimesItsRate(t *testing.T) {
	own := func(team string) string { return team }
	shared := func(string) string { return "all" }
	t.Log("worst p99 of the other teams over what it is alone, and their refusals")
	t.Log("service     seed  all at their rate   fair           first-come")
	for _, c := range []struct {
		service string
		free    int
	}{
		{
			service: "storefront",
			free:    24 * 4 / 7,
		},
		{
			service: "packhouse",
			free:    14 * 4 / 7,
		},
		{
			service: "mostrador",
			free:    20 * 4 / 7,
		},
		{
			service: "bodega",
			free:    12 * 4 / 7,
		},
	} {
		for seed := uint64(1); seed <= 2; seed++ {
			loads := usual(c.free, 5)
			alone := make(map[string]*result)
			for _, l := range loads[1:] {
				alone[l.team] = run(t, seed, c.free, []load{l}, own)[l.team]
			}
			before, _ := worst(run(t, seed, c.free, usual(c.free, 1), own), alone)
			ratio, refused := worst(run(t, seed, c.free, loads, own), alone)
			naive, naiveRefused := worst(run(t, seed, c.free, loads, shared), alone)
			t.Logf("%-11s %4d  %-17.2f   %.2f, %d        %.2f, %d", c.service, seed, before, ratio, refused, naive, naiveRefused)
			require.LessOrEqual(t, ratio, 2.0)
			require.Zero(t, refused)
			require.Greater(t, naive, 2.0)
		}
	}
}
