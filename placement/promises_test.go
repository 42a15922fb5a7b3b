package placement_test

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/placement"
)

// fillServers takes all room of the servers of the key "17" and returns the reservations.
func fillServers(t *testing.T, pool *placement.Pool, servers int) []*placement.Reservation {
	t.Helper()
	var held []*placement.Reservation
	for range 5 * servers {
		held = append(held, acquire(t, pool, newRequest("17", 0)))
	}
	return held
}

// reject returns the error of a request that must be rejected.
func reject(t *testing.T, pool *placement.Pool, request placement.Request) *placement.BusyError {
	t.Helper()
	_, err := pool.Acquire(t.Context(), request)
	var busy *placement.BusyError
	require.ErrorAs(t, err, &busy)
	return busy
}

// TestRequestsRejectedTogetherReturnApart replays 300 requests that are rejected at the same time. It
// guards against a Retry-After that sends them back together, or before they can be admitted.
func TestRequestsRejectedTogetherReturnApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		pool.Random = lockedRandom(1)
		fillServers(t, pool, 1)
		earliest := reject(t, pool, newRequest("17", 0)).RetryAfter
		returns := make(map[time.Duration]int)
		for range 300 {
			busy := reject(t, pool, newRequest("17", 0))
			require.Zero(t, busy.QueueTime)
			require.GreaterOrEqual(t, busy.RetryAfter, 100*time.Millisecond)
			returns[busy.RetryAfter/(50*time.Millisecond)]++
		}
		require.Less(t, earliest, 200*time.Millisecond)
		for at, count := range returns {
			require.Less(t, count, 300/4, "%d requests return within the same 50 ms, %d", count, at)
		}
	})
}

// TestReturningRequestGoesBeforeNewOnes guards against requests that were told to return and then wait
// behind those of their team and priority that arrived later, or are rejected again because of them.
func TestReturningRequestGoesBeforeNewOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		held := fillServers(t, pool, 1)
		retryAfter := reject(t, pool, newRequest("17", 0)).RetryAfter
		var mu sync.Mutex
		var order []string
		send := func(name string, request placement.Request) {
			go func() {
				reservation, err := pool.Acquire(t.Context(), request)
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					order = append(order, name+" rejected")
					return
				}
				require.Equal(t, name == "return", reservation.IsReturn)
				order = append(order, name)
			}()
			synctest.Wait()
		}
		urgent, other := newRequest("17", time.Hour), newRequest("17", time.Hour)
		urgent.Priority, other.Priority = -1, 1
		for range 3 {
			send("new", newRequest("17", time.Hour))
		}
		send("other", other)
		send("urgent", urgent)
		time.Sleep(retryAfter)
		// The estimate for a new request is 350 ms: its own work, one request in the server's queue and five
		// in this one.
		send("return", newRequest("17", 300*time.Millisecond))
		send("late", newRequest("17", 300*time.Millisecond))
		for _, r := range held[:5] {
			pool.Release(r, placement.Inconclusive{})
			synctest.Wait()
		}
		require.Equal(t, []string{"late rejected", "urgent", "return", "new", "new", "new"}, order)
	})
}

// TestPromiseHoldsOnceAndForItsTeamRouteAndTime guards against more requests that count as returning than
// were told to return, and against requests that return early, much later or are of another team or route.
func TestPromiseHoldsOnceAndForItsTeamRouteAndTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		held := fillServers(t, pool, 1)
		request := newRequest("17", 0)
		request.Team = "north"
		retryAfter := reject(t, pool, request).RetryAfter
		pool.Release(held[0], placement.Inconclusive{})
		isReturn := func(request placement.Request) bool {
			reservation := acquire(t, pool, request)
			pool.Release(reservation, placement.Inconclusive{})
			return reservation.IsReturn
		}
		require.False(t, isReturn(request), "early")
		time.Sleep(retryAfter)
		otherTeam, otherRoute := request, request
		otherTeam.Team, otherRoute.Route = "south", "orders"
		require.False(t, isReturn(otherTeam), "other team")
		require.False(t, isReturn(otherRoute), "other route")
		require.True(t, isReturn(request))
		require.False(t, isReturn(request), "second")
		taken := acquire(t, pool, newRequest("17", 0))
		retryAfter = reject(t, pool, request).RetryAfter
		pool.Release(taken, placement.Inconclusive{})
		time.Sleep(retryAfter + 1100*time.Millisecond)
		require.False(t, isReturn(request), "expired")
	})
}

// TestReturningRequestIsAdmittedIfNewOneIs guards against a returning request that is rejected while a new
// one of its team and priority would be queued, whatever else is queued.
func TestReturningRequestIsAdmittedIfNewOneIs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		queued := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 40).Draw(rt, "queued")
		patience := time.Duration(rapid.IntRange(20, 800).Draw(rt, "patience")) * time.Millisecond
		promised := rapid.IntRange(1, 10).Draw(rt, "promised")
		synctest.Test(t, func(t *testing.T) {
			isAdmitted := func(promised int) bool {
				pool := newPool(map[string]int{"accra": 1})
				fillServers(t, pool, 1)
				request := newRequest("17", 0)
				request.Team, request.Priority = "0", 1
				var longest time.Duration
				for range promised {
					longest = max(longest, reject(t, pool, request).RetryAfter)
				}
				time.Sleep(longest)
				for _, n := range queued {
					other := newRequest("17", time.Hour)
					other.Team, other.Priority, other.Route = fmt.Sprint(n%3), n/2, "other"
					go func() { _, _ = pool.Acquire(t.Context(), other) }()
				}
				synctest.Wait()
				before := pool.QueuedRequests(service)
				request.QueueDeadline = time.Now().Add(patience)
				go func() { _, _ = pool.Acquire(t.Context(), request) }()
				synctest.Wait()
				return pool.QueuedRequests(service) > before
			}
			if isAdmitted(0) {
				require.True(rt, isAdmitted(promised))
			}
		})
	})
}

// TestRetryStormIsSpread replays 300 requests of three teams that arrive at once, on servers that serve 160 per
// second, and return whenever they are told to. It guards against rejected requests that return together
// and are rejected again and again.
func TestRetryStormIsSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": simulatedServers})
		pool.Random = lockedRandom(1)
		for key := range simulatedKeys {
			learnSlotTime(t, pool, newRequest(fmt.Sprint(key), 0), simulatedSlotTime)
		}
		const storm = 300
		var mu sync.Mutex
		var group sync.WaitGroup
		rejections, worst := 0, 0
		start := time.Now()
		for n := range storm {
			group.Go(func() {
				for attempt := 0; ; attempt++ {
					request := newRequest(fmt.Sprint(n%simulatedKeys), 300*time.Millisecond)
					request.Team = fmt.Sprint(n % 3)
					request.Target = time.Now().Add(600 * time.Millisecond)
					reservation, err := pool.Acquire(t.Context(), request)
					if err == nil {
						time.Sleep(simulatedSlotTime)
						pool.Release(reservation, placement.Responded{
							Latency: simulatedSlotTime,
						})
						return
					}
					var busy *placement.BusyError
					require.ErrorAs(t, err, &busy)
					mu.Lock()
					rejections++
					worst = max(worst, attempt+1)
					mu.Unlock()
					time.Sleep(busy.RetryAfter)
				}
			})
		}
		group.Wait()
		t.Logf("%d rejections of %d requests, at most %d of one, served in %v", rejections, storm, worst, time.Since(start))
		require.Less(t, rejections, 2*storm)
		// The slots serve the storm in 1.9 s if none is idle.
		require.Less(t, time.Since(start), 4*time.Second)
	})
}
