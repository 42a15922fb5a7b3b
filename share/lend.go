package share

import (
	"slices"
	"time"
)

// loanMemory is how long the order of the asks of a borrower is remembered, so
// that a late one is not taken for a new one.
const loanMemory = time.Minute

// receiveAsk answers the wishes of a borrower.
func (h *Limiter) receiveAsk(m LoanRequest, now instant) []Envelope {
	if m.To != h.identity && m.To != h.epoch.acting || m.From.Host == h.Host {
		return nil
	}
	confirmed := h.confirmed(now)
	var recalls recallMessages
	answer := LoanResponse{
		From: m.To,
		To:   m.From,
	}
	for _, item := range m.Items {
		b, ok := h.buckets[item.Limit]
		if !ok || b.gone {
			continue
		}
		b.settle(now, confirmed)
		l := b.loanTo(m.From, m.To)
		if item.Sequence <= l.sequence {
			continue
		}
		lent := h.lend(b, l, item, now, confirmed)
		answer.Items = append(answer.Items, lent)
		if lent.Share < item.Wanted-leastDemand {
			recalls.add(b, l, now)
		}
	}
	if len(answer.Items) == 0 {
		return nil
	}
	return append(recalls.envelopes, Envelope{
		To:      m.From.Host,
		Message: answer,
	})
}

// forgetLoans drops the loans that ended long ago.
func (b *bucket) forgetLoans(now instant) {
	b.lent = slices.DeleteFunc(b.lent, func(l *lent) bool {
		return now.slow >= max(l.until, l.beforeUntil)+loanMemory
	})
}

func (b *bucket) loanTo(borrower, as ProcessID) *lent {
	for _, l := range b.lent {
		if l.to == borrower && l.as == as {
			return l
		}
	}
	l := &lent{
		recalled: never,
		to:       borrower,
		as:       as,
	}
	b.lent = append(b.lent, l)
	return l
}

// lend gives up the part before the answer is sent. What the borrower held
// stays given up until its use must have ended.
func (h *Limiter) lend(b *bucket, l *lent, item LoanRequestItem, now instant, confirmed bool) LoanResponseItem {
	hold := max(0, min(item.Held, l.outstanding(now)))
	before := b.ownPart(now, confirmed)
	l.before = hold
	l.beforeUntil = max(l.until, l.beforeUntil)
	l.sequence = item.Sequence
	l.want = item.Wanted
	l.part = 0
	part := max(0, min(item.Wanted, b.spare(l, now, confirmed)))
	duration := loanFor(h.confirmedFor(now))
	l.part = part
	l.until = now.slow + outlast(duration) + b.limit.overrun()
	tokens := b.giveTokens(part-hold, before)
	b.clip(b.ownPart(now, confirmed) + b.borrowedPart(now))
	return LoanResponseItem{
		Limit:    item.Limit,
		Sequence: item.Sequence,
		Share:    part,
		Tokens:   tokens,
		Duration: duration,
	}
}

// spare is the part that can be lent to this borrower: what is not lent to
// others and not needed by the host itself. When the wishes exceed the part,
// each borrower and the host itself may have an equal portion at least; hosts
// that hold equal parts and are short of them do not exchange any.
func (b *bucket) spare(l *lent, now instant, confirmed bool) float64 {
	if !confirmed {
		return 0
	}
	others, wishes, borrowers := 0.0, 0.0, 0
	for _, other := range b.lent {
		outstanding := other.outstanding(now)
		if other == l {
			continue
		}
		others += outstanding
		if now.slow < other.until && other.want > 0 {
			wishes += other.want
			borrowers++
		}
	}
	portion := b.part / float64(borrowers+2)
	reserve := b.demand.needed(b.limit)
	if reserve > b.part && slices.Contains(b.homes, l.to) {
		return 0
	}
	if reserve > b.part {
		reserve = max(portion, b.part-wishes-l.want)
	}
	fair := max(b.part-reserve-wishes, (b.part-reserve)/float64(borrowers+1))
	return min(b.part-others-max(reserve, b.usedPart()), fair)
}

// usedPart is the part of the limit in which requests run now.
func (b *bucket) usedPart() float64 {
	if b.limit.size() <= 0 {
		return 0
	}
	return b.used / b.limit.size()
}

// giveTokens takes the tokens of the part that moves out of the bucket.
func (b *bucket) giveTokens(moved, before float64) float64 {
	if moved <= 0 || before <= 0 || b.limit.perSecond() == 0 {
		return 0
	}
	tokens := b.level * min(1, moved/before)
	tokens = min(tokens, moved*b.limit.size())
	b.level -= tokens
	return tokens
}
