package share

import "time"

// asks returns the requests for loans that are due, one message for a host.
func (h *Limiter) asks(now instant) []Envelope {
	confirmed := h.confirmed(now)
	var messages askMessages
	for _, name := range h.limits {
		b := h.buckets[name]
		b.demand.update(b.limit, b.used, now.slow)
		if b.demand.estimate == 0 && len(b.borrowed) == 0 {
			continue
		}
		b.settle(now, confirmed)
		h.askFor(b, now, confirmed, &messages)
	}
	return messages.envelopes(h.identity)
}

// askMessages collects the items for each lender in order of first use.
type askMessages struct {
	lenders []ProcessID
	items   map[ProcessID][]LoanRequestItem
}

func (m *askMessages) add(lender ProcessID, item LoanRequestItem) {
	if m.items == nil {
		m.items = make(map[ProcessID][]LoanRequestItem)
	}
	if _, ok := m.items[lender]; !ok {
		m.lenders = append(m.lenders, lender)
	}
	m.items[lender] = append(m.items[lender], item)
}

func (m *askMessages) envelopes(from ProcessID) []Envelope {
	envelopes := make([]Envelope, 0, len(m.lenders))
	for _, lender := range m.lenders {
		envelopes = append(envelopes, Envelope{
			To: lender.Host,
			Message: LoanRequest{
				From:  from,
				To:    lender,
				Items: m.items[lender],
			},
		})
	}
	return envelopes
}

// askFor asks the home hosts of one limit for what the host lacks.
func (h *Limiter) askFor(b *bucket, now instant, confirmed bool, messages *askMessages) {
	b.dropLoans(now)
	need := b.demand.part(b.limit)
	missing := need
	if confirmed {
		missing = max(0, need-b.part)
	}
	if missing < leastDemand && len(b.borrowed) == 0 {
		return
	}
	lenders := b.lenders(h.epoch.acting)
	wants := b.wants(lenders, missing, now)
	for place, l := range lenders {
		want := wants[place]
		if !l.due(want, now) {
			continue
		}
		h.sequence++
		messages.add(l.from, b.ask(l, want, h.sequence, now))
	}
}

// lenders returns the loans with each home host, and with former ones that
// still lend.
func (b *bucket) lenders(self ProcessID) []*borrowed {
	for _, home := range b.homes {
		if home != self && b.loanFrom(home) == nil {
			b.borrowed = append(b.borrowed, &borrowed{
				from:  home,
				asked: never,
				told:  never,
				until: never,
			})
		}
	}
	return b.borrowed
}

func (b *bucket) loanFrom(lender ProcessID) *borrowed {
	for _, l := range b.borrowed {
		if l.from == lender {
			return l
		}
	}
	return nil
}

// wants divides what is missing among the lenders: first equally, then what a
// lender can't give goes to those that gave all that was wanted.
func (b *bucket) wants(lenders []*borrowed, missing float64, now instant) []float64 {
	wants := make([]float64, len(lenders))
	open := 0
	lack := missing
	for place, l := range lenders {
		wants[place] = l.current(now)
		lack -= wants[place]
		if l.generous(now) {
			open++
		}
	}
	if lack < 0 {
		scale := missing / (missing - lack)
		for place := range wants {
			wants[place] *= scale
		}
		return wants
	}
	for place, l := range lenders {
		if l.generous(now) {
			wants[place] += lack / float64(open)
		} else if now.fast-l.asked >= renewPeriod/2 {
			wants[place] += lack / float64(len(lenders))
		}
	}
	return wants
}

// generous says whether the lender gave what was last wanted, or was not asked
// lately.
func (l *borrowed) generous(now instant) bool {
	if l.silent(now) {
		return false
	}
	return l.asked == never || l.waiting || l.part >= l.want-leastDemand
}

// silent says whether the lender did not answer in time.
func (l *borrowed) silent(now instant) bool {
	return l.waiting && now.fast-l.asked >= askPeriod
}

func (l *borrowed) current(now instant) float64 {
	if now.fast >= l.until {
		return 0
	}
	return l.part
}

// due says whether the loan needs a message now.
func (l *borrowed) due(want float64, now instant) bool {
	if l.recalled {
		return true
	}
	age := now.fast - l.asked
	if age < askPeriod {
		return false
	}
	if l.lowered {
		return true
	}
	current := l.current(now)
	if want < leastDemand && current == 0 {
		return false
	}
	if l.waiting && age < renewPeriod/2 {
		return false
	}
	change := want - current
	if change > max(leastDemand, current/10) && (!l.waiting || age >= renewPeriod/2) {
		return true
	}
	return age >= renewPeriod
}

// ask gives up what is not wanted before it says so.
func (b *bucket) ask(l *borrowed, want float64, sequence uint64, now instant) LoanRequestItem {
	hold := min(l.current(now), want)
	if _, slots := b.limit.Kind.(Slots); slots {
		hold = b.heldSlots(l, hold, now)
	}
	if hold < l.part {
		l.part = hold
		b.clip(b.usable(now, true))
	}
	l.sequence = sequence
	l.asked = now.fast
	l.waiting = true
	l.lowered = false
	l.recalled = false
	l.want = want
	return LoanRequestItem{
		Limit:    b.limit.Name,
		Sequence: sequence,
		Held:     hold,
		Wanted:   want,
	}
}

// heldSlots is the part that must be kept because requests still run in it.
func (b *bucket) heldSlots(l *borrowed, hold float64, now instant) float64 {
	l.peak = max(l.peak, l.part)
	rest := b.usable(now, true) - l.current(now) + hold
	if b.used > rest*b.limit.size() {
		return l.peak
	}
	l.peak = hold
	return hold
}

// dropLoans forgets loans that are over and not wanted.
func (b *bucket) dropLoans(now instant) {
	kept := b.borrowed[:0]
	for _, l := range b.borrowed {
		if now.fast < l.until || now.fast-l.asked < loanMemory {
			kept = append(kept, l)
		}
	}
	clear(b.borrowed[len(kept):])
	b.borrowed = kept
}

// receiveLend takes over the loans. It tells the lender at once of parts that
// became smaller, since the lender waits for that.
func (h *Limiter) receiveLend(m LoanResponse, now instant) []Envelope {
	if m.To != h.identity {
		return nil
	}
	var messages askMessages
	confirmed := h.confirmed(now)
	for _, item := range m.Items {
		b, ok := h.buckets[item.Limit]
		if !ok {
			continue
		}
		l := b.loanFrom(m.From)
		if l == nil || !l.waiting || l.sequence != item.Sequence {
			continue
		}
		b.settle(now, confirmed)
		b.accept(l, item, now, confirmed)
		if l.lowered && now.fast-l.told >= renewPeriod {
			l.told = now.fast
			h.sequence++
			messages.add(l.from, b.ask(l, l.part, h.sequence, now))
		}
	}
	return messages.envelopes(h.identity)
}

// accept takes over the lender's answer to the newest ask.
func (b *bucket) accept(l *borrowed, item LoanResponseItem, now instant, confirmed bool) {
	l.waiting = false
	l.lowered = item.Share < l.part
	until := l.asked + item.Duration
	if now.fast >= until {
		return
	}
	l.part = item.Share
	l.until = until
	l.peak = max(l.peak, l.part)
	b.level += item.Tokens
	b.clip(b.usable(now, confirmed))
}

// loanFor is how long a loan may last that is based on this confirmation.
func loanFor(confirmed time.Duration) time.Duration {
	return min(MaxLoanDuration, confirmed)
}
