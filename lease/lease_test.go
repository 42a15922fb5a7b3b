package lease_test

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/standin/store"
	"trefoilline.example/trefoilline/lease"
	"trefoilline.example/trefoilline/objectstore"
)

const key = "lease/plan"

func candidate(s objectstore.Store, holder string) *lease.Lease {
	return &lease.Lease{
		Store:  s,
		Key:    key,
		Holder: holder,
	}
}

func TestTakesOverOnlyAfterTheHolderGaveUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		first, second := candidate(memory, "a"), candidate(memory, "b")
		require.NoError(t, first.AcquireOrRenew(t.Context()))
		for range 60 {
			err := second.AcquireOrRenew(t.Context())
			_, firstErr := first.Term()
			if err == nil {
				require.Error(t, firstErr, "both hold the lease")
				break
			}
			require.ErrorAs(t, err, new(*lease.HeldByOtherError))
			time.Sleep(500 * time.Millisecond)
		}
		term, err := second.Term()
		require.NoError(t, err)
		require.Equal(t, lease.Epoch(2), term.Epoch)
		require.ErrorAs(t, first.AcquireOrRenew(t.Context()), new(*lease.HeldByOtherError))

		require.NoError(t, second.Release(t.Context()))
		require.ErrorAs(t, second.Release(t.Context()), new(*lease.NotHeldError))
		require.NoError(t, first.AcquireOrRenew(t.Context()), "a released lease is free at once")
		term, err = first.Term()
		require.NoError(t, err)
		require.Equal(t, lease.Epoch(3), term.Epoch)
	})
}

func TestLostReplyIsSettledByTheNextRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		memory.SetFaults(store.Faults{
			DropWriteReplies: 1,
		})
		l := candidate(memory, "a")
		require.ErrorAs(t, l.AcquireOrRenew(t.Context()), new(*objectstore.UnknownOutcomeError))
		require.Zero(t, l.Remaining())
		require.NoError(t, l.AcquireOrRenew(t.Context()))
		term, err := l.Term()
		require.NoError(t, err)
		require.Equal(t, lease.Epoch(1), term.Epoch)
		require.Equal(t, lease.DefaultDuration, l.Remaining())
	})
}

func TestHolderOnAJumpingWallClockGivesUp(t *testing.T) {
	now := time.Now()
	l := candidate(&store.Memory{}, "a")
	l.Clock = func() time.Time { return now }
	require.NoError(t, l.AcquireOrRenew(t.Context()))
	// A suspended machine: only the wall clock shows the pause.
	now = now.Round(0).Add(time.Minute)
	_, err := l.Term()
	require.ErrorAs(t, err, new(*lease.NotHeldError))
}

// pausing holds each write and its answer back for a while, as a process does
// that is paused between its check and its write.
type pausing struct {
	objectstore.Store
	pause func() time.Duration
}

func (p pausing) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	time.Sleep(p.pause())
	version, err := p.Store.Put(ctx, key, value, condition)
	time.Sleep(p.pause())
	return version, err
}

// journal is the order in which the store accepted writes of a guarded object.
type journal struct {
	mu     sync.Mutex
	epochs []lease.Epoch
}

// stale counts writes that came after one of a later epoch.
func (j *journal) stale() int {
	count, highest := 0, lease.Epoch(0)
	for _, epoch := range j.epochs {
		if epoch < highest {
			count++
		}
		highest = max(highest, epoch)
	}
	return count
}

// TestStaleEpochsWriteNothing races holders that are paused anywhere, with a
// store that loses replies and goes down. The baseline checks its term and
// then writes without the fence.
func TestStaleEpochsWriteNothing(t *testing.T) {
	unfenced, fenced, writes := 0, 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			stale, _ := race(t, seed, false)
			unfenced += stale
			stale, accepted := race(t, seed, true)
			fenced += stale
			writes += accepted
		})
	}
	t.Logf("stale writes accepted in 20 runs: checked only %d, fenced %d of %d", unfenced, fenced, writes)
	require.Positive(t, unfenced, "the runs must bring about the failure")
	require.Zero(t, fenced)
	require.Positive(t, writes)
}

// race runs four candidates for ten minutes and returns the stale writes and
// all writes accepted.
func race(t *testing.T, seed uint64, useFence bool) (stale, accepted int) {
	memory, accepts := &store.Memory{}, &journal{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	var group sync.WaitGroup
	for i := range uint64(4) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, i))
			compete(ctx, t, memory, random, accepts, useFence)
		})
	}
	group.Go(func() { disturb(ctx, memory, rand.New(rand.NewPCG(seed, 99))) })
	group.Wait()
	return accepts.stale(), len(accepts.epochs)
}

// compete renews and writes until the context ends, with pauses.
func compete(ctx context.Context, t *testing.T, memory *store.Memory, random *rand.Rand, accepts *journal, useFence bool) {
	recorded := &recording{
		Store:   memory,
		accepts: accepts,
	}
	s := pausing{
		Store: recorded,
		pause: func() time.Duration { return pause(random) },
	}
	l := candidate(s, strconv.FormatUint(random.Uint64(), 36))
	fence := &lease.Fence{
		Lease: l,
		Key:   "plan/head",
	}
	for ctx.Err() == nil {
		time.Sleep(time.Second + pause(random))
		if l.AcquireOrRenew(ctx) != nil {
			continue
		}
		term, err := l.Term()
		if err != nil {
			continue
		}
		recorded.epoch = term.Epoch
		if useFence {
			_ = fence.Write(ctx, func([]byte) ([]byte, error) { return []byte("step"), nil })
			continue
		}
		_, _ = s.Put(ctx, fence.Key, []byte("step"), objectstore.Always{})
	}
	require.Zero(t, fence.Violations())
}

// pause is mostly nothing and now and then longer than a lease.
func pause(random *rand.Rand) time.Duration {
	if random.IntN(12) > 0 {
		return 0
	}
	return time.Duration(random.IntN(40_000)) * time.Millisecond
}

// disturb makes the store lossy or down for a while, now and then.
func disturb(ctx context.Context, memory *store.Memory, random *rand.Rand) {
	for ctx.Err() == nil {
		memory.SetFaults(store.Faults{
			Down:             random.IntN(10) == 0,
			DropWriteReplies: random.IntN(3),
		})
		time.Sleep(time.Duration(random.IntN(10_000)) * time.Millisecond)
	}
}

// recording journals the accepted writes of guarded objects, lost replies
// included, in the order in which the store accepted them.
type recording struct {
	objectstore.Store
	accepts *journal
	epoch   lease.Epoch
}

func (r *recording) Put(ctx context.Context, object string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	r.accepts.mu.Lock()
	defer r.accepts.mu.Unlock()
	version, err := r.Store.Put(ctx, object, value, condition)
	_, unknown := err.(*objectstore.UnknownOutcomeError)
	accepted := err == nil || unknown && ctx.Err() == nil
	if object != key && accepted {
		r.accepts.epochs = append(r.accepts.epochs, r.epoch)
	}
	return version, err
}
