package globallimit

import (
	"slices"
	"time"
)

// loanRetention is how long an ended loan is kept, with the sequence of the
// borrower's last request, so that a late request is not taken for a new one.
const loanRetention = time.Minute

// receiveLoanRequest responds to a borrower.
func (l *Limiter) receiveLoanRequest(m LoanRequest, now instant) []Envelope {
	if m.To != l.processID && m.To != l.epoch.member || m.From.Host == l.Host {
		return nil
	}
	confirmed := l.isConfirmed(now)
	var recalls recallBatch
	response := LoanResponse{
		From: m.To,
		To:   m.From,
	}
	for _, item := range m.Items {
		b, ok := l.buckets[item.Limit]
		if !ok || b.isRemoved {
			continue
		}
		b.advance(now, confirmed)
		loan := b.outgoingLoanTo(m.From, m.To)
		if item.Sequence <= loan.sequence {
			continue
		}
		granted := l.grantLoan(b, loan, item, now, confirmed)
		response.Items = append(response.Items, granted)
		if granted.Share < item.Wanted-minShare {
			recalls.add(b, loan, now)
		}
	}
	if len(response.Items) == 0 {
		return nil
	}
	return append(recalls.envelopes, Envelope{
		To:      m.From.Host,
		Message: response,
	})
}

// removeEndedOutgoingLoans removes the loans that ended more than loanRetention
// ago.
func (b *bucket) removeEndedOutgoingLoans(now instant) {
	b.outgoing = slices.DeleteFunc(b.outgoing, func(loan *outgoingLoan) bool {
		return now.monotonic >= max(loan.expiresAt, loan.previousExpiresAt)+loanRetention
	})
}

func (b *bucket) outgoingLoanTo(borrower, lender ProcessID) *outgoingLoan {
	for _, loan := range b.outgoing {
		if loan.borrower == borrower && loan.lender == lender {
			return loan
		}
	}
	loan := &outgoingLoan{
		recalledAt: never,
		borrower:   borrower,
		lender:     lender,
	}
	b.outgoing = append(b.outgoing, loan)
	return loan
}

// grantLoan grants a loan and gives up the share before the response is sent.
// The lender does not use the borrower's previous share until that has expired
// at the borrower.
func (l *Limiter) grantLoan(b *bucket, loan *outgoingLoan, item LoanRequestItem, now instant, confirmed bool) LoanResponseItem {
	held := max(0, min(item.Held, loan.outstandingShare(now)))
	shareBefore := b.unlentShare(now, confirmed)
	loan.previousShare = held
	loan.previousExpiresAt = max(loan.expiresAt, loan.previousExpiresAt)
	loan.sequence = item.Sequence
	loan.wanted = item.Wanted
	loan.share = 0
	share := max(0, min(item.Wanted, b.lendableShare(loan, now, confirmed)))
	duration := loanDuration(l.confirmationLeft(now))
	loan.share = share
	loan.expiresAt = now.monotonic + withClockMargin(duration) + b.limit.maxRequestDuration()
	tokens := b.removeTokens(share-held, shareBefore)
	b.capTokens(b.unlentShare(now, confirmed) + b.borrowedShare(now))
	return LoanResponseItem{
		Limit:    item.Limit,
		Sequence: item.Sequence,
		Share:    share,
		Tokens:   tokens,
		Duration: duration,
	}
}

// lendableShare returns the share that can be lent to this borrower: what is
// neither lent to others nor needed by this host. An owner whose own demand
// exceeds its share lends nothing to another owner, because both own equal
// shares.
func (b *bucket) lendableShare(loan *outgoingLoan, now instant, confirmed bool) float64 {
	if !confirmed {
		return 0
	}
	lentToOthers, wantedByOthers, borrowers := 0.0, 0.0, 0
	for _, other := range b.outgoing {
		outstandingShare := other.outstandingShare(now)
		if other == loan {
			continue
		}
		lentToOthers += outstandingShare
		if now.monotonic < other.expiresAt && other.wanted > 0 {
			wantedByOthers += other.wanted
			borrowers++
		}
	}
	// The floor is an equal share for this host, this borrower and each other
	// borrower that wants something.
	reserveFloor := b.ownShare / float64(borrowers+2)
	// The host keeps what its own demand needs. If that exceeds its share, it
	// keeps what the borrowers leave, but at least the floor.
	reserve := b.demand.reservedShare(b.limit)
	if reserve > b.ownShare && slices.Contains(b.owners, loan.borrower) {
		return 0
	}
	if reserve > b.ownShare {
		reserve = max(reserveFloor, b.ownShare-wantedByOthers-loan.wanted)
	}
	// This borrower may have what the other borrowers leave, but at least an
	// equal part of what the host does not keep.
	fairShare := max(b.ownShare-reserve-wantedByOthers, (b.ownShare-reserve)/float64(borrowers+1))
	return min(b.ownShare-lentToOthers-max(reserve, b.shareOfSlotsInUse()), fairShare)
}

// shareOfSlotsInUse returns the share of the limit that corresponds to the
// slots in use.
func (b *bucket) shareOfSlotsInUse() float64 {
	if b.limit.capacity() <= 0 {
		return 0
	}
	return b.slotsInUse / b.limit.capacity()
}

// removeTokens removes the tokens that belong to the lent share and returns
// their number.
func (b *bucket) removeTokens(movedShare, shareBefore float64) float64 {
	if movedShare <= 0 || shareBefore <= 0 || b.limit.refillRate() == 0 {
		return 0
	}
	tokens := b.tokens * min(1, movedShare/shareBefore)
	tokens = min(tokens, movedShare*b.limit.capacity())
	b.tokens -= tokens
	return tokens
}
