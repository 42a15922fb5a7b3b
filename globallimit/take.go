package globallimit

import "time"

// Acquire grants count requests under the limit, or refuses them. It never
// blocks.
func (l *Limiter) Acquire(name string, count float64) Decision {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	b, ok := l.buckets[name]
	if !ok || b.isRemoved {
		return UnknownLimit{}
	}
	confirmed := l.isConfirmed(now)
	b.advance(now, confirmed)
	b.demand.requested += count
	retryAfter, granted := b.acquire(count, now, confirmed)
	if !granted {
		b.demand.refused += count
		return l.refuse(name, count, retryAfter, confirmed)
	}
	b.demand.peakSlots = max(b.demand.peakSlots, b.slotsInUse)
	l.countsFor(name).Granted += count
	l.totals.Granted += count
	return Granted{
		Grant: Grant{
			Limit:      name,
			Count:      count,
			Time:       l.Clock(),
			generation: b.generation,
		},
	}
}

func (l *Limiter) refuse(name string, count float64, retryAfter time.Duration, confirmed bool) Decision {
	l.countsFor(name).Rejected += count
	l.totals.Rejected += count
	reason := Exhausted
	if !confirmed {
		reason = Unconfirmed
		l.totals.Unconfirmed += count
	}
	return Rejected{
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}

// ReturnGrant returns the grant of a request that was not run, and reports how
// many requests it made available again. Tokens that may have been refilled
// since the grant are not returned.
func (l *Limiter) ReturnGrant(grant Grant) float64 {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	b, ok := l.buckets[grant.Limit]
	if !ok {
		return 0
	}
	if _, isSlots := b.limit.Kind.(Slots); isSlots {
		l.releaseSlots(b, grant.Count)
		return grant.Count
	}
	confirmed := l.isConfirmed(now)
	b.advance(now, confirmed)
	if grant.generation != b.generation {
		return 0
	}
	returned := b.returnTokens(grant.Count, b.usableShare(now, confirmed))
	l.countsFor(grant.Limit).Returned += returned
	l.totals.Returned += returned
	return returned
}

// Release frees the slots of a grant. It does nothing for rates.
func (l *Limiter) Release(grant Grant) {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	b, ok := l.buckets[grant.Limit]
	if !ok {
		return
	}
	if _, isSlots := b.limit.Kind.(Slots); isSlots {
		l.releaseSlots(b, grant.Count)
	}
}

func (l *Limiter) releaseSlots(b *bucket, count float64) {
	b.slotsInUse -= count
	if b.slotsInUse < -roundingTolerance {
		l.violations++
	}
	b.slotsInUse = max(0, b.slotsInUse)
}
