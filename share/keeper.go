package share

import (
	"context"
	"errors"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// DefaultKey is where the allocation is stored.
const DefaultKey = "share/allocation"

// AllocationSyncer carries the allocation between the store and a holder.
type AllocationSyncer struct {
	Store   objectstore.Store
	Limiter *Limiter
	// Key is the object's key; empty means DefaultKey.
	Key string

	mutex   sync.Mutex
	version objectstore.Version
	last    time.Duration
	began   bool
	// wrote is when the last write began.
	wrote time.Duration
}

// Refresh reads the allocation if this host should and writes the next one if
// the holders consented. Call it every TickPeriod; most calls do nothing. It
// returns a [StoreError] if the store did not serve a call.
func (k *AllocationSyncer) Refresh(ctx context.Context) error {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := k.Limiter.Timestamp()
	if next, ok := k.Limiter.next(); ok && now-k.wrote >= RefreshInterval {
		k.wrote = now
		return k.write(ctx, next)
	}
	if k.began && now-k.last < RefreshInterval || !k.Limiter.reads() {
		return nil
	}
	k.began = true
	k.last = now
	return k.read(ctx, now)
}

func (k *AllocationSyncer) key() string {
	if k.Key == "" {
		return DefaultKey
	}
	return k.Key
}

func (k *AllocationSyncer) read(ctx context.Context, begun time.Duration) error {
	object, err := k.Store.Get(ctx, k.key())
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return k.create(ctx)
	}
	if err != nil {
		return k.failed(err)
	}
	a, err := DecodeAllocation(object.Value)
	if err != nil {
		return err
	}
	k.version = object.Version
	k.Limiter.ApplyAllocation(a, begun)
	return nil
}

// create writes the first epoch. Another host may do so at the same time; the
// next read tells who did.
func (k *AllocationSyncer) create(ctx context.Context) error {
	first, ok := k.Limiter.first()
	if !ok {
		return nil
	}
	value, err := first.Encode()
	if err != nil {
		return err
	}
	begun := k.Limiter.Timestamp()
	version, err := k.Store.Put(ctx, k.key(), value, objectstore.IfAbsent{})
	if err != nil {
		return k.failed(err)
	}
	k.version = version
	k.Limiter.ApplyAllocation(first, begun)
	return nil
}

// write puts the next epoch in force. The holder keeps its promise until it is
// certain that the write can't take effect.
func (k *AllocationSyncer) write(ctx context.Context, next Allocation) error {
	value, err := next.Encode()
	if err != nil {
		return err
	}
	begun := k.Limiter.Timestamp()
	version, err := k.Store.Put(ctx, k.key(), value, objectstore.IfVersion{
		Version: k.version,
	})
	if err == nil {
		k.version = version
		k.Limiter.ApplyAllocation(next, begun)
		return nil
	}
	k.Limiter.notWritten(unchanged(err))
	k.began = false
	return k.failed(err)
}

// unchanged says whether the error proves that this call wrote nothing.
func unchanged(err error) bool {
	var conflict *objectstore.ConflictError
	var missing *objectstore.NotFoundError
	var refused *objectstore.RefusedError
	var unreached *objectstore.UnavailableError
	return errors.As(err, &conflict) || errors.As(err, &missing) ||
		errors.As(err, &refused) || errors.As(err, &unreached)
}

func (k *AllocationSyncer) failed(cause error) error {
	return &StoreError{
		Key:   k.key(),
		Cause: cause,
	}
}

// reads says whether this host reads the store: a deputy, or a host whose
// confirmation grows old.
func (h *Limiter) reads() bool {
	now := h.lock()
	defer h.mutex.Unlock()
	return h.isDeputy() || now.fast-h.epoch.confirmedAt >= staleBeat
}

// first returns the allocation to begin with, once it is known who lives.
func (h *Limiter) first() (Allocation, bool) {
	h.lock()
	defer h.mutex.Unlock()
	if h.epoch.allocation.Epoch != 0 {
		return Allocation{}, false
	}
	return NextAllocation(Allocation{}, append([]ProcessID{h.identity}, h.live...))
}

// next returns the allocation that the holders consented to.
func (h *Limiter) next() (Allocation, bool) {
	h.lock()
	defer h.mutex.Unlock()
	if !h.consentsReached() {
		return Allocation{}, false
	}
	if h.proposal.next.Epoch == 0 {
		next, ok := NextAllocation(h.epoch.allocation, h.live)
		if !ok {
			h.abandon()
			return Allocation{}, false
		}
		h.proposal.next = next
	}
	return h.proposal.next, true
}

// notWritten ends the proposal if no write of it can take effect any more.
func (h *Limiter) notWritten(certain bool) {
	h.lock()
	defer h.mutex.Unlock()
	if !certain {
		h.proposal.unknown = true
		return
	}
	if !h.proposal.unknown {
		h.abandon()
	}
}
