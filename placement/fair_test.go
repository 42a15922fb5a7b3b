package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/placement"
)

// teamLoad is the traffic of one team on a host.
type teamLoad struct {
	team string
	// rate is in requests per second.
	rate     float64
	weight   float64
	priority int
}

// teamResult holds how the requests of one team ended.
type teamResult struct {
	mu       sync.Mutex
	waits    []time.Duration
	rejected int
	// heldBack counts the requests that were rejected after they had been queued.
	heldBack int
}

func (r *teamResult) sent() int { return len(r.waits) + r.rejected }

// waitQuantile returns a quantile of the times that granted requests were queued.
func (r *teamResult) waitQuantile(quantile float64) time.Duration {
	if len(r.waits) == 0 {
		return 0
	}
	slices.Sort(r.waits)
	return r.waits[int(quantile*float64(len(r.waits)-1))]
}

// The simulated host sends requests to simulatedServers of four slots each, which take
// simulatedSlotTime for one, so that they serve 160 requests per second.
const (
	simulatedServers  = 4
	simulatedSlotTime = 100 * time.Millisecond
	simulatedCapacity = 160
	simulatedTime     = 20 * time.Second
	// simulatedMaxWait is how long a request may be queued.
	simulatedMaxWait = 400 * time.Millisecond
	simulatedKeys    = 40
)

// simulateTeams sends the loads to one host and returns the result of each team. The function maps a
// team to the one that requests state.
func simulateTeams(t *testing.T, seed uint64, loads []teamLoad, statedTeam func(string) string) map[string]*teamResult {
	results := make(map[string]*teamResult)
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": simulatedServers})
		start := time.Now()
		var group sync.WaitGroup
		for i, load := range loads {
			result := &teamResult{}
			results[load.team] = result
			random := rand.New(rand.NewPCG(seed, uint64(i)))
			group.Go(func() {
				for time.Since(start) < simulatedTime {
					time.Sleep(time.Duration(random.ExpFloat64() / load.rate * float64(time.Second)))
					request := newRequest(fmt.Sprint(random.IntN(simulatedKeys)), simulatedMaxWait)
					request.Team, request.TeamWeight, request.Priority = statedTeam(load.team), load.weight, load.priority
					group.Go(func() { serveSimulated(t, pool, request, result) })
				}
			})
		}
		group.Wait()
	})
	return results
}

func serveSimulated(t *testing.T, pool *placement.Pool, request placement.Request, result *teamResult) {
	reservation, err := pool.Acquire(t.Context(), request)
	if err != nil {
		var busy *placement.BusyError
		result.mu.Lock()
		defer result.mu.Unlock()
		result.rejected++
		if errors.As(err, &busy) && busy.QueueTime > 0 {
			result.heldBack++
		}
		return
	}
	time.Sleep(simulatedSlotTime)
	pool.Release(reservation, placement.Responded{
		Latency: simulatedSlotTime,
	})
	result.mu.Lock()
	defer result.mu.Unlock()
	result.waits = append(result.waits, reservation.QueueTime)
}

// usualLoads returns the loads of twelve teams that use the given fraction of the slots. The first
// two are large, with four times the rate of the others. Weights are the usual rates. The rate of
// the team with the given index is multiplied by the factor.
func usualLoads(utilization float64, hot int, factor float64) []teamLoad {
	const teams, largeTeams, largeFactor = 12, 2, 4
	small := utilization * simulatedCapacity / (teams + largeTeams*(largeFactor-1))
	loads := make([]teamLoad, teams)
	for i := range loads {
		rate := small
		if i < largeTeams {
			rate *= largeFactor
		}
		loads[i] = teamLoad{
			team:   fmt.Sprint("team-", i),
			rate:   rate,
			weight: rate,
		}
	}
	loads[hot].rate *= factor
	return loads
}

func ownTeam(team string) string { return team }

func noTeam(string) string { return "" }

// sumOfOthers returns the results of all teams but one, as one.
func sumOfOthers(results map[string]*teamResult, except string) *teamResult {
	sum := &teamResult{}
	for team, result := range results {
		if team != except {
			sum.waits = append(sum.waits, result.waits...)
			sum.rejected += result.rejected
			sum.heldBack += result.heldBack
		}
	}
	return sum
}

// TestHotTeamDoesNotDelayOthers replays a team that sends five to seven times its usual rate beside
// others, on servers that are half to two thirds used without it. It guards against a queue in which
// the others' requests wait behind those of the hot team, or are rejected because of them.
func TestHotTeamDoesNotDelayOthers(t *testing.T) {
	for _, c := range []struct {
		hot         int
		factor      float64
		utilization float64
	}{
		{hot: 0, factor: 5, utilization: 0.5},
		{hot: 0, factor: 7, utilization: 0.65},
		{hot: 5, factor: 7, utilization: 0.8},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			loads := usualLoads(c.utilization, c.hot, c.factor)
			hot := loads[c.hot].team
			usual := sumOfOthers(simulateTeams(t, seed, usualLoads(c.utilization, c.hot, 1), ownTeam), hot)
			fairResults := simulateTeams(t, seed, loads, ownTeam)
			fair := sumOfOthers(fairResults, hot)
			fifo := sumOfOthers(simulateTeams(t, seed, loads, noTeam), hot)
			t.Logf("%s x%v at %v, seed %d: rejected of %d others %d usual, %d fair, %d FIFO; p99 wait %v, %v, %v; hot %d of %d", hot, c.factor,
				c.utilization, seed, fair.sent(), usual.rejected, fair.rejected, fifo.rejected, usual.waitQuantile(0.99), fair.waitQuantile(0.99),
				fifo.waitQuantile(0.99), fairResults[hot].rejected, fairResults[hot].sent())
			require.LessOrEqual(t, fair.rejected, usual.rejected+fair.sent()/200)
			// The hot team's requests that hold the slots keep them for at most one slot time.
			require.Less(t, fair.waitQuantile(0.99), usual.waitQuantile(0.99)+simulatedSlotTime)
			require.Greater(t, fifo.waitQuantile(0.99), fair.waitQuantile(0.99))
		}
	}
}

// TestTeamsShareSlotsByWeight lets teams keep requests of different slot times queued for one server.
// It guards against shares that follow the number of a team's requests, or count long ones like short ones.
func TestTeamsShareSlotsByWeight(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const runTime = 4 * time.Second
		weights := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 6).Draw(rt, "weights")
		slotTimes := rapid.SliceOfN(rapid.IntRange(20, 100), len(weights), len(weights)).Draw(rt, "milliseconds")
		queued := rapid.SliceOfN(rapid.IntRange(8, 40), len(weights), len(weights)).Draw(rt, "queued")
		used := make([]time.Duration, len(weights))
		synctest.Test(t, func(t *testing.T) {
			pool := newPool(map[string]int{"accra": 1})
			requests := make([]placement.Request, len(weights))
			for i := range requests {
				requests[i] = newRequest("17", time.Hour)
				requests[i].Team, requests[i].TeamWeight, requests[i].Route = fmt.Sprint(i), float64(weights[i]), fmt.Sprint(i)
				learnSlotTime(t, pool, requests[i], time.Duration(slotTimes[i])*time.Millisecond)
			}
			start := time.Now()
			var mu sync.Mutex
			var group sync.WaitGroup
			for i, request := range requests {
				slotTime := time.Duration(slotTimes[i]) * time.Millisecond
				for range queued[i] {
					group.Go(func() {
						for time.Since(start) < runTime {
							reservation := acquire(t, pool, request)
							if time.Since(start) < runTime {
								mu.Lock()
								used[i] += slotTime
								mu.Unlock()
							}
							time.Sleep(slotTime)
							pool.Release(reservation, placement.Responded{
								Latency: slotTime,
							})
						}
					})
				}
			}
			group.Wait()
		})
		total, totalWeight := time.Duration(0), 0
		for i := range weights {
			total += used[i]
			totalWeight += weights[i]
		}
		for i, weight := range weights {
			expected := float64(total) * float64(weight) / float64(totalWeight)
			// Slots go to whole requests, and the first ones are granted before any other is queued.
			require.InDelta(rt, expected, float64(used[i]), 0.1*expected+float64(8*slotTimes[i])*float64(time.Millisecond),
				"team %d of weight %d, of %v", i, weight, total)
		}
	})
}

// learnSlotTime lets the pool measure the slot time of the request's route.
func learnSlotTime(t *testing.T, pool *placement.Pool, request placement.Request, slotTime time.Duration) {
	reservation := acquire(t, pool, request)
	time.Sleep(slotTime)
	pool.Release(reservation, placement.Responded{
		Latency: slotTime,
	})
}

// TestEstimateCountsQueueOfHotTeamAgainstItselfOnly guards against requests of a small team that are
// rejected at once because a hot team has a long queue.
func TestEstimateCountsQueueOfHotTeamAgainstItselfOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		hot := newRequest("17", time.Hour)
		hot.Team = "hot"
		for range 5 {
			acquire(t, pool, hot)
		}
		for range 20 {
			go func() { _, _ = pool.Acquire(t.Context(), hot) }()
		}
		synctest.Wait()
		require.Equal(t, 20, pool.QueuedRequests(service))
		hot.QueueDeadline = time.Now().Add(300 * time.Millisecond)
		_, err := pool.Acquire(t.Context(), hot)
		var busy *placement.BusyError
		require.ErrorAs(t, err, &busy)
		require.Zero(t, busy.QueueTime)
		small := hot
		small.Team = "small"
		_, err = pool.Acquire(t.Context(), small)
		require.ErrorAs(t, err, &busy)
		require.Equal(t, 300*time.Millisecond, busy.QueueTime)
	})
}

// TestNewRequestDoesNotOvertakeQueuedOne guards against new requests that take the room that appears
// when the load of other hosts decreases, before requests that have waited for it.
func TestNewRequestDoesNotOvertakeQueuedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		reservation := acquire(t, pool, newRequest("17", 0))
		pool.Release(reservation, placement.Responded{
			Latency: simulatedSlotTime,
			Load: &placement.LoadReport{
				Running: 4,
				Queued:  1,
				Slots:   4,
			},
		})
		for range 2 {
			go func() {
				reservation, err := pool.Acquire(t.Context(), newRequest("17", time.Hour))
				require.NoError(t, err)
				require.Positive(t, reservation.QueueTime)
			}()
		}
		synctest.Wait()
		require.Equal(t, 2, pool.QueuedRequests(service))
		// One of the five requests of other hosts is taken to have ended.
		time.Sleep(250 * time.Millisecond)
		_, err := pool.Acquire(t.Context(), newRequest("17", 0))
		require.Error(t, err)
		require.Equal(t, 1, pool.QueuedRequests(service))
		time.Sleep(time.Second)
		acquire(t, pool, newRequest("17", 0))
		require.Zero(t, pool.QueuedRequests(service))
	})
}
