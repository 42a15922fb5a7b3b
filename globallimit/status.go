package globallimit

// LimitCounts counts the requests granted, refused and returned under one limit
// on one host. Returned counts tokens only, no slots.
type LimitCounts struct {
	Granted  float64
	Rejected float64
	Returned float64
}

// Totals counts the requests granted, refused and returned under all limits on
// one host. Unconfirmed is the part of Refused with the reason [Unconfirmed].
// Returned counts tokens only, no slots.
type Totals struct {
	Granted     float64
	Rejected    float64
	Unconfirmed float64
	Returned    float64
}

func (l *Limiter) countsFor(name string) *LimitCounts {
	c, ok := l.counts[name]
	if !ok {
		c = &LimitCounts{}
		l.counts[name] = c
	}
	return c
}

// LimitCounts returns the counts of the limit on this host.
func (l *Limiter) LimitCounts(name string) LimitCounts {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	if c, ok := l.counts[name]; ok {
		return *c
	}
	return LimitCounts{}
}

// Totals returns the counts of all limits on this host.
func (l *Limiter) Totals() Totals {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	return l.totals
}

// ViolationCount returns how many times the limiter found its own state to be
// impossible. It must be zero.
func (l *Limiter) ViolationCount() uint64 {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	return l.violations
}

// LimitStatus is the state of one limit on one host.
type LimitStatus struct {
	// Available is the number of requests that would be granted now.
	Available float64
	// Share is the fraction of the whole limit that the host may use.
	Share float64
	// Owners are the hosts that own the limit. Directing a team's callers to
	// them saves loans.
	Owners []string
}

// LimitStatus returns the state of the limit on this host.
func (l *Limiter) LimitStatus(name string) LimitStatus {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	b, ok := l.buckets[name]
	if !ok || b.isRemoved {
		return LimitStatus{}
	}
	confirmed := l.isConfirmed(now)
	b.advance(now, confirmed)
	owners := make([]string, len(b.owners))
	for i, owner := range b.owners {
		owners[i] = owner.Host
	}
	return LimitStatus{
		Available: max(0, b.available(now, confirmed)),
		Share:     b.usableShare(now, confirmed),
		Owners:    owners,
	}
}

// EpochStatus tells which epoch a host uses and whether it is confirmed.
type EpochStatus struct {
	Epoch     Epoch
	Confirmed bool
	Members   int
}

// EpochStatus returns the epoch that this host uses.
func (l *Limiter) EpochStatus() EpochStatus {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	return EpochStatus{
		Epoch:     l.epoch.allocation.Epoch,
		Confirmed: l.isConfirmed(now),
		Members:   len(l.epoch.allocation.Members),
	}
}
