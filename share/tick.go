package share

import "time"

// Tick does what is due and returns the messages to send. Call it every
// TickPeriod.
func (h *Limiter) Tick() []Envelope {
	now := h.lock()
	defer h.mutex.Unlock()
	envelopes := h.beats(now)
	envelopes = append(envelopes, h.propose(now)...)
	envelopes = append(envelopes, h.asks(now)...)
	envelopes = append(envelopes, h.recallOwn(now)...)
	h.forgetLimits(now)
	return envelopes
}

// forgetLimits drops the limits that left the table, once nobody can use a
// part of them any more.
func (h *Limiter) forgetLimits(now instant) {
	for name, b := range h.buckets {
		b.forgetLoans(now)
		if b.gone && now.slow-b.removed > 2*loanMemory+b.limit.overrun() {
			delete(h.buckets, name)
			delete(h.counts, name)
		}
	}
}

// Receive handles a message from another host and returns the answers.
func (h *Limiter) Receive(message Message) []Envelope {
	now := h.lock()
	defer h.mutex.Unlock()
	switch m := message.(type) {
	case EpochReport:
		return h.receiveBeat(m, now)
	case VoteRequest:
		return h.receivePropose(m)
	case Vote:
		h.receiveConsent(m)
		return nil
	case LoanRequest:
		return h.receiveAsk(m, now)
	case LoanResponse:
		return h.receiveLend(m, now)
	case LoanRecall:
		return h.receiveRecall(m, now)
	default:
		return nil
	}
}

// ApplyAllocation takes over an allocation that was read from the store. The read was
// begun at this time or later; [Limiter.Timestamp] gives it.
func (h *Limiter) ApplyAllocation(a Allocation, begun time.Duration) {
	now := h.lock()
	defer h.mutex.Unlock()
	if a.Epoch > h.epoch.allocation.Epoch {
		h.adopt(a, now)
	}
	if a.Epoch == h.epoch.allocation.Epoch {
		h.epoch.readAt = max(h.epoch.readAt, begun)
		h.confirmAt(begun)
	}
}

// Timestamp returns the holder's clock, for [Limiter.ApplyAllocation].
func (h *Limiter) Timestamp() time.Duration {
	now := h.lock()
	defer h.mutex.Unlock()
	return now.fast
}
