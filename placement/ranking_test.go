package placement_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/routing"
)

// expectedServer returns the name of the usable server of accra with the highest score for a
// key in weighted rendezvous hashing; of all regions if accra has none. It is empty if no
// server is usable.
func expectedServer(route, key string, servers []objectstore.Machine) string {
	best, bestRemote := "", ""
	highest, highestRemote := math.Inf(-1), math.Inf(-1)
	for _, s := range servers {
		score := -float64(s.Slots) / math.Log(placement.HashFraction(route+"\x00"+key+"\x00"+s.Name))
		switch {
		case s.State != objectstore.Live:
		case s.Region == "accra" && score > highest:
			best, highest = s.Name, score
		case s.Region != "accra" && score > highestRemote:
			bestRemote, highestRemote = s.Name, score
		}
	}
	if best == "" {
		return bestRemote
	}
	return best
}

// TestKeysKeepTheirServers compares the chosen servers with a plain search through all
// servers, while servers are added, removed, restarted, drained and resized. Keys must stay
// on their servers through a change of the implementation, since other hosts may not have it yet.
func TestKeysKeepTheirServers(t *testing.T) {
	regions := []string{"accra", "kumasi"}
	rapid.Check(t, func(t *rapid.T) {
		pool := newPool(nil)
		listed := make(map[string]objectstore.Machine)
		for range 6 {
			for range rapid.IntRange(1, 30).Draw(t, "changes") {
				s := newServer(rapid.SampledFrom(regions).Draw(t, "region"), rapid.IntRange(0, 59).Draw(t, "number"))
				s.Slots = rapid.IntRange(1, 8).Draw(t, "slots")
				s.Address = netip.AddrPortFrom(s.Address.Addr(), uint16(rapid.IntRange(80, 83).Draw(t, "port")))
				s.State = rapid.SampledFrom([]objectstore.MachineState{objectstore.Live, objectstore.Live, objectstore.Draining}).Draw(t, "state")
				listed[s.Name] = s
				if rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
					delete(listed, s.Name)
				}
			}
			servers := make([]objectstore.Machine, 0, len(listed))
			for _, s := range listed {
				servers = append(servers, s)
			}
			pool.SetServers(servers)
			for n := range 20 {
				key := fmt.Sprint(n)
				reservation, err := pool.Acquire(t.Context(), newRequest(key, 0))
				expected := expectedServer("stock", key, servers)
				if expected == "" {
					var noServer *placement.NoServerError
					require.ErrorAs(t, err, &noServer)
					continue
				}
				require.NoError(t, err)
				require.Equal(t, expected, reservation.Server.Name)
				pool.Release(reservation, placement.Inconclusive{})
			}
		}
	})
}

// newColdPool returns a pool with servers of accra that all are cold, and a cold rate that
// this host shares with nobody.
func newColdPool(servers int) *placement.Pool {
	pool := newPool(nil)
	pool.SetServices([]routing.Service{
		{
			Name:     service,
			ColdRate: 5,
			ColdTime: time.Minute,
		},
	})
	pool.SetHosts(map[string][]string{"accra": {"accra-host"}})
	listed := newServers(map[string]int{"accra": servers})
	for i := range listed {
		listed[i].WarmUp = time.Minute
	}
	pool.SetServers(listed)
	return pool
}

// TestKeylessRequestsUseColdServers sends requests without an affinity key while all servers
// are cold. Each server takes its first request at once, and none more than its burst.
func TestKeylessRequestsUseColdServers(t *testing.T) {
	const servers = 6
	pool := newColdPool(servers)
	start := time.Now()
	now := start
	pool.Clock = func() time.Time { return now }
	request := newRequest("", 0)
	request.QueueDeadline = start
	// A bucket begins to fill with the first request that finds its server cold.
	_, _ = pool.Acquire(t.Context(), request)
	now = start.Add(time.Second)
	perServer := map[string]int{}
	for range 2 * servers {
		reservation, err := pool.Acquire(t.Context(), request)
		if err != nil {
			var busy *placement.BusyError
			require.ErrorAs(t, err, &busy)
			continue
		}
		perServer[reservation.Server.Name]++
	}
	require.Len(t, perServer, servers)
	for name, count := range perServer {
		require.Equal(t, 1, count, name)
	}
}

// TestReleaseServesRequestsThatWaitForTheServer ends requests on one server at a time, all at
// the same instant. Those that wait for another server stay queued, the most urgent of those
// that wait for this one is served.
func TestReleaseServesRequestsThatWaitForTheServer(t *testing.T) {
	pool := newPool(map[string]int{"accra": 40})
	pool.ServersPerKey = 1
	frozen := time.Now()
	pool.Clock = func() time.Time { return frozen }
	var held []*placement.Reservation
	for _, key := range []string{"a", "b"} {
		for range 4 + placement.DefaultServerQueueLimit {
			held = append(held, acquire(t, pool, newRequest(key, time.Hour)))
		}
	}
	require.NotEqual(t, held[0].Server.Name, held[len(held)-1].Server.Name)
	granted := make(chan string)
	enqueue := func(key string, priority int) {
		request := newRequest(key, time.Hour)
		request.Priority = priority
		before := pool.QueuedRequests(service)
		go func() {
			reservation, err := pool.Acquire(t.Context(), request)
			if err == nil {
				granted <- fmt.Sprint(key, priority, reservation.Server.Name)
			}
		}()
		require.Eventually(t, func() bool { return pool.QueuedRequests(service) == before+1 }, 10*time.Second, time.Millisecond)
	}
	enqueue("b", 0)
	enqueue("a", 2)
	enqueue("a", 1)
	pool.Release(held[1], placement.Inconclusive{})
	require.Equal(t, fmt.Sprint("a", 1, held[0].Server.Name), <-granted)
	pool.Release(held[2], placement.Inconclusive{})
	require.Equal(t, fmt.Sprint("a", 2, held[0].Server.Name), <-granted)
	require.Equal(t, 1, pool.QueuedRequests(service))
	pool.Release(held[len(held)-1], placement.Inconclusive{})
	require.Equal(t, fmt.Sprint("b", 0, held[len(held)-1].Server.Name), <-granted)
	require.Zero(t, pool.QueuedRequests(service))
}
