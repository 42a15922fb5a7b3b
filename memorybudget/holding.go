package memorybudget

import (
	"context"
	"time"
)

// Kind is what a holding holds.
type Kind int

// The kinds.
const (
	// Upload is a request body.
	Upload Kind = iota
	// Response is a response body.
	Response
)

// Owner describes a holding.
type Owner struct {
	Group Group
	Kind  Kind
	// Priority orders reservations that wait; zero is the most urgent.
	Priority int
	// Expected is how many bytes will be reserved in all, negative if it is not known.
	Expected int64
	// OnEvict is called once when the holding is evicted, by the goroutine of another holding or of a timer. It
	// ends the transfer that runs. It may be nil.
	OnEvict func(Reason)
}

// Holding is the memory that is held for one body. It must be closed.
type Holding struct {
	budget *Budget
	owner  Owner
	meter  meter

	// The following fields are protected by the lock of the budget.

	group *group
	// previous and next are its neighbors among the holdings of the group.
	previous, next *Holding

	used int64
	// credit is the part of used that was reserved ahead.
	credit int64
	// evicted is the reason of the eviction, empty before.
	evicted Reason
	// waiting is the reservation that waits; nil if there is none.
	waiting  *reservation
	isClosed bool
}

// Open returns a holding without memory.
func (b *Budget) Open(owner Owner) *Holding {
	h := &Holding{
		budget: b,
		owner:  owner,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	g, isKnown := b.groups[owner.Group]
	if !isKnown {
		g = &group{
			id: owner.Group,
		}
		if b.groups == nil {
			b.groups = make(map[Group]*group)
		}
		b.groups[owner.Group] = g
	}
	g.add(h)
	return h
}

// Reserve reserves n more bytes. If they don't fit, it waits, at most for [MaxWait] except in the class [ResponseStart], and
// until the context ends. It returns a [RefusedError], an [EvictedError], or the error of the context. A holding must not
// call it concurrently.
func (h *Holding) Reserve(ctx context.Context, n int64) error {
	waiting, err := h.request(n)
	if waiting == nil {
		return err
	}
	select {
	case err := <-waiting.done:
		return err
	case <-ctx.Done():
		h.budget.abandon(waiting)
		// The reservation may have ended meanwhile.
		select {
		case err := <-waiting.done:
			return err
		default:
			return ctx.Err()
		}
	}
}

// Begin starts to measure a transfer from or to the owner's peer.
func (h *Holding) Begin() { h.meter.begin(h.budget.now()) }

// End ends the transfer, in which n bytes were read or written.
func (h *Holding) End(n int) { h.meter.end(h.budget.now(), n) }

// IsTransferring reports whether a transfer has begun and not ended.
func (h *Holding) IsTransferring() bool { return h.meter.hasBegun() }

// StalledFor returns for how long the transfer that runs has moved nothing; zero if none runs.
func (h *Holding) StalledFor() time.Duration { return h.meter.stalledFor(h.budget.now()) }

// Err returns an [EvictedError] if the holding was evicted.
func (h *Holding) Err() error {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.err()
}

func (h *Holding) err() error {
	if h.evicted == "" {
		return nil
	}
	return &EvictedError{
		Reason: h.evicted,
	}
}

// Used returns how many bytes the holding has reserved.
func (h *Holding) Used() int64 {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.used
}

// Release releases n of the reserved bytes.
func (h *Holding) Release(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.release(min(n, h.used))
	h.budget.grant()
}

// Close releases all that is left. Further calls do nothing.
func (h *Holding) Close() {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isClosed {
		return
	}
	h.isClosed = true
	h.release(h.used)
	h.group.remove(h)
	if h.group.first == nil {
		delete(b.groups, h.group.id)
	}
	b.grant()
}

func (h *Holding) release(n int64) {
	h.used -= n
	h.group.used -= n
	h.budget.used -= n
	if h.evicted != "" {
		h.group.leaving -= n
		h.budget.leaving -= n
	}
}

// reserve adds n bytes to what is used.
func (h *Holding) reserve(n int64) {
	h.used += n
	h.group.used += n
	h.budget.used += n
}

// class returns the class of a reservation of n more bytes.
func (h *Holding) class(n int64) Class {
	isStart := func(limit int64) bool { return h.used+n <= limit }
	switch {
	case h.owner.Kind == Response && isStart(ResponseStartBytes):
		return ResponseStart
	case h.owner.Kind == Response:
		return ResponseRest
	case h.owner.Expected <= ShortUploadBytes && isStart(ShortUploadBytes):
		return ShortUpload
	}
	return LongUpload
}
