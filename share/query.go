package share

// Count is what a host did under one limit, in requests.
type Count struct {
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

func (h *Holder) count(name string) *Count {
	c, ok := h.counts[name]
	if !ok {
		c = &Count{}
		h.counts[name] = c
	}
	return c
}

// Count returns what this host granted and refused under the limit.
func (h *Holder) Count(name string) Count {
	h.lock()
	defer h.mutex.Unlock()
	if c, ok := h.counts[name]; ok {
		return *c
	}
	return Count{}
}

// Totals returns what this host granted and refused under all limits.
func (h *Holder) Totals() Totals {
	h.lock()
	defer h.mutex.Unlock()
	return h.totals
}

// Violations returns how often the holder found its own state impossible; it
// must be zero.
func (h *Holder) Violations() uint64 {
	h.lock()
	defer h.mutex.Unlock()
	return h.violations
}

// Spare tells what a host holds of a limit.
type Spare struct {
	// Tokens is how many requests would be granted now.
	Tokens float64
	// Part is the part of the whole limit that the host may use.
	Part float64
	// Homes are the hosts that hold the limit; a look-up that sends a team to
	// them saves loans.
	Homes []string
}

// Spare returns what this host holds of the limit.
func (h *Holder) Spare(name string) Spare {
	now := h.lock()
	defer h.mutex.Unlock()
	b, ok := h.buckets[name]
	if !ok || b.gone {
		return Spare{}
	}
	confirmed := h.confirmed(now)
	b.settle(now, confirmed)
	homes := make([]string, len(b.homes))
	for rank, home := range b.homes {
		homes[rank] = home.Host
	}
	return Spare{
		Tokens: max(0, b.available(now, confirmed)),
		Part:   b.usable(now, confirmed),
		Homes:  homes,
	}
}

// Status tells which epoch a host follows.
type Status struct {
	Epoch     Epoch
	Confirmed bool
	Holders   int
}

// Status returns the epoch that this host follows.
func (h *Holder) Status() Status {
	now := h.lock()
	defer h.mutex.Unlock()
	return Status{
		Epoch:     h.epoch.allocation.Epoch,
		Confirmed: h.confirmed(now),
		Holders:   len(h.epoch.allocation.Holders),
	}
}
