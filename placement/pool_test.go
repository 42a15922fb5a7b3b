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

// machine is a backend server of the service with four slots.
func machine(region string, n int) objectstore.Machine {
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

func machines(counts map[string]int) []objectstore.Machine {
	var all []objectstore.Machine
	for region, count := range counts {
		for n := range count {
			all = append(all, machine(region, n))
		}
	}
	return all
}

func newPool(counts map[string]int) *placement.Pool {
	pool := &placement.Pool{
		Host:   "accra-host",
		Region: "accra",
	}
	pool.SetServers(machines(counts))
	return pool
}

// want is a request for an object that waits for the time.
func want(object string, wait time.Duration) placement.Request {
	return placement.Request{
		Service:      service,
		Route:        "stock",
		AffinityKey:  object,
		WaitDeadline: time.Now().Add(wait),
	}
}

// take gets a place at once.
func take(t *testing.T, pool *placement.Pool, w placement.Request) *placement.Reservation {
	t.Helper()
	reservation, err := pool.Acquire(t.Context(), w)
	require.NoError(t, err)
	return reservation
}

func TestAnObjectKeepsItsPlaceUntilThatIsFull(t *testing.T) {
	pool := newPool(map[string]int{"accra": 5})
	first := take(t, pool, want("17", 0)).Server.Name
	for range 3 {
		require.Equal(t, first, take(t, pool, want("17", 0)).Server.Name)
	}
	second := take(t, pool, want("17", 0)).Server.Name
	require.NotEqual(t, first, second)
	for range 3 {
		require.Equal(t, second, take(t, pool, want("17", 0)).Server.Name)
	}
	// Both places are full: one more each, and no third place.
	took := map[string]int{}
	for range 2 {
		took[take(t, pool, want("17", 0)).Server.Name]++
	}
	require.Equal(t, map[string]int{first: 1, second: 1}, took)
	_, err := pool.Acquire(t.Context(), want("17", 0))
	var busy *placement.BusyError
	require.ErrorAs(t, err, &busy)
	require.Positive(t, busy.RetryAfter)
}

func TestOnlyTheObjectsOfAServerMoveWhenItLeaves(t *testing.T) {
	all := map[string]int{"accra": 6}
	before, after := newPool(all), newPool(all)
	leaving := machines(all)
	leaving[2].State = objectstore.Draining
	after.SetServers(leaving)
	moved := 0
	for n := range 200 {
		w := want(fmt.Sprint(n), 0)
		was := take(t, before, w)
		is := take(t, after, w)
		if was.Server.Name == leaving[2].Name {
			moved++
			require.NotEqual(t, leaving[2].Name, is.Server.Name)
		} else {
			require.Equal(t, was.Server.Name, is.Server.Name)
		}
		before.Release(was, placement.Inconclusive{})
		after.Release(is, placement.Inconclusive{})
	}
	require.InDelta(t, 200.0/6, moved, 20)
}

func TestAllHostsFindTheSamePlaces(t *testing.T) {
	for n := range 50 {
		w := want(fmt.Sprint(n), 0)
		one := take(t, newPool(map[string]int{"accra": 7, "kumasi": 4}), w)
		other := take(t, newPool(map[string]int{"kumasi": 4, "accra": 7}), w)
		require.Equal(t, one.Server.Name, other.Server.Name)
	}
}

func TestAWaitingRequestGetsThePlaceThatIsGivenBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		var held []*placement.Reservation
		for range 5 {
			held = append(held, take(t, pool, want("17", 0)))
		}
		got := make(chan *placement.Reservation, 1)
		go func() {
			reservation, err := pool.Acquire(t.Context(), want("17", time.Second))
			if err == nil {
				got <- reservation
			}
			close(got)
		}()
		synctest.Wait()
		time.Sleep(30 * time.Millisecond)
		pool.Release(held[0], placement.Responded{})
		reservation := <-got
		require.NotNil(t, reservation)
		require.Equal(t, 30*time.Millisecond, reservation.Waited)
	})
}

func TestTheMoreUrgentOfThoseWhoWaitGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		var held []*placement.Reservation
		for range 5 {
			held = append(held, take(t, pool, want("17", 0)))
		}
		var mu sync.Mutex
		var order []int
		var group sync.WaitGroup
		for _, rank := range []int{2, 1, 2, 0} {
			w := want("17", 10*time.Second)
			w.Priority = rank
			group.Go(func() {
				if _, err := pool.Acquire(t.Context(), w); err == nil {
					mu.Lock()
					order = append(order, rank)
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

func TestARequestThatWouldWaitTooLongIsTurnedAwayAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		for range 5 {
			take(t, pool, want("17", 0))
		}
		start := time.Now()
		_, err := pool.Acquire(t.Context(), want("17", 20*time.Millisecond))
		var busy *placement.BusyError
		require.ErrorAs(t, err, &busy)
		require.Zero(t, time.Since(start))
	})
}

func TestAWaitingRequestEndsWithItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		for range 5 {
			take(t, pool, want("17", 0))
		}
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() {
			_, err := pool.Acquire(ctx, want("17", time.Minute))
			ended <- err
		}()
		synctest.Wait()
		cancel()
		var gone *placement.CancelledError
		require.ErrorAs(t, <-ended, &gone)
		require.ErrorIs(t, gone, context.Canceled)
	})
}

// TestThoseWhoWaitChooseAgainWhenAServerLeaves answers a drain that is acknowledged
// while requests wait for the server.
func TestThoseWhoWaitChooseAgainWhenAServerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		for range 5 {
			take(t, pool, want("17", 0))
		}
		got := make(chan *placement.Reservation, 1)
		go func() {
			reservation, err := pool.Acquire(t.Context(), want("17", time.Minute))
			if err == nil {
				got <- reservation
			}
			close(got)
		}()
		synctest.Wait()
		leaving := machine("accra", 0)
		leaving.State = objectstore.Draining
		fresh := machine("accra", 1)
		pool.SetServers([]objectstore.Machine{leaving, fresh})
		reservation := <-got
		require.NotNil(t, reservation)
		require.Equal(t, fresh.Name, reservation.Server.Name)
	})
}

func TestServersOfAnEvacuatedZoneGetNothing(t *testing.T) {
	pool := newPool(map[string]int{"accra": 3})
	pool.SetEvacuatedZones([]string{"accra-a"})
	_, err := pool.Acquire(t.Context(), want("17", time.Second))
	var none *placement.NoServerError
	require.ErrorAs(t, err, &none)
	pool.SetEvacuatedZones(nil)
	take(t, pool, want("17", 0))
}

func TestARequestStaysInTheRegionsThatBothAllow(t *testing.T) {
	pool := newPool(map[string]int{"accra": 3, "kumasi": 3, "tamale": 3})
	w := want("17", 0)
	w.AllowedRegions = [][]string{{"kumasi", "tamale"}, {"accra", "tamale"}}
	for range 8 {
		require.Equal(t, "tamale", take(t, pool, w).Server.Region)
	}
	w.AllowedRegions = [][]string{{"kumasi"}, {"tamale"}}
	_, err := pool.Acquire(t.Context(), w)
	var none *placement.NoServerError
	require.ErrorAs(t, err, &none)
}

func TestAServerThatFailsGetsNothingForLongerEachTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 2})
		first := take(t, pool, want("17", 0))
		for _, span := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second} {
			pool.Release(first, placement.NoResponse{})
			other := take(t, pool, want("17", 0))
			require.NotEqual(t, first.Server.Name, other.Server.Name)
			pool.Release(other, placement.Inconclusive{})
			time.Sleep(span)
			next := take(t, pool, want("17", 0))
			require.Equal(t, first.Server.Name, next.Server.Name, span)
			first = next
		}
	})
}

// TestAServerThatShedsHalfOfItsRequestsIsLeftOut answers servers that fail part of
// their requests while their health check is good.
func TestAServerThatShedsHalfOfItsRequestsIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 4})
		ill := take(t, pool, want("17", 0)).Server.Name
		met := 0
		for n := range 400 {
			r := take(t, pool, want("17", 0))
			var evidence placement.Outcome = placement.Responded{}
			if r.Server.Name == ill {
				met++
				if n%2 == 0 {
					evidence = placement.Shed{}
				}
			}
			pool.Release(r, evidence)
			time.Sleep(5 * time.Millisecond)
		}
		require.Less(t, met, 250)
	})
}

func TestAColdServerGetsItsRateAndNoMore(t *testing.T) {
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
		cold := machine("accra", 0)
		cold.WarmUp = 3 * time.Second
		pool.SetServers([]objectstore.Machine{cold})
		got := 0
		for range 200 {
			reservation, err := pool.Acquire(t.Context(), want("17", 0))
			if err == nil {
				got++
				pool.Release(reservation, placement.Responded{})
			}
			time.Sleep(10 * time.Millisecond)
		}
		// Two seconds at four tenths of ten.
		require.InDelta(t, 8, got, 1.5)
		time.Sleep(2 * time.Second)
		for range 4 {
			take(t, pool, want("17", 0))
		}
	})
}

func TestARestartUnderTheSameNameIsANewServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		r := take(t, pool, want("17", 0))
		pool.Release(r, placement.NoResponse{})
		again := machine("accra", 0)
		again.Started = time.Now()
		again.WarmUp = time.Second
		pool.SetServers([]objectstore.Machine{again})
		for range 5 {
			take(t, pool, want("17", 0))
		}
		_, err := pool.Acquire(t.Context(), want("17", 0))
		require.Error(t, err)
		require.False(t, errors.As(err, new(*placement.NoServerError)))
	})
}

// TestAnObjectKeepsToOnePlaceWhileServersAreFull replays servers that told that they
// are full of work: a second place would be cold, and take three times as long.
func TestAnObjectKeepsToOnePlaceWhileServersAreFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 4})
		var held []*placement.Reservation
		for n := range 40 {
			held = append(held, take(t, pool, want(fmt.Sprint(n%8), 0)))
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
		places := make(map[string]struct{})
		for range 6 {
			r, err := pool.Acquire(t.Context(), want("17", 0))
			if err == nil {
				places[r.Server.Name] = struct{}{}
			}
		}
		require.Len(t, places, 1)
	})
}
