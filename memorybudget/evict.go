package memorybudget

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// maxReviewed is for how many reservations of a class a review looks for memory. One holding that is evicted usually serves many.
const maxReviewed = 16

// Review refuses reservations that have waited too long, and evicts holdings for the others. It runs by itself
// while reservations wait.
func (b *Budget) Review() {
	b.mu.Lock()
	victims := b.review()
	b.mu.Unlock()
	notify(victims)
}

// review does the work of Review, at most once in reviewInterval. The caller must pass the holdings that it returns
// to notify, without the lock.
func (b *Budget) review() []*Holding {
	now := b.now()
	defer b.scheduleReview()
	if now.Sub(b.lastReview) < reviewInterval {
		return nil
	}
	b.lastReview = now
	b.refuseLate(now)
	// What waited behind a reservation that was refused may fit.
	b.grant()
	return b.evictFor(now)
}

// scheduleReview starts the timer of the next review if one is needed.
func (b *Budget) scheduleReview() {
	if b.isReviewDue || b.waiting() == 0 {
		return
	}
	b.isReviewDue = true
	time.AfterFunc(reviewInterval, func() {
		b.mu.Lock()
		b.isReviewDue = false
		victims := b.review()
		b.mu.Unlock()
		notify(victims)
	})
}

// notify tells the owners of evicted holdings.
func notify(evicted []*Holding) {
	for _, h := range evicted {
		if h.owner.OnEvict != nil {
			h.owner.OnEvict(h.evicted)
		}
	}
}

// evictFor evicts holdings until those that stay leave enough memory for the reservations that wait.
func (b *Budget) evictFor(now time.Time) []*Holding {
	var evicted []*Holding
	var candidates map[*group][]candidate
	for class := range classCount {
		// missing is by how much the reservations so far exceed the ceiling, once the evicted holdings are gone.
		missing := b.used - b.leaving - b.ceiling(class)
		// Evictions may remove reservations from the queue.
		for _, w := range slices.Clone(b.queues[class][:min(len(b.queues[class]), maxReviewed)]) {
			if w.holding.evicted != "" {
				continue
			}
			missing += w.total()
			for missing > 0 {
				if candidates == nil {
					candidates = b.candidates(now)
				}
				victim, isFound := selectVictim(candidates, w, now)
				if !isFound {
					// Others may wait for less, or hold less.
					missing -= w.total()
					break
				}
				missing -= victim.holding.used
				b.evict(victim.holding, victim.reason)
				evicted = append(evicted, victim.holding)
			}
		}
	}
	return evicted
}

// evict marks a holding as evicted. What it uses counts until it is released.
func (b *Budget) evict(h *Holding, reason Reason) {
	h.evicted = reason
	h.group.leaving += h.used
	b.leaving += h.used
	if w := h.waiting; w != nil {
		b.dequeue(w)
		w.finish(h.err())
	}
}

// EvictIfStalled evicts a holding that has transferred nothing for [Window], although no memory is needed. It reports whether it
// did.
func (h *Holding) EvictIfStalled(reason Reason) bool {
	b := h.budget
	b.mu.Lock()
	if h.evicted != "" || h.isClosed || h.meter.stalledFor(b.now()) < Window {
		b.mu.Unlock()
		return false
	}
	b.evict(h, reason)
	b.mu.Unlock()
	notify([]*Holding{h})
	return true
}

// candidate is a holding that may be evicted.
type candidate struct {
	holding *Holding
	// reason is the strongest reason to evict it.
	reason Reason
	rate   float64
}

// strength orders reasons, the strongest first.
var strength = map[Reason]int{
	Stalled:   0,
	Slow:      1,
	Displaced: 2,
}

// candidates returns the holdings that may be evicted, by group; in each group those to evict first come first.
func (b *Budget) candidates(now time.Time) map[*group][]candidate {
	all := make(map[*group][]candidate)
	for _, g := range b.groups {
		for h := g.first; h != nil; h = h.next {
			if c, isCandidate := h.candidate(now); isCandidate {
				all[g] = append(all[g], c)
			}
		}
		slices.SortFunc(all[g], compareCandidates)
	}
	return all
}

func compareCandidates(a, b candidate) int {
	return cmp.Or(
		cmp.Compare(strength[a.reason], strength[b.reason]),
		cmp.Compare(a.rate, b.rate),
		// The less urgent first.
		cmp.Compare(b.holding.owner.Priority, a.holding.owner.Priority),
		cmp.Compare(b.holding.used, a.holding.used),
	)
}

// candidate returns the holding as a candidate. It is none if it holds nothing, or neither transfers nor waits.
func (h *Holding) candidate(now time.Time) (candidate, bool) {
	c := candidate{
		holding: h,
		reason:  Displaced,
		rate:    math.Inf(1),
	}
	if h.evicted != "" || h.used == 0 {
		return c, false
	}
	if h.waiting != nil {
		return c, true
	}
	if !h.meter.hasBegun() {
		return c, false
	}
	c.rate = h.meter.rate(now)
	switch {
	case h.meter.stalledFor(now) >= Window:
		c.reason = Stalled
	case c.rate < MinRate:
		c.reason = Slow
	}
	return c, true
}

// selectVictim returns the holding to evict for a reservation, and removes it from the candidates.
func selectVictim(candidates map[*group][]candidate, w *reservation, now time.Time) (candidate, bool) {
	var largest *group
	for g, list := range candidates {
		if len(list) == 0 || !mayEvict(list[0], w, now) {
			continue
		}
		if largest == nil || precedes(list[0], candidates[largest][0]) {
			largest = g
		}
	}
	if largest == nil {
		return candidate{}, false
	}
	victim := candidates[largest][0]
	candidates[largest] = candidates[largest][1:]
	return victim, true
}

// precedes reports whether a candidate is evicted before one of another group: the one with the stronger reason, or
// else the one whose group holds more.
func precedes(a, b candidate) bool {
	if a.reason != b.reason {
		return strength[a.reason] < strength[b.reason]
	}
	return a.holding.group.staying() > b.holding.group.staying()
}

// mayEvict reports whether a candidate may be evicted for a reservation. A group takes nothing from one that holds less,
// except from a stalled holding of one that holds at least half as much: then callers who all stop short don't keep their
// memory by being many.
func mayEvict(c candidate, w *reservation, now time.Time) bool {
	if c.holding == w.holding {
		return false
	}
	own, other := w.holding.group, c.holding.group
	wanted := own.staying() + w.total()
	switch c.reason {
	case Stalled:
		return other == own || 2*other.staying() >= wanted
	case Slow:
		return other != own && other.staying() > wanted
	case Displaced:
		return other != own && other.staying() > wanted && now.Sub(w.since) >= Window
	}
	return false
}
