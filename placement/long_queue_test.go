package placement_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"trefoilline.example/trefoilline/placement"
)

// TestLongQueueIsServedInOrder queues 1,000 requests of ten teams and three priorities, of which a tenth are
// cancelled, and ends one request after the other. It guards against requests that a long queue loses, serves
// before more urgent ones, or serves team by team.
func TestLongQueueIsServedInOrder(t *testing.T) {
	const queued, teams, priorities = 1000, 10, 3
	synctest.Test(t, func(t *testing.T) {
		pool := newPool(map[string]int{"accra": 1})
		held := fillServers(t, pool, 1)
		granted := make(chan *placement.Reservation, queued)
		var mu sync.Mutex
		var order []placement.Request
		ctx, cancel := context.WithCancel(t.Context())
		for n := range queued {
			request := newRequest("17", time.Hour)
			// The requests of a team and priority arrive one after the other.
			request.Team, request.Priority = fmt.Sprint(n*teams/queued), (n/10)%priorities
			requestContext := t.Context()
			if n%10 == 0 {
				requestContext = ctx
			}
			go func() {
				reservation, err := pool.Acquire(requestContext, request)
				if err != nil {
					return
				}
				mu.Lock()
				order = append(order, request)
				mu.Unlock()
				granted <- reservation
			}()
			synctest.Wait()
		}
		require.Equal(t, queued, pool.QueuedRequests(service))
		cancel()
		synctest.Wait()
		require.Equal(t, queued*9/10, pool.QueuedRequests(service))
		for _, reservation := range held {
			pool.Release(reservation, placement.Inconclusive{})
		}
		for range queued * 9 / 10 {
			reservation := <-granted
			time.Sleep(time.Millisecond)
			pool.Release(reservation, placement.Inconclusive{})
			synctest.Wait()
		}
		require.Zero(t, pool.QueuedRequests(service))
		require.Len(t, order, queued*9/10)
		counts := make([]map[string]int, priorities)
		for i := range counts {
			counts[i] = make(map[string]int)
		}
		for i, request := range order {
			if i > 0 {
				require.GreaterOrEqual(t, request.Priority, order[i-1].Priority)
			}
			counts[request.Priority][request.Team]++
			if request.Priority > 0 {
				continue
			}
			// The teams have 27 or 36 requests of this priority each.
			for team := range teams {
				if len(counts[0]) == teams && counts[0][request.Team] <= 27 {
					require.InDelta(t, counts[0][request.Team], counts[0][fmt.Sprint(team)], 2)
				}
			}
		}
		fillServers(t, pool, 1)
	})
}

// TestQueueLosesNoRoom queues, cancels and ends requests of several keys in random order. It guards against
// slots that stay taken, and requests that stay queued, once all requests have ended.
func TestQueueLosesNoRoom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 5), 1, 80).Draw(rt, "steps")
		numbers := rapid.SliceOfN(rapid.IntRange(0, 99), len(steps), len(steps)).Draw(rt, "numbers")
		synctest.Test(t, func(t *testing.T) {
			const servers = 2
			pool := newPool(map[string]int{"accra": servers})
			var mu sync.Mutex
			var held []*placement.Reservation
			var cancels []context.CancelFunc
			release := func(n int) {
				mu.Lock()
				defer mu.Unlock()
				if len(held) == 0 {
					return
				}
				n %= len(held)
				pool.Release(held[n], placement.Inconclusive{})
				held = append(held[:n], held[n+1:]...)
			}
			for i, step := range steps {
				n := numbers[i]
				switch step {
				case 0:
					release(n)
				case 1:
					if len(cancels) > 0 {
						cancels[n%len(cancels)]()
					}
				case 2:
					time.Sleep(time.Duration(n) * 10 * time.Millisecond)
				default:
					request := newRequest(fmt.Sprint(n%4), time.Duration(n)*30*time.Millisecond)
					request.Team, request.Priority = fmt.Sprint(n%3), n%2
					request.Target = request.QueueDeadline.Add(time.Second)
					request.LateDeadline = request.QueueDeadline.Add(2 * time.Second)
					ctx, cancel := context.WithCancel(t.Context())
					cancels = append(cancels, cancel)
					go func() {
						if reservation, err := pool.Acquire(ctx, request); err == nil {
							mu.Lock()
							defer mu.Unlock()
							held = append(held, reservation)
						}
					}()
				}
				synctest.Wait()
			}
			time.Sleep(10 * time.Second)
			synctest.Wait()
			require.Zero(rt, pool.QueuedRequests(service))
			for len(held) > 0 {
				release(0)
			}
			for _, cancel := range cancels {
				cancel()
			}
			for range servers * 5 {
				_, err := pool.Acquire(t.Context(), newRequest("", 0))
				require.NoError(rt, err)
			}
			_, err := pool.Acquire(t.Context(), newRequest("", 0))
			require.Error(rt, err)
		})
	})
}
