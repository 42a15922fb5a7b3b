package queue_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/queue"
)

// busyError says that no slot is free.
type busyError struct{}

func (busyError) Error() string { return "busy" }

func (busyError) MayWait() bool { return true }

// slots counts what the requests of a test wait for.
type slots struct {
	mu     sync.Mutex
	free   int
	served map[string]int
}

func (s *slots) take() (*slots, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return nil, busyError{}
	}
	s.free--
	return s, nil
}

func newQueue(free, bound int) *queue.Queue[*slots] {
	s := &slots{
		free:   free,
		served: make(map[string]int),
	}
	return &queue.Queue[*slots]{
		TryAcquire:       s.take,
		MaxQueuedPerTeam: bound,
	}
}

func (s *slots) count(team string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.served[team])
}

// finish gives the slot back and ends the grant.
func finish(g *queue.Grant[*slots], team string) {
	g.Value.mu.Lock()
	g.Value.free++
	g.Value.served[team]++
	g.Value.mu.Unlock()
	g.Release()
}

func TestFullLineRefusesOnlyItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(0, 2)
		ctx, cancel := context.WithCancel(t.Context())
		for range 2 {
			go func() {
				_, err := q.Acquire(ctx, "large", time.Time{})
				var canceled *queue.CanceledError
				require.ErrorAs(t, err, &canceled)
			}()
		}
		synctest.Wait()
		_, err := q.Acquire(ctx, "large", time.Time{})
		var full *queue.TeamQueueFullError
		require.ErrorAs(t, err, &full)
		_, err = q.Acquire(ctx, "small", time.Now().Add(time.Second))
		var late *queue.DeadlineError
		require.ErrorAs(t, err, &late)
		cancel()
		synctest.Wait()
		require.Zero(t, q.ViolationCount())
	})
}

func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, 8)
		for range 20 {
			g, err := q.Acquire(t.Context(), "team", time.Time{})
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			finish(g, "team")
		}
		held, err := q.Acquire(t.Context(), "team", time.Time{})
		require.NoError(t, err)
		for range 3 {
			go func() {
				g, err := q.Acquire(t.Context(), "team", time.Time{})
				require.NoError(t, err)
				finish(g, "team")
			}()
		}
		synctest.Wait()
		before := time.Now()
		_, err = q.Acquire(t.Context(), "team", before.Add(250*time.Millisecond))
		var late *queue.DeadlineError
		require.ErrorAs(t, err, &late)
		require.Equal(t, before, time.Now())
		finish(held, "team")
		synctest.Wait()
	})
}

func TestGrantsFollowWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, 64)
		q.SetWeights(map[string]float64{
			"heavy": 3,
		})
		g, err := q.Acquire(t.Context(), "heavy", time.Time{})
		require.NoError(t, err)
		s := g.Value
		finish(g, "heavy")
		for _, team := range []string{"heavy", "light"} {
			for range 60 {
				go func() {
					for time.Now().Before(start.Add(20 * time.Second)) {
						g, err := q.Acquire(t.Context(), team, time.Time{})
						require.NoError(t, err)
						time.Sleep(40 * time.Millisecond)
						finish(g, team)
					}
				}()
			}
		}
		synctest.Wait()
		time.Sleep(19 * time.Second)
		synctest.Wait()
		ratio := s.count("heavy") / s.count("light")
		time.Sleep(11 * time.Second)
		synctest.Wait()
		require.InDelta(t, 3, ratio, 0.2)
		require.Zero(t, q.ViolationCount())
	})
}

// start is when a synctest bubble's clock begins.
var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
