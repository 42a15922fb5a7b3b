package share

import "slices"

// recallOwn asks for what is lent while the host itself runs short.
func (h *Limiter) recallOwn(now instant) []Envelope {
	confirmed := h.confirmed(now)
	var recalls recallMessages
	for _, name := range h.limits {
		b := h.buckets[name]
		if len(b.lent) == 0 || b.demand.needed(b.limit) <= b.ownPart(now, confirmed) {
			continue
		}
		recalls.add(b, nil, now)
	}
	return recalls.envelopes
}

// recallMessages collects the limits to recall, one message for a borrower.
type recallMessages struct {
	envelopes []Envelope
}

// add recalls the loans of the limit from all but one borrower, each at most
// once in a while.
func (m *recallMessages) add(b *bucket, except *lent, now instant) {
	portion := b.portion(now)
	for _, l := range b.lent {
		if l == except || l.outstanding(now) < portion+leastDemand || now.slow-l.recalled < renewPeriod/2 {
			continue
		}
		l.recalled = now.slow
		m.to(l, b.limit.Name)
	}
}

func (m *recallMessages) to(l *lent, limit string) {
	for place, envelope := range m.envelopes {
		recall := envelope.Message.(LoanRecall)
		if recall.To == l.to && recall.From == l.as {
			recall.Limits = append(recall.Limits, limit)
			m.envelopes[place].Message = recall
			return
		}
	}
	m.envelopes = append(m.envelopes, Envelope{
		To: l.to.Host,
		Message: LoanRecall{
			From:   l.as,
			To:     l.to,
			Limits: []string{limit},
		},
	})
}

// portion is what each borrower of this limit and the host itself may have
// when the wishes exceed the part.
func (b *bucket) portion(now instant) float64 {
	users := 1
	for _, l := range b.lent {
		if l.outstanding(now) > 0 {
			users++
		}
	}
	return b.part / float64(users)
}

// receiveRecall asks the lender anew at once, for what the
// requests of the last two ticks need.
func (h *Limiter) receiveRecall(m LoanRecall, now instant) []Envelope {
	if m.To != h.identity {
		return nil
	}
	confirmed := h.confirmed(now)
	var messages askMessages
	for _, name := range m.Limits {
		b, ok := h.buckets[name]
		if !ok {
			continue
		}
		l := b.loanFrom(m.From)
		if l == nil || l.current(now) == 0 {
			continue
		}
		l.recalled = true
		b.settle(now, confirmed)
		b.demand.estimate = min(b.demand.estimate, slices.Max(b.demand.recent[:]))
		h.askFor(b, now, confirmed, &messages)
	}
	return messages.envelopes(h.identity)
}
