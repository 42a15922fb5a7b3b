package share

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// DefaultKey is the key under which the allocation is stored.
const DefaultKey = "share/allocation"

// AllocationSyncer reads the allocation from the store for a limiter and writes
// the epochs that the limiter proposes.
type AllocationSyncer struct {
	Store   objectstore.Store
	Limiter *Limiter
	// Key is the key of the stored object. Empty means DefaultKey.
	Key string

	mutex      sync.Mutex
	version    objectstore.Version
	lastReadAt time.Duration
	hasRead    bool
	// lastWriteAt is when the last write began.
	lastWriteAt time.Duration
}

// Refresh reads the allocation if this host is due to read the store, and
// writes the next one if a quorum of members voted for it. Call it every
// TickInterval; most calls do nothing. It returns a [StoreError] if a read or a
// write failed, also if another host wrote first, or an [EncodingError].
func (s *AllocationSyncer) Refresh(ctx context.Context) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := s.Limiter.Timestamp()
	if next, ok := s.Limiter.nextAllocation(); ok && now-s.lastWriteAt >= RefreshInterval {
		s.lastWriteAt = now
		return s.write(ctx, next)
	}
	if s.hasRead && now-s.lastReadAt < RefreshInterval || !s.Limiter.shouldReadStore() {
		return nil
	}
	s.hasRead = true
	s.lastReadAt = now
	return s.read(ctx, now)
}

func (s *AllocationSyncer) key() string {
	if s.Key == "" {
		return DefaultKey
	}
	return s.Key
}

func (s *AllocationSyncer) read(ctx context.Context, startedAt time.Duration) error {
	object, err := s.Store.Get(ctx, s.key())
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		return s.create(ctx)
	}
	if err != nil {
		return s.storeError(err)
	}
	a, err := DecodeAllocation(object.Value)
	if err != nil {
		return err
	}
	s.version = object.Version
	s.Limiter.ApplyAllocation(a, startedAt)
	return nil
}

// create writes the first epoch. Another host may do so at the same time; the
// next read shows which one succeeded.
func (s *AllocationSyncer) create(ctx context.Context) error {
	first, ok := s.Limiter.firstAllocation()
	if !ok {
		return nil
	}
	value, err := first.Encode()
	if err != nil {
		return err
	}
	startedAt := s.Limiter.Timestamp()
	version, err := s.Store.Put(ctx, s.key(), value, objectstore.IfAbsent{})
	if err != nil {
		return s.storeError(err)
	}
	s.version = version
	s.Limiter.ApplyAllocation(first, startedAt)
	return nil
}

// write stores the next epoch. The limiter keeps its own vote until it is
// certain that the write can't take effect.
func (s *AllocationSyncer) write(ctx context.Context, next Allocation) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	startedAt := s.Limiter.Timestamp()
	version, err := s.Store.Put(ctx, s.key(), value, objectstore.IfVersion{
		Version: s.version,
	})
	if err == nil {
		s.version = version
		s.Limiter.ApplyAllocation(next, startedAt)
		return nil
	}
	s.Limiter.writeFailed(isWriteRejected(err))
	s.hasRead = false
	return s.storeError(err)
}

// isWriteRejected reports whether the error proves that the write did not take
// effect.
func isWriteRejected(err error) bool {
	var conflict *objectstore.ConflictError
	var notFound *objectstore.NotFoundError
	var refused *objectstore.RefusedError
	var unreached *objectstore.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &notFound) ||
		errors.As(err, &refused) || errors.As(err, &unreached)
}

func (s *AllocationSyncer) storeError(cause error) error {
	return &StoreError{
		Key:   s.key(),
		Cause: cause,
	}
}

// shouldReadStore reports whether this host reads the store: it is a store
// reader, or its confirmation is older than staleConfirmationAge.
func (l *Limiter) shouldReadStore() bool {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	return l.isStoreReader() || now.withSuspend-l.epoch.confirmedAt >= staleConfirmationAge
}

// firstAllocation returns the allocation of the first epoch, from the processes
// known to be alive. It reports false if an epoch is known.
func (l *Limiter) firstAllocation() (Allocation, bool) {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	if l.epoch.allocation.Epoch != 0 {
		return Allocation{}, false
	}
	return NextAllocation(Allocation{}, append([]ProcessID{l.processID}, l.liveProcesses...))
}

// nextAllocation returns the allocation to write. It reports false if the
// proposal has no vote quorum, or if the members would not change.
func (l *Limiter) nextAllocation() (Allocation, bool) {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	if !l.hasVoteQuorum() {
		return Allocation{}, false
	}
	if l.proposal.nextAllocation.Epoch == 0 {
		next, ok := NextAllocation(l.epoch.allocation, l.liveProcesses)
		if !ok {
			l.abandonProposal()
			return Allocation{}, false
		}
		l.proposal.nextAllocation = next
	}
	return l.proposal.nextAllocation, true
}

// writeFailed handles a failed write of the proposal. It abandons the proposal
// if the write was rejected and no earlier write can take effect any more.
func (l *Limiter) writeFailed(rejected bool) {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	if !rejected {
		l.proposal.writeOutcomeUnknown = true
		return
	}
	if !l.proposal.writeOutcomeUnknown {
		l.abandonProposal()
	}
}
