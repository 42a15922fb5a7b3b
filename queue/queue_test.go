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

// noSlotError reports that no slot is free.
type noSlotError struct{}

func (noSlotError) Error() string { return "busy" }

func (noSlotError) IsTemporary() bool { return true }

// slots is the resource that the requests of a test wait for. It counts the
// finished requests per team.
type slots struct {
	mu     sync.Mutex
	free   int
	served map[string]int
}

func (s *slots) acquire() (*slots, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.free == 0 {
		return nil, noSlotError{}
	}
	s.free--
	return s, nil
}

func newQueue(freeSlots, maxQueued int) *queue.Queue[*slots] {
	s := &slots{
		free:   freeSlots,
		served: make(map[string]int),
	}
	return &queue.Queue[*slots]{
		TryAcquire:       s.acquire,
		MaxQueuedPerTeam: maxQueued,
	}
}

func (s *slots) servedCount(team string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.served[team])
}

// finishRequest frees the slot and releases the grant.
func finishRequest(grant *queue.Grant[*slots], team string) {
	grant.Value.mu.Lock()
	grant.Value.free++
	grant.Value.served[team]++
	grant.Value.mu.Unlock()
	grant.Release()
}

func TestFullQueueRejectsOnlyItsTeam(t *testing.T) {
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
		// The queue of the other team has room: its request is queued until its
		// deadline.
		_, err = q.Acquire(ctx, "small", time.Now().Add(time.Second))
		var deadlineErr *queue.DeadlineError
		require.ErrorAs(t, err, &deadlineErr)
		cancel()
		synctest.Wait()
		require.Zero(t, q.ViolationCount())
	})
}

func TestUnmeetableDeadlineIsRejectedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(1, 8)
		for range 20 {
			grant, err := q.Acquire(t.Context(), "team", time.Time{})
			require.NoError(t, err)
			time.Sleep(100 * time.Millisecond)
			finishRequest(grant, "team")
		}
		held, err := q.Acquire(t.Context(), "team", time.Time{})
		require.NoError(t, err)
		for range 3 {
			go func() {
				grant, err := q.Acquire(t.Context(), "team", time.Time{})
				require.NoError(t, err)
				finishRequest(grant, "team")
			}()
		}
		synctest.Wait()
		before := time.Now()
		_, err = q.Acquire(t.Context(), "team", before.Add(250*time.Millisecond))
		var deadlineErr *queue.DeadlineError
		require.ErrorAs(t, err, &deadlineErr)
		require.Equal(t, before, time.Now())
		finishRequest(held, "team")
		synctest.Wait()
	})
}

func TestGrantsAreProportionalToWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := newQueue(4, 64)
		q.SetWeights(map[string]float64{
			"heavy": 3,
		})
		grant, err := q.Acquire(t.Context(), "heavy", time.Time{})
		require.NoError(t, err)
		s := grant.Value
		finishRequest(grant, "heavy")
		for _, team := range []string{"heavy", "light"} {
			for range 60 {
				go func() {
					for time.Now().Before(start.Add(20 * time.Second)) {
						grant, err := q.Acquire(t.Context(), team, time.Time{})
						require.NoError(t, err)
						time.Sleep(40 * time.Millisecond)
						finishRequest(grant, team)
					}
				}()
			}
		}
		synctest.Wait()
		time.Sleep(19 * time.Second)
		synctest.Wait()
		ratio := s.servedCount("heavy") / s.servedCount("light")
		time.Sleep(11 * time.Second)
		synctest.Wait()
		require.InDelta(t, 3, ratio, 0.2)
		require.Zero(t, q.ViolationCount())
	})
}

// start is the initial time of the fake clock in a synctest bubble.
var start = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
