package share

// LimitCounts is what a host did under one limit, in requests.
type LimitCounts struct {
	Granted  float64
	Refused  float64
	Returned float64
}

// Totals is what a host did under all limits, in requests.
type Totals struct {
	Granted     float64
	Refused     float64
	Unconfirmed float64
	Returned    float64
}

func (h *Limiter) count(name string) *LimitCounts {
	c, ok := h.counts[name]
	if !ok {
		c = &LimitCounts{}
		h.counts[name] = c
	}
	return c
}

// LimitCounts returns what this host granted and refused under the limit.
func (h *Limiter) LimitCounts(name string) LimitCounts {
	h.lock()
	defer h.mutex.Unlock()
	if c, ok := h.counts[name]; ok {
		return *c
	}
	return LimitCounts{}
}

// Totals returns what this host granted and refused under all limits.
func (h *Limiter) Totals() Totals {
	h.lock()
	defer h.mutex.Unlock()
	return h.totals
}

// Violations returns how often the holder found its own state impossible; it
// must be zero.
func (h *Limiter) Violations() uint64 {
	h.lock()
	defer h.mutex.Unlock()
	return h.violations
}

// LimitStatus tells what a host holds of a limit.
type LimitStatus struct {
	// Available is how many requests would be granted now.
	Available float64
	// Share is the part of the whole limit that the host may use.
	Share float64
	// Owners are the hosts that hold the limit; a look-up that sends a team to
	// them saves loans.
	Owners []string
}

// LimitStatus returns what this host holds of the limit.
func (h *Limiter) LimitStatus(name string) LimitStatus {
	now := h.lock()
	defer h.mutex.Unlock()
	b, ok := h.buckets[name]
	if !ok || b.gone {
		return LimitStatus{}
	}
	confirmed := h.confirmed(now)
	b.settle(now, confirmed)
	homes := make([]string, len(b.homes))
	for rank, home := range b.homes {
		homes[rank] = home.Host
	}
	return LimitStatus{
		Available: max(0, b.available(now, confirmed)),
		Share:     b.usable(now, confirmed),
		Owners:    homes,
	}
}

// EpochStatus tells which epoch a host follows.
type EpochStatus struct {
	Epoch     Epoch
	Confirmed bool
	Members   int
}

// EpochStatus returns the epoch that this host follows.
func (h *Limiter) EpochStatus() EpochStatus {
	now := h.lock()
	defer h.mutex.Unlock()
	return EpochStatus{
		Epoch:     h.epoch.allocation.Epoch,
		Confirmed: h.confirmed(now),
		Members:   len(h.epoch.allocation.Members),
	}
}
