package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

const testMaxShift = 0.15

// trafficRun sends the requests of the hosts of accra to servers of accra, kumasi and tamale.
type trafficRun struct {
	pools []*placement.Pool
	// perSecond is the requests per second of each host.
	perSecond float64
	// outcome returns how a request to a region ends.
	outcome func(region string, at time.Duration) placement.Outcome

	// excluded are the servers that every third request was sent to already.
	excluded []string
	sent     int

	now     time.Time
	windows []trafficWindow
}

// trafficWindow counts the requests of two seconds.
type trafficWindow struct{ requests, elsewhere, rejected float64 }

func newTrafficRun(hosts int, perSecond, maxShift float64) *trafficRun {
	run := &trafficRun{
		perSecond: perSecond,
		now:       time.Unix(1000, 0),
	}
	for n := range hosts {
		pool := &placement.Pool{
			Host:   fmt.Sprint("host-", n),
			Region: "accra",
			Clock:  func() time.Time { return run.now },
		}
		pool.SetServers(newServers(map[string]int{"accra": 4, "kumasi": 8, "tamale": 8}))
		pool.SetMaxShift(maxShift)
		run.pools = append(run.pools, pool)
	}
	return run
}

// send sends requests for the duration. None waits for a server.
func (r *trafficRun) send(t *testing.T, duration time.Duration) {
	t.Helper()
	const tick = 10 * time.Millisecond
	random := rand.New(rand.NewPCG(7, 8))
	for at := time.Duration(0); at < duration; at += tick {
		r.now = r.now.Add(tick)
		window := int(at / (2 * time.Second))
		if window == len(r.windows) {
			r.windows = append(r.windows, trafficWindow{})
		}
		for _, pool := range r.pools {
			if random.Float64() < r.perSecond*tick.Seconds() {
				r.sendOne(t, pool, at, fmt.Sprint(random.IntN(500)), &r.windows[window])
			}
		}
	}
}

func (r *trafficRun) sendOne(t *testing.T, pool *placement.Pool, at time.Duration, key string, window *trafficWindow) {
	t.Helper()
	request := newRequest(key, 0)
	request.QueueDeadline = r.now
	window.requests++
	if r.sent++; r.sent%3 == 0 {
		request.ExcludedServers = r.excluded
	}
	reservation, err := pool.Acquire(t.Context(), request)
	if err != nil {
		var busy *placement.BusyError
		require.ErrorAs(t, err, &busy)
		window.rejected++
		return
	}
	if reservation.Server.Region != "accra" {
		window.elsewhere++
	}
	pool.Release(reservation, r.outcome(reservation.Server.Region, at))
}

// largestShift returns the largest change of the fraction of requests that run elsewhere.
func (r *trafficRun) largestShift() float64 {
	largest, last := 0.0, 0.0
	for _, w := range r.windows {
		fraction := w.elsewhere / w.requests
		largest, last = max(largest, fraction-last, last-fraction), fraction
	}
	return largest
}

// failLocally returns outcomes of which those of accra are failures from the fifth second on.
func failLocally(failure placement.Outcome) func(string, time.Duration) placement.Outcome {
	return func(region string, at time.Duration) placement.Outcome {
		if region == "accra" && at > 5*time.Second {
			return failure
		}
		return placement.Responded{
			Latency: 50 * time.Millisecond,
		}
	}
}

// TestMassEjectionMovesFewRequests replays servers of a region that all refuse requests, as they did
// while hosts ignored their load reports: 40 in 100 requests changed their region from one 2 s window to
// the next.
func TestMassEjectionMovesFewRequests(t *testing.T) {
	for _, traffic := range []struct {
		hosts     int
		perSecond float64
	}{{1, 80}, {24, 40}} {
		run := func(maxShift float64) float64 {
			r := newTrafficRun(traffic.hosts, traffic.perSecond, maxShift)
			r.outcome = failLocally(placement.Refused{})
			r.send(t, 30*time.Second)
			return r.largestShift()
		}
		unbounded, bounded := run(0), run(testMaxShift)
		t.Logf("%d hosts with %.1f requests per second: largest change %.3f without a bound, %.3f with", traffic.hosts, traffic.perSecond, unbounded, bounded)
		require.Greater(t, unbounded, testMaxShift)
		require.LessOrEqual(t, bounded, testMaxShift*spilloverFraction)
	}
}

// spilloverFraction is the fraction of the largest shift that is for spillover.
const spilloverFraction = 0.25

// TestHostsWithFewRequestsKeepToAllowanceTogether guards against hosts that each round their
// allowance up to a whole request: all of them together may move only their sum. A third of the requests were
// sent to all servers of the region before.
func TestHostsWithFewRequestsKeepToAllowanceTogether(t *testing.T) {
	r := newTrafficRun(24, 2, testMaxShift)
	r.excluded = []string{"accra-0", "accra-1", "accra-2", "accra-3"}
	r.outcome = failLocally(placement.Responded{})
	r.send(t, 60*time.Second)
	requests, elsewhere := 0.0, 0.0
	for _, w := range r.windows {
		requests += w.requests
		elsewhere += w.elsewhere
	}
	t.Logf("elsewhere %.4f, largest change %.3f", elsewhere/requests, r.largestShift())
	require.Positive(t, elsewhere)
	require.LessOrEqual(t, elsewhere/requests, testMaxShift*spilloverFraction)
	require.LessOrEqual(t, r.largestShift(), testMaxShift/2)
}

// TestUnreachableRegionMovesAtOnce guards against a bound that holds requests back in a region whose
// servers are gone: connections fail, another server has the address, or nothing responds.
func TestUnreachableRegionMovesAtOnce(t *testing.T) {
	for _, failure := range []placement.Outcome{
		placement.NoResponse{},
		placement.Misdirected{},
	} {
		r := newTrafficRun(1, 80, testMaxShift)
		r.outcome = failLocally(failure)
		r.send(t, 12*time.Second)
		last := r.windows[len(r.windows)-1]
		require.Greater(t, last.elsewhere/last.requests, 0.9, "%T", failure)
		require.Zero(t, last.rejected, "%T", failure)
	}
}

// TestSilentRegionMoves guards against the same with links on which packets are lost: requests on open
// connections end with their deadline, which overloaded servers cause too.
func TestSilentRegionMoves(t *testing.T) {
	elsewhere := func(maxShift float64) float64 {
		r := newTrafficRun(1, 80, maxShift)
		r.outcome = failLocally(placement.DeadlineExceeded{})
		r.send(t, 12*time.Second)
		last := r.windows[len(r.windows)-1]
		return last.elsewhere / last.requests
	}
	unbounded, bounded := elsewhere(0), elsewhere(testMaxShift)
	t.Logf("elsewhere %.2f without a bound, %.2f with", unbounded, bounded)
	require.InDelta(t, unbounded, bounded, 0.02)
	require.Positive(t, bounded)
}

// TestEvacuatedRegionMovesAtOnce guards against a bound that holds requests back in zones that operators
// have emptied.
func TestEvacuatedRegionMovesAtOnce(t *testing.T) {
	r := newTrafficRun(1, 80, testMaxShift)
	r.outcome = failLocally(placement.Responded{})
	r.send(t, 4*time.Second)
	r.pools[0].SetEvacuatedZones([]string{"accra-a"})
	r.windows = nil
	r.send(t, 2*time.Second)
	require.InDelta(t, 1, r.windows[0].elsewhere/r.windows[0].requests, 0)
}

// TestRetriesStayInRegionWithinAllowance guards against retries that leave the region because they were
// sent to all of its servers.
func TestRetriesStayInRegionWithinAllowance(t *testing.T) {
	pool := newPool(map[string]int{"accra": 2, "kumasi": 8})
	pool.SetMaxShift(testMaxShift)
	request := newRequest("key", 0)
	request.ExcludedServers = []string{"accra-0", "accra-1"}
	_, err := pool.Acquire(t.Context(), request)
	var busy *placement.BusyError
	require.ErrorAs(t, err, &busy)
}

// TestEjectedServersAreUsedIfAllAreEjected guards against a bound that rejects requests when no server
// in any region is better than the region's own.
func TestEjectedServersAreUsedIfAllAreEjected(t *testing.T) {
	r := newTrafficRun(1, 80, testMaxShift)
	r.outcome = func(string, time.Duration) placement.Outcome { return placement.Refused{} }
	r.pools[0].SetServers(newServers(map[string]int{"accra": 4}))
	r.send(t, 4*time.Second)
	require.Zero(t, r.windows[1].rejected)
}

// TestRejectedForEjectionIsToldWhenItEnds guards against callers that are told to come back while the
// servers of their region are still ejected.
func TestRejectedForEjectionIsToldWhenItEnds(t *testing.T) {
	r := newTrafficRun(1, 80, testMaxShift)
	r.outcome = failLocally(placement.Refused{})
	r.send(t, 6*time.Second)
	// Without jitter, and for a team that was told no other time, only the ejection counts.
	r.pools[0].Random = func() float64 { return 0 }
	for {
		reservation, err := r.pools[0].Acquire(t.Context(), placement.Request{
			Service:       service,
			Route:         "stock",
			Team:          "another",
			AffinityKey:   "key",
			QueueDeadline: r.now,
		})
		var busy *placement.BusyError
		if errors.As(err, &busy) {
			require.Positive(t, busy.RetryAfter)
			require.LessOrEqual(t, busy.RetryAfter, 500*time.Millisecond)
			return
		}
		require.NoError(t, err)
		r.pools[0].Release(reservation, placement.Refused{})
	}
}

// TestKeyThatLeftRegionStaysInOneRegion guards against requests that change their region whenever the
// first server of their key is full: its second server must be in the same region.
func TestKeyThatLeftRegionStaysInOneRegion(t *testing.T) {
	pool := newPool(map[string]int{"accra": 2, "kumasi": 8, "tamale": 8})
	pool.SetMaxShift(testMaxShift)
	pool.SetLocalShares(map[string]float64{
		"stock": 0,
	})
	for n := range 50 {
		request := newRequest(fmt.Sprint("key-", n), 0)
		first := acquire(t, pool, request)
		request.ExcludedServers = []string{first.Server.Name}
		second := acquire(t, pool, request)
		require.Equal(t, first.Server.Region, second.Server.Region)
		pool.Release(first, placement.Inconclusive{})
		pool.Release(second, placement.Inconclusive{})
	}
}
