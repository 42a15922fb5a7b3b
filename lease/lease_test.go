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

const leaseKey = "lease/plan"

func newCandidate(s objectstore.Store, holder string) *lease.Lease {
	return &lease.Lease{
		Store:  s,
		Key:    leaseKey,
		Holder: holder,
	}
}

// TestCandidateTakesOverOnlyAfterTermEnds checks that a candidate acquires the
// lease only once the holder that stopped renewing it knows that its term ended.
func TestCandidateTakesOverOnlyAfterTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		first, second := newCandidate(memory, "a"), newCandidate(memory, "b")
		require.NoError(t, first.AcquireOrRenew(t.Context()))
		for range 60 {
			err := second.AcquireOrRenew(t.Context())
			_, firstErr := first.Term()
			if err == nil {
				require.Error(t, firstErr, "both candidates hold the lease")
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
		require.NoError(t, first.AcquireOrRenew(t.Context()), "a released lease must be free at once")
		term, err = first.Term()
		require.NoError(t, err)
		require.Equal(t, lease.Epoch(3), term.Epoch)
	})
}

func TestNextRenewalResolvesLostReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		memory.SetFaults(store.Faults{
			DropWriteReplies: 1,
		})
		l := newCandidate(memory, "a")
		require.ErrorAs(t, l.AcquireOrRenew(t.Context()), new(*objectstore.UnknownOutcomeError))
		require.Zero(t, l.Remaining())
		require.NoError(t, l.AcquireOrRenew(t.Context()))
		term, err := l.Term()
		require.NoError(t, err)
		require.Equal(t, lease.Epoch(1), term.Epoch)
		require.Equal(t, lease.DefaultDuration, l.Remaining())
	})
}

// TestTermEndsWhileMachineIsSuspended checks that a holder on a machine that was
// suspended for longer than the duration no longer has a term.
func TestTermEndsWhileMachineIsSuspended(t *testing.T) {
	now := time.Now()
	l := newCandidate(&store.Memory{}, "a")
	l.Clock = func() time.Time { return now }
	require.NoError(t, l.AcquireOrRenew(t.Context()))
	// The monotonic clock stops during a suspension; only the wall clock advances.
	now = now.Round(0).Add(time.Minute)
	_, err := l.Term()
	require.ErrorAs(t, err, new(*lease.NotHeldError))
}

// pausingStore delays each write and its reply, as if the process was paused
// between checking its term and writing.
type pausingStore struct {
	objectstore.Store
	pause func() time.Duration
}

func (p pausingStore) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	time.Sleep(p.pause())
	version, err := p.Store.Put(ctx, key, value, condition)
	time.Sleep(p.pause())
	return version, err
}

// writeLog holds the epochs of the writes to a fenced object, in the order in
// which the store accepted them.
type writeLog struct {
	mu     sync.Mutex
	epochs []lease.Epoch
}

// countStale returns the number of writes that were accepted after a write of a
// later epoch.
func (l *writeLog) countStale() int {
	count, highest := 0, lease.Epoch(0)
	for _, epoch := range l.epochs {
		if epoch < highest {
			count++
		}
		highest = max(highest, epoch)
	}
	return count
}

// TestFenceRejectsWritesOfStaleEpochs runs candidates that are paused at random
// around their writes, on a store that loses replies and goes down. A holder that
// is paused after checking its term writes after the next holder did. The runs
// without a fence must show such stale writes; with a fence there must be none.
func TestFenceRejectsWritesOfStaleEpochs(t *testing.T) {
	unfenced, fenced, writes := 0, 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			stale, _ := runCandidates(t, seed, false)
			unfenced += stale
			stale, accepted := runCandidates(t, seed, true)
			fenced += stale
			writes += accepted
		})
	}
	t.Logf("stale writes accepted in 20 runs: %d without a fence, %d of %d with a fence", unfenced, fenced, writes)
	require.Positive(t, unfenced, "the runs without a fence must show the failure")
	require.Zero(t, fenced)
	require.Positive(t, writes)
}

// runCandidates runs four candidates for ten minutes and returns the numbers of
// stale writes and of all writes that the store accepted.
func runCandidates(t *testing.T, seed uint64, useFence bool) (stale, accepted int) {
	memory, log := &store.Memory{}, &writeLog{}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
	defer cancel()
	var group sync.WaitGroup
	for i := range uint64(4) {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, i))
			runCandidate(ctx, t, memory, random, log, useFence)
		})
	}
	group.Go(func() { injectFaults(ctx, memory, rand.New(rand.NewPCG(seed, 99))) })
	group.Wait()
	return log.countStale(), len(log.epochs)
}

// runCandidate renews the lease and writes the object until the context ends, with
// pauses.
func runCandidate(ctx context.Context, t *testing.T, memory *store.Memory, random *rand.Rand, log *writeLog, useFence bool) {
	recorder := &recordingStore{
		Store: memory,
		log:   log,
	}
	s := pausingStore{
		Store: recorder,
		pause: func() time.Duration { return randomPause(random) },
	}
	l := newCandidate(s, strconv.FormatUint(random.Uint64(), 36))
	fence := &lease.Fence{
		Lease: l,
		Key:   "plan/head",
	}
	for ctx.Err() == nil {
		time.Sleep(time.Second + randomPause(random))
		if l.AcquireOrRenew(ctx) != nil {
			continue
		}
		term, err := l.Term()
		if err != nil {
			continue
		}
		recorder.epoch = term.Epoch
		if useFence {
			_ = fence.Write(ctx, func([]byte) ([]byte, error) { return []byte("step"), nil })
			continue
		}
		_, _ = s.Put(ctx, fence.Key, []byte("step"), objectstore.Always{})
	}
	require.Zero(t, fence.ViolationCount())
}

// randomPause returns a pause, which is mostly zero and sometimes longer than the
// duration of a lease.
func randomPause(random *rand.Rand) time.Duration {
	if random.IntN(12) > 0 {
		return 0
	}
	return time.Duration(random.IntN(40_000)) * time.Millisecond
}

// injectFaults changes the faults of the store at random: it is down for some of
// the time, and loses replies for some of it.
func injectFaults(ctx context.Context, memory *store.Memory, random *rand.Rand) {
	for ctx.Err() == nil {
		memory.SetFaults(store.Faults{
			Down:             random.IntN(10) == 0,
			DropWriteReplies: random.IntN(3),
		})
		time.Sleep(time.Duration(random.IntN(10_000)) * time.Millisecond)
	}
}

// recordingStore logs the accepted writes of objects other than the lease's
// record, including those whose reply was lost.
type recordingStore struct {
	objectstore.Store
	log   *writeLog
	epoch lease.Epoch
}

func (r *recordingStore) Put(ctx context.Context, objectKey string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	r.log.mu.Lock()
	defer r.log.mu.Unlock()
	version, err := r.Store.Put(ctx, objectKey, value, condition)
	_, unknown := err.(*objectstore.UnknownOutcomeError)
	accepted := err == nil || unknown && ctx.Err() == nil
	if objectKey != leaseKey && accepted {
		r.log.epochs = append(r.log.epochs, r.epoch)
	}
	return version, err
}
