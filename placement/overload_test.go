package placement_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/placement"
)

// overloadCase is a load that exceeds the room of simulatedServers for overloadTime.
type overloadCase struct {
	// factor is the load relative to the room during the overload. Before and after it is calmFactor.
	factor float64
	// mayBeLate is true if requests that can't be in time any more stay queued.
	mayBeLate bool
}

const (
	overloadTime = 6 * time.Second
	calmTime     = 4 * time.Second
	calmFactor   = 0.7
	// overloadTarget and overloadTimeout are the target of the requests and the time after which their
	// callers give up.
	overloadTarget  = 800 * time.Millisecond
	overloadTimeout = 2500 * time.Millisecond
	// maxReturns is how many times a caller sends a request again.
	maxReturns = 2
)

// overloadResult counts the requests of one priority by how they ended.
type overloadResult struct {
	mu       sync.Mutex
	inTime   int
	late     int
	rejected int
	// rejections counts the rejections of requests, of which rejectedAgain are of returning ones.
	rejections    int
	rejectedAgain int
	// longestRejection is the longest time that a request was queued and then rejected.
	longestRejection time.Duration
}

func (r *overloadResult) sent() int { return r.inTime + r.late + r.rejected }

func (r *overloadResult) servedFraction() float64 {
	return float64(r.inTime+r.late) / float64(r.sent())
}

// worth is 1 for a response in time and 0.2 for a late one, less 0.3 for each further rejection.
func (r *overloadResult) worth() float64 {
	return (float64(r.inTime) + 0.2*float64(r.late) - 0.3*float64(r.rejectedAgain)) / float64(r.sent())
}

// simulateOverload sends requests of three priorities and returns the results by priority.
func simulateOverload(t *testing.T, seed uint64, c overloadCase) []*overloadResult {
	results := []*overloadResult{{}, {}, {}}
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": simulatedServers})
		pool.Random = lockedRandom(seed)
		start := time.Now()
		var group sync.WaitGroup
		for priority, result := range results {
			for team := range 6 {
				random := rand.New(rand.NewPCG(seed, uint64(priority*100+team)))
				group.Go(func() {
					for elapsed := time.Duration(0); elapsed < 2*calmTime+overloadTime; elapsed = time.Since(start) {
						rate := calmFactor * simulatedCapacity / 18
						if elapsed > calmTime && elapsed < calmTime+overloadTime {
							rate = c.factor * simulatedCapacity / 18
						}
						time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
						request := newRequest(fmt.Sprint(random.IntN(simulatedKeys)), 0)
						request.Team, request.Priority, request.Route = fmt.Sprint(team), priority, fmt.Sprint("route-", priority)
						group.Go(func() { callOverloaded(t, pool, request, c, result) })
					}
				})
			}
		}
		group.Wait()
	})
	return results
}

// lockedRandom returns a source of random numbers with a seed.
func lockedRandom(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 0))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

// callOverloaded sends a request, again after the time that a rejection states.
func callOverloaded(t *testing.T, pool *placement.Pool, request placement.Request, c overloadCase, result *overloadResult) {
	first := time.Now()
	for attempt := 0; ; attempt++ {
		start := time.Now()
		request.QueueDeadline = start.Add(overloadTarget / 2)
		if c.mayBeLate {
			request.Target = start.Add(overloadTarget)
			request.LateDeadline = start.Add(overloadTarget * 3 / 2)
		}
		reservation, err := pool.Acquire(t.Context(), request)
		if err == nil {
			time.Sleep(simulatedSlotTime)
			pool.Release(reservation, placement.Responded{
				Latency: simulatedSlotTime,
			})
			result.mu.Lock()
			defer result.mu.Unlock()
			if time.Since(start) <= overloadTarget {
				result.inTime++
			} else {
				result.late++
			}
			return
		}
		var busy *placement.BusyError
		if !errors.As(err, &busy) {
			t.Error(err)
			return
		}
		result.mu.Lock()
		result.rejections++
		if attempt > 0 {
			result.rejectedAgain++
		}
		result.longestRejection = max(result.longestRejection, busy.QueueTime)
		returnsInTime := time.Since(first)+busy.RetryAfter < overloadTimeout
		if attempt == maxReturns || !returnsInTime {
			result.rejected++
		}
		result.mu.Unlock()
		if attempt == maxReturns || !returnsInTime {
			return
		}
		time.Sleep(max(busy.RetryAfter, 50*time.Millisecond))
	}
}

// TestOverloadServesUrgentRequestsInTime replays seconds of 1.5 to 3 times the room with three priorities
// and callers that return when they are told to. It guards against less urgent requests that are served
// more often than urgent ones, against late requests that take slots from those that can be in time, and
// against requests that are held for long and then rejected.
func TestOverloadServesUrgentRequestsInTime(t *testing.T) {
	for _, factor := range []float64{1.5, 2, 3} {
		for seed := uint64(1); seed <= 2; seed++ {
			var worth, urgentWorth [2]float64
			for i, mayBeLate := range []bool{false, true} {
				results := simulateOverload(t, seed, overloadCase{
					factor:    factor,
					mayBeLate: mayBeLate,
				})
				for priority, r := range results {
					worth[i] += r.worth() * float64(r.sent())
					if priority < len(results)-1 {
						urgentWorth[i] += r.worth() * float64(r.sent())
					}
					t.Logf("factor %v, may be late %v, seed %d, priority %d: of %d in time %d, late %d; rejections %d, again %d, after at most %v; worth %.3f",
						factor, mayBeLate, seed, priority, r.sent(), r.inTime, r.late, r.rejections, r.rejectedAgain, r.longestRejection, r.worth())
					require.LessOrEqual(t, r.longestRejection, overloadTarget*3/2-simulatedSlotTime)
					if priority > 0 {
						require.GreaterOrEqual(t, results[priority-1].servedFraction(), r.servedFraction())
					}
				}
				// The most urgent requests alone take at most the whole room.
				require.Greater(t, float64(results[0].inTime)/float64(results[0].sent()), 0.99)
			}
			require.GreaterOrEqual(t, worth[1], worth[0])
			require.GreaterOrEqual(t, urgentWorth[1], 0.995*urgentWorth[0])
		}
	}
}

// TestLateRequestWaitsBehindThoseInTime guards against requests that can't be in time any more and go
// before one that can, or are rejected although a slot is left for them.
func TestLateRequestWaitsBehindThoseInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		var held []*placement.Reservation
		for range 5 {
			held = append(held, acquire(t, pool, newRequest("17", 0)))
		}
		acquireLate := func() chan *placement.Reservation {
			request := newRequest("17", 400*time.Millisecond)
			request.Target = time.Now().Add(800 * time.Millisecond)
			request.LateDeadline = time.Now().Add(1200 * time.Millisecond)
			granted := make(chan *placement.Reservation, 1)
			go func() {
				reservation, _ := pool.Acquire(t.Context(), request)
				granted <- reservation
			}()
			synctest.Wait()
			return granted
		}
		first, second := acquireLate(), acquireLate()
		// The slot time is taken to be 200 ms, so that both can be in time for 600 ms.
		time.Sleep(700 * time.Millisecond)
		inTime := acquireLate()
		pool.Release(held[0], placement.Inconclusive{})
		synctest.Wait()
		require.NotNil(t, <-inTime)
		require.Equal(t, 2, pool.QueuedRequests(service))
		// A position in the server's queue isn't given to a late request, but a free slot is.
		pool.Release(held[1], placement.Inconclusive{})
		synctest.Wait()
		require.Equal(t, 2, pool.QueuedRequests(service))
		pool.Release(held[2], placement.Inconclusive{})
		synctest.Wait()
		require.Equal(t, 700*time.Millisecond, (<-first).QueueTime)
		require.Empty(t, second)
		// No response can arrive within 1.2 s if the slot is free after a second.
		time.Sleep(400 * time.Millisecond)
		require.Nil(t, <-second)
		require.Zero(t, pool.QueuedRequests(service))
	})
}
