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
	runTime        = 120 * time.Second
	requestTimeout = 2 * time.Second
	teamCount      = 8
	largeTeamCount = 2
	// normalUtilization is the share of the slots in use when all teams keep to
	// their rates.
	normalUtilization = 0.5
)

// load is the traffic of one team on an entry host, in requests per second.
type load struct {
	team string
	rate float64
}

// result holds the latencies and rejections of one team's requests.
type result struct {
	mu        sync.Mutex
	latencies []time.Duration
	rejected  int
}

func (r *result) p99() time.Duration {
	slices.Sort(r.latencies)
	return r.latencies[len(r.latencies)*99/100]
}

// teamLoads returns the loads of eight teams that use half of the slots. Two
// teams are large, with three times the rate of the others. The rate of the
// first, a large one, is multiplied by firstTeamFactor.
func teamLoads(freeSlots int, firstTeamFactor float64) []load {
	capacity := float64(freeSlots) / meanServiceTime.Seconds()
	loads := make([]load, 0, teamCount)
	for i := range teamCount {
		// The rates are 2 x 3 + 6 x 1 = 12 parts.
		utilization := normalUtilization / 12
		if i < largeTeamCount {
			utilization *= 3
		}
		loads = append(loads, load{
			team: fmt.Sprintf("team-%d", i),
			rate: utilization * capacity,
		})
	}
	loads[0].rate *= firstTeamFactor
	return loads
}

const meanServiceTime = 40 * time.Millisecond

// simulate sends the loads to one entry host. The queueName function maps a team to
// the queue that its requests join; a single name gives a FIFO queue as baseline.
func simulate(t *testing.T, seed uint64, freeSlots int, loads []load, queueName func(string) string) map[string]*result {
	results := make(map[string]*result)
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(freeSlots, 64)
		for i, l := range loads {
			r := &result{}
			results[l.team] = r
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			go func() {
				for time.Since(start) < runTime {
					time.Sleep(time.Duration(random.ExpFloat64() / l.rate * float64(time.Second)))
					serviceTime := time.Duration((0.5 + random.Float64()) * float64(meanServiceTime))
					go sendRequest(t, q, queueName(l.team), serviceTime, r)
				}
			}()
		}
		time.Sleep(runTime + requestTimeout + time.Second)
		synctest.Wait()
		require.Zero(t, q.ViolationCount())
	})
	return results
}

func sendRequest(t *testing.T, q *queue.Queue[*slots], team string, serviceTime time.Duration, r *result) {
	sentAt := time.Now()
	grant, err := q.Acquire(t.Context(), team, sentAt.Add(requestTimeout))
	if err != nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.rejected++
		return
	}
	time.Sleep(serviceTime)
	finishRequest(grant, team)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.latencies = append(r.latencies, time.Since(sentAt))
}

// compareWithIsolated returns the highest ratio of a team's p99 latency in the shared
// run to its p99 latency in its isolated run, and the sum of the rejections. The first
// team, which has no isolated run, is left out.
func compareWithIsolated(shared, isolated map[string]*result) (ratio float64, rejected int) {
	for team, r := range isolated {
		ratio = max(ratio, float64(shared[team].p99())/float64(r.p99()))
		rejected += shared[team].rejected
	}
	return ratio, rejected
}

// TestOverloadingTeamDoesNotDelayOthers checks that a team at five times its
// rate does not slow down the others. With one FIFO queue for all teams, it
// does.
func TestOverloadingTeamDoesNotDelayOthers(t *testing.T) {
	queuePerTeam := func(team string) string { return team }
	singleQueue := func(string) string { return "all" }
	t.Log("highest ratio of p99 latency to p99 latency in an isolated run, and rejections, of the other teams")
	t.Log("service     seed  all at their rate   fair queue     FIFO queue")
	// The free slots of one of seven entry hosts: servers x 4 slots / 7.
	for _, c := range []struct {
		service   string
		freeSlots int
	}{
		{
			service:   "storefront",
			freeSlots: 24 * 4 / 7,
		},
		{
			service:   "packhouse",
			freeSlots: 14 * 4 / 7,
		},
		{
			service:   "mostrador",
			freeSlots: 20 * 4 / 7,
		},
		{
			service:   "bodega",
			freeSlots: 12 * 4 / 7,
		},
	} {
		for seed := uint64(1); seed <= 2; seed++ {
			loads := teamLoads(c.freeSlots, 5)
			isolated := make(map[string]*result)
			for _, l := range loads[1:] {
				isolated[l.team] = simulate(t, seed, c.freeSlots, []load{l}, queuePerTeam)[l.team]
			}
			normalRatio, _ := compareWithIsolated(simulate(t, seed, c.freeSlots, teamLoads(c.freeSlots, 1), queuePerTeam), isolated)
			ratio, rejected := compareWithIsolated(simulate(t, seed, c.freeSlots, loads, queuePerTeam), isolated)
			fifoRatio, fifoRejected := compareWithIsolated(simulate(t, seed, c.freeSlots, loads, singleQueue), isolated)
			t.Logf("%-11s %4d  %-17.2f   %.2f, %d        %.2f, %d", c.service, seed, normalRatio, ratio, rejected, fifoRatio, fifoRejected)
			require.LessOrEqual(t, ratio, 2.0)
			require.Zero(t, rejected)
			require.Greater(t, fifoRatio, 2.0)
		}
	}
}
