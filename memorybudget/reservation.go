package memorybudget

import (
	"slices"
	"sort"
	"time"
)

// reservation is one that waits.
type reservation struct {
	holding *Holding
	class   Class
	bytes   int64
	// ahead is how many bytes beyond these are reserved with them.
	ahead int64
	// groupUsed is how much the group held when the wait began.
	groupUsed int64
	since     time.Time
	// done gets the result.
	done chan error
}

// request reserves n bytes, or returns a reservation that waits.
func (h *Holding) request(n int64) (*reservation, error) {
	b := h.budget
	b.mu.Lock()
	if h.evicted != "" {
		defer b.mu.Unlock()
		return nil, h.err()
	}
	if n <= h.credit {
		h.credit -= n
		b.mu.Unlock()
		return nil, nil
	}
	class := h.class(n)
	if n > b.ceiling(class) || h.isClosed {
		b.mu.Unlock()
		return nil, &RefusedError{
			Bytes: n,
		}
	}
	if len(b.queues[class]) == 0 && b.fits(class, n) {
		h.reserve(n)
		b.mu.Unlock()
		return nil, nil
	}
	waiting := b.enqueue(h, class, n)
	// It may be the first in the queue, and fit.
	b.grant()
	victims := b.review()
	b.mu.Unlock()
	notify(victims)
	return waiting, nil
}

func (b *Budget) fits(class Class, n int64) bool { return b.used+n <= b.ceiling(class) }

// enqueue adds a reservation behind those that are as urgent and whose groups hold no more. It covers the rest of a body whose
// length is declared if that can fit, so that no body waits twice: else bodies that hold memory would wait for each other.
func (b *Budget) enqueue(h *Holding, class Class, n int64) *reservation {
	added := &reservation{
		holding:   h,
		class:     class,
		bytes:     n,
		groupUsed: h.group.used,
		since:     b.now(),
		done:      make(chan error, 1),
	}
	if ahead := h.owner.Expected - h.used - n; ahead > 0 && n+ahead <= b.ceiling(class) {
		added.ahead = ahead
	}
	h.waiting = added
	queue := b.queues[class]
	position := sort.Search(len(queue), func(i int) bool { return added.precedes(queue[i]) })
	b.queues[class] = slices.Insert(queue, position, added)
	return added
}

// total returns how many bytes are reserved when the wait ends.
func (r *reservation) total() int64 { return r.bytes + r.ahead }

// precedes reports whether the reservation is served before one that has waited longer.
func (r *reservation) precedes(other *reservation) bool {
	if r.holding.owner.Priority != other.holding.owner.Priority {
		return r.holding.owner.Priority < other.holding.owner.Priority
	}
	return r.groupUsed < other.groupUsed
}

// grant serves the reservations that fit. One that does not fit holds up those behind it in its class.
func (b *Budget) grant() {
	for class := range classCount {
		served := 0
		for _, w := range b.queues[class] {
			if !b.fits(class, w.total()) {
				break
			}
			w.holding.reserve(w.total())
			w.holding.credit += w.ahead
			w.finish(nil)
			served++
		}
		b.queues[class] = slices.Delete(b.queues[class], 0, served)
	}
}

// finish ends the wait. The reservation must be removed from its queue.
func (r *reservation) finish(err error) {
	r.holding.waiting = nil
	r.done <- err
}

// abandon removes a reservation that nobody waits for any more, unless it has ended.
func (b *Budget) abandon(r *reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.holding.waiting != r {
		return
	}
	r.holding.waiting = nil
	b.dequeue(r)
	b.grant()
}

func (b *Budget) dequeue(r *reservation) {
	b.queues[r.class] = slices.DeleteFunc(b.queues[r.class], func(other *reservation) bool { return other == r })
}

// refuseLate ends the reservations that have waited for [MaxWait].
func (b *Budget) refuseLate(now time.Time) {
	for class := ResponseRest; class < classCount; class++ {
		b.queues[class] = slices.DeleteFunc(b.queues[class], func(w *reservation) bool {
			waited := now.Sub(w.since)
			if waited < MaxWait {
				return false
			}
			w.finish(&RefusedError{
				Bytes:  w.bytes,
				Waited: waited,
			})
			return true
		})
	}
}
