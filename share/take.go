package share

import "time"

// Acquire asks for the count of requests under the limit. It never blocks.
func (h *Limiter) Acquire(name string, count float64) Decision {
	now := h.lock()
	defer h.mutex.Unlock()
	b, ok := h.buckets[name]
	if !ok || b.gone {
		return UnknownLimit{}
	}
	confirmed := h.confirmed(now)
	b.settle(now, confirmed)
	b.demand.asked += count
	retry, granted := b.take(count, now, confirmed)
	if !granted {
		b.demand.refused += count
		return h.refuse(name, count, retry, confirmed)
	}
	b.demand.peak = max(b.demand.peak, b.used)
	h.count(name).Granted += count
	h.totals.Granted += count
	return Granted{
		Grant: Grant{
			Limit:      name,
			Count:      count,
			Time:       h.Clock(),
			generation: b.generation,
		},
	}
}

func (h *Limiter) refuse(name string, count float64, retry time.Duration, confirmed bool) Decision {
	h.count(name).Refused += count
	h.totals.Refused += count
	reason := Exhausted
	if !confirmed {
		reason = Unconfirmed
		h.totals.Unconfirmed += count
	}
	return Refused{
		Reason:     reason,
		RetryAfter: retry,
	}
}

// ReturnGrant returns the tokens of a request that was not run, and reports how
// many the team has again. Tokens that were replaced meanwhile do not count
// twice.
func (h *Limiter) ReturnGrant(grant Grant) float64 {
	now := h.lock()
	defer h.mutex.Unlock()
	b, ok := h.buckets[grant.Limit]
	if !ok {
		return 0
	}
	if _, slots := b.limit.Kind.(Slots); slots {
		h.release(b, grant.Count)
		return grant.Count
	}
	confirmed := h.confirmed(now)
	b.settle(now, confirmed)
	if grant.generation != b.generation {
		return 0
	}
	accepted := b.giveBack(grant.Count, b.usable(now, confirmed))
	h.count(grant.Limit).Returned += accepted
	h.totals.Returned += accepted
	return accepted
}

// Release ends the use of slots. It does nothing for rates.
func (h *Limiter) Release(grant Grant) {
	h.lock()
	defer h.mutex.Unlock()
	b, ok := h.buckets[grant.Limit]
	if !ok {
		return
	}
	if _, slots := b.limit.Kind.(Slots); slots {
		h.release(b, grant.Count)
	}
}

func (h *Limiter) release(b *bucket, count float64) {
	b.used -= count
	if b.used < -rounding {
		h.violations++
	}
	b.used = max(0, b.used)
}
