package placement_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/routing"
)

const service = "catalogue"

// newServer returns a live backend server with four slots.
func newServer(region string, n int) objectstore.Machine {
	return objectstore.Machine{
		Name:    fmt.Sprintf("%s-%d", region, n),
		Kind:    objectstore.BackendServer,
		Region:  region,
		Zone:    region + "-a",
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(len(region)), byte(n)}), 80),
		State:   objectstore.Live,
		Service: service,
		Slots:   4,
	}
}

// newServers returns the given number of servers in each region.
func newServers(counts map[string]int) []objectstore.Machine {
	var all []objectstore.Machine
	for region, count := range counts {
		for n := range count {
			all = append(all, newServer(region, n))
		}
	}
	return all
}

// newPool returns the pool of a host in accra, with the given number of servers in
// each region.
func newPool(counts map[string]int) *placement.Pool {
	pool := &placement.Pool{
		Host:   "accra-host",
		Region: "accra",
	}
	pool.SetServers(newServers(counts))
	return pool
}

// newRequest returns a request that may be queued for the given time.
func newRequest(affinityKey string, maxWait time.Duration) placement.Request {
	return placement.Request{
		Service:      service,
		Route:        "stock",
		AffinityKey:  affinityKey,
		WaitDeadline: time.Now().Add(maxWait),
	}
}

// acquire returns a reservation for the request, and fails the test if there is
// none.
func acquire(t *testing.T, pool *placement.Pool, request placement.Request) *placement.Reservation {
	t.Helper()
	reservation, err := pool.Acquire(t.Context(), request)
	require.NoError(t, err)
	return reservation
}

// TestKeyUsesSecondServerOnlyWhenFirstIsFull fills the slots of both servers of a
// key, then the one queue position of each. A third server is never used.
func TestKeyUsesSecondServerOnlyWhenFirstIsFull(t *testing.T) {
	pool := newPool(map[string]int{"accra": 5})
	first := acquire(t, pool, newRequest("17", 0)).Server.Name
	for range 3 {
		require.Equal(t, first, acquire(t, pool, newRequest("17", 0)).Server.Name)
	}
	second := acquire(t, pool, newRequest("17", 0)).Server.Name
	require.NotEqual(t, first, second)
	for range 3 {
		require.Equal(t, second, acquire(t, pool, newRequest("17", 0)).Server.Name)
	}
	queued := map[string]int{}
	for range 2 {
		queued[acquire(t, pool, newRequest("17", 0)).Server.Name]++
	}
	require.Equal(t, map[string]int{first: 1, second: 1}, queued)
	_, err := pool.Acquire(t.Context(), newRequest("17", 0))
	var busy *placement.BusyError
	require.ErrorAs(t, err, &busy)
	require.Positive(t, busy.RetryAfter)
}

func TestOnlyKeysOfLeavingServerMove(t *testing.T) {
	counts := map[string]int{"accra": 6}
	before, after := newPool(counts), newPool(counts)
	listed := newServers(counts)
	listed[2].State = objectstore.Draining
	after.SetServers(listed)
	moved := 0
	for n := range 200 {
		request := newRequest(fmt.Sprint(n), 0)
		previous := acquire(t, before, request)
		current := acquire(t, after, request)
		if previous.Server.Name == listed[2].Name {
			moved++
			require.NotEqual(t, listed[2].Name, current.Server.Name)
		} else {
			require.Equal(t, previous.Server.Name, current.Server.Name)
		}
		before.Release(previous, placement.Inconclusive{})
		after.Release(current, placement.Inconclusive{})
	}
	require.InDelta(t, 200.0/6, moved, 20)
}

func TestAllHostsSelectSameServerForKey(t *testing.T) {
	for n := range 50 {
		request := newRequest(fmt.Sprint(n), 0)
		one := acquire(t, newPool(map[string]int{"accra": 7, "kumasi": 4}), request)
		other := acquire(t, newPool(map[string]int{"kumasi": 4, "accra": 7}), request)
		require.Equal(t, one.Server.Name, other.Server.Name)
	}
}

func TestQueuedRequestGetsReleasedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		var held []*placement.Reservation
		for range 5 {
			held = append(held, acquire(t, pool, newRequest("17", 0)))
		}
		granted := make(chan *placement.Reservation, 1)
		go func() {
			reservation, err := pool.Acquire(t.Context(), newRequest("17", time.Second))
			if err == nil {
				granted <- reservation
			}
			close(granted)
		}()
		synctest.Wait()
		time.Sleep(30 * time.Millisecond)
		pool.Release(held[0], placement.Responded{})
		reservation := <-granted
		require.NotNil(t, reservation)
		require.Equal(t, 30*time.Millisecond, reservation.Waited)
	})
}

func TestQueueIsOrderedByPriorityThenArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		var held []*placement.Reservation
		for range 5 {
			held = append(held, acquire(t, pool, newRequest("17", 0)))
		}
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for _, priority := range []int{2, 1, 2, 0} {
			request := newRequest("17", 10*time.Second)
			request.Priority = priority
			group.Go(func() {
				if _, err := pool.Acquire(t.Context(), request); err == nil {
					mu.Lock()
					order = append(order, priority)
					mu.Unlock()
				}
			})
			synctest.Wait()
		}
		for _, r := range held[:4] {
			pool.Release(r, placement.Inconclusive{})
			synctest.Wait()
		}
		group.Wait()
		require.Equal(t, []int{0, 1, 2, 2}, order)
	})
}

func TestRequestIsRefusedAtOnceIfEstimatedWaitIsTooLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		for range 5 {
			acquire(t, pool, newRequest("17", 0))
		}
		start := time.Now()
		_, err := pool.Acquire(t.Context(), newRequest("17", 20*time.Millisecond))
		var busy *placement.BusyError
		require.ErrorAs(t, err, &busy)
		require.Zero(t, time.Since(start))
	})
}

func TestQueuedRequestEndsWhenItsContextIsCancelled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		for range 5 {
			acquire(t, pool, newRequest("17", 0))
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := pool.Acquire(ctx, newRequest("17", time.Minute))
			ended <- err
		}()
		synctest.Wait()
		cancel()
		var cancelled *placement.CancelledError
		require.ErrorAs(t, <-ended, &cancelled)
		require.ErrorIs(t, cancelled, context.Canceled)
	})
}

// TestQueuedRequestMovesToOtherServerWhenItsServerLeaves guards against requests that
// stay queued for a server that was drained after they were queued.
func TestQueuedRequestMovesToOtherServerWhenItsServerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		for range 5 {
			acquire(t, pool, newRequest("17", 0))
		}
		granted := make(chan *placement.Reservation, 1)
		go func() {
			reservation, err := pool.Acquire(t.Context(), newRequest("17", time.Minute))
			if err == nil {
				granted <- reservation
			}
			close(granted)
		}()
		synctest.Wait()
		leaving := newServer("accra", 0)
		leaving.State = objectstore.Draining
		added := newServer("accra", 1)
		pool.SetServers([]objectstore.Machine{leaving, added})
		reservation := <-granted
		require.NotNil(t, reservation)
		require.Equal(t, added.Name, reservation.Server.Name)
	})
}

func TestServersOfEvacuatedZoneGetNoRequests(t *testing.T) {
	pool := newPool(map[string]int{"accra": 3})
	pool.SetEvacuatedZones([]string{"accra-a"})
	_, err := pool.Acquire(t.Context(), newRequest("17", time.Second))
	var noServer *placement.NoServerError
	require.ErrorAs(t, err, &noServer)
	pool.SetEvacuatedZones(nil)
	acquire(t, pool, newRequest("17", 0))
}

func TestRequestUsesOnlyRegionsInAllLists(t *testing.T) {
	pool := newPool(map[string]int{"accra": 3, "kumasi": 3, "tamale": 3})
	request := newRequest("17", 0)
	request.AllowedRegions = [][]string{{"kumasi", "tamale"}, {"accra", "tamale"}}
	for range 8 {
		require.Equal(t, "tamale", acquire(t, pool, request).Server.Region)
	}
	request.AllowedRegions = [][]string{{"kumasi"}, {"tamale"}}
	_, err := pool.Acquire(t.Context(), request)
	var noServer *placement.NoServerError
	require.ErrorAs(t, err, &noServer)
}

func TestEjectionTimeDoublesUpToMaximum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 2})
		first := acquire(t, pool, newRequest("17", 0))
		for _, ejection := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
			pool.Release(first, placement.NoResponse{})
			other := acquire(t, pool, newRequest("17", 0))
			require.NotEqual(t, first.Server.Name, other.Server.Name)
			pool.Release(other, placement.Inconclusive{})
			time.Sleep(ejection)
			next := acquire(t, pool, newRequest("17", 0))
			require.Equal(t, first.Server.Name, next.Server.Name, ejection)
			first = next
		}
	})
}

// TestServerThatShedsHalfOfItsRequestsIsEjected guards against servers that pass
// their health check but shed a large part of their requests.
func TestServerThatShedsHalfOfItsRequestsIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 4})
		shedding := acquire(t, pool, newRequest("17", 0)).Server.Name
		sent := 0
		for n := range 400 {
			r := acquire(t, pool, newRequest("17", 0))
			var outcome placement.Outcome = placement.Responded{}
			if r.Server.Name == shedding {
				sent++
				if n%2 == 0 {
					outcome = placement.Shed{}
				}
			}
			pool.Release(r, outcome)
			time.Sleep(5 * time.Millisecond)
		}
		require.Less(t, sent, 250)
	})
}

// TestColdServerIsLimitedToColdRate checks a host's share of a cold server's rate,
// and that the limit ends with the cold time.
func TestColdServerIsLimitedToColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := &placement.Pool{
			Host:   "accra-1",
			Region: "accra",
		}
		pool.SetServices([]routing.Service{
			{
				Name:     service,
				ColdTime: 3 * time.Second,
				ColdRate: 10,
			},
		})
		pool.SetHosts(map[string][]string{"accra": {"accra-1", "accra-2"}})
		pool.SetServers(nil)
		cold := newServer("accra", 0)
		cold.WarmUp = 3 * time.Second
		pool.SetServers([]objectstore.Machine{cold})
		sent := 0
		for range 200 {
			reservation, err := pool.Acquire(t.Context(), newRequest("17", 0))
			if err == nil {
				sent++
				pool.Release(reservation, placement.Responded{})
			}
			time.Sleep(10 * time.Millisecond)
		}
		// This host's share is 0.4 of 10 requests per second, for two seconds.
		require.InDelta(t, 8, sent, 1.5)
		time.Sleep(2 * time.Second)
		for range 4 {
			acquire(t, pool, newRequest("17", 0))
		}
	})
}

// TestRestartedServerStartsWithFreshState checks that a server that failed and then
// restarted under the same name gets requests at once, up to its slots and queue.
func TestRestartedServerStartsWithFreshState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		r := acquire(t, pool, newRequest("17", 0))
		pool.Release(r, placement.NoResponse{})
		restarted := newServer("accra", 0)
		restarted.Started = time.Now()
		restarted.WarmUp = time.Second
		pool.SetServers([]objectstore.Machine{restarted})
		for range 5 {
			acquire(t, pool, newRequest("17", 0))
		}
		_, err := pool.Acquire(t.Context(), newRequest("17", 0))
		require.Error(t, err)
		require.False(t, errors.As(err, new(*placement.NoServerError)))
	})
}

// TestKeyUsesOneServerWhileUtilizationIsHigh guards against requests that overflow
// to the second server of their key while the utilization of all servers is high. The key
// would probably not be cached there, and the requests would take three times as long.
func TestKeyUsesOneServerWhileUtilizationIsHigh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 4})
		// Each of eight reservations ends with a load report above the server's slots.
		var held []*placement.Reservation
		for n := range 40 {
			held = append(held, acquire(t, pool, newRequest(fmt.Sprint(n%8), 0)))
			if len(held) == 8 {
				break
			}
		}
		for _, r := range held {
			pool.Release(r, placement.Responded{
				Load: &placement.LoadReport{
					Running: 4,
					Queued:  2,
					Slots:   4,
				},
			})
		}
		time.Sleep(2 * time.Second)
		used := make(map[string]struct{})
		for range 6 {
			r, err := pool.Acquire(t.Context(), newRequest("17", 0))
			if err == nil {
				used[r.Server.Name] = struct{}{}
			}
		}
		require.Len(t, used, 1)
	})
}
