package quota

import (
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
)

// lenderState is what a borrower keeps of a host that it borrows from.
type lenderState struct {
	sequence uint64
	loan     loan
	// usesLess is true if the lender does not know yet that this host uses less than before, and
	// returned holds the saved tokens that the next request gives back.
	usesLess bool
	returned Tokens
	// incarnation is the process from which the last request came, at heardAt.
	incarnation uint64
	heardAt     time.Time
}

// RequestLoan returns the next request to a lender, and false if this host needs nothing from it.
func (l *Limiter) RequestLoan(lender string) (LoanRequest, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.lender(lender)
	demand := l.demandOfOwned(l.now())
	isNeeded := len(demand) > 0 || len(state.loan.shares) > 0 || state.usesLess || !l.hasResponded[lender]
	if !isNeeded {
		return LoanRequest{}, false
	}
	state.sequence++
	state.usesLess = false
	return LoanRequest{
		Borrower:    l.division.Self,
		Incarnation: l.Incarnation,
		Sequence:    state.sequence,
		Received:    state.loan.sequence,
		Demand:      demand,
		Returned:    state.takeReturned(),
	}, true
}

// takeReturned returns the tokens to give back, once: if the request is lost, so are they.
func (s *lenderState) takeReturned() Tokens {
	returned := s.returned
	s.returned = nil
	return returned
}

// lender returns what is known of a host that lends.
func (l *Limiter) lender(name string) *lenderState {
	state := l.lenders[name]
	if state == nil {
		state = &lenderState{}
		if l.lenders == nil {
			l.lenders = make(map[string]*lenderState)
		}
		l.lenders[name] = state
	}
	return state
}

// ReceiveLoan applies the response to a request that was made at a time. A response that comes
// after that to a later request, too late, or from a process that has ended, changes nothing. It
// reports whether this host uses less than before, so that the next request should follow at
// once: it lets the lender use the rest.
func (l *Limiter) ReceiveLoan(lender string, r LoanRequest, askedAt time.Time, response LoanResponse) (usesLess bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.hasResponded == nil {
		l.hasResponded = make(map[string]bool)
	}
	l.hasResponded[lender] = true
	l.canBorrow = l.canBorrow || response.HasPart
	state := l.lender(lender)
	isOfOtherProcess := state.heardAt.After(askedAt) && state.incarnation != response.Incarnation
	if isOfOtherProcess || r.Sequence <= state.loan.sequence || elapsed.Between(askedAt, now) > loanTime {
		return false
	}
	l.refreshIfDue(now)
	before := state.loan.shares
	for team, share := range before {
		usesLess = usesLess || share > response.Shares[team]
	}
	state.usesLess = usesLess
	state.loan = loan{
		incarnation: response.Incarnation,
		sequence:    r.Sequence,
		shares:      response.Shares,
		askedAt:     askedAt,
	}
	l.addBorrowed(before, -1)
	l.addBorrowed(response.Shares, 1)
	state.returned = l.shrink(before, now)
	l.setSharesOf(response.Shares, now)
	if end := askedAt.Add(loanTime); len(response.Shares) > 0 && (l.nextExpiry.IsZero() || end.Before(l.nextExpiry)) {
		l.nextExpiry = end
	}
	for team, tokens := range response.Tokens {
		if t, isKnown := l.teams[team]; isKnown && tokens > 0 {
			t.bucket.AddTokens(tokens)
		}
	}
	return usesLess
}

// dropLoanOfOtherProcess drops what another process of a host has lent, since the one that
// speaks now does not know of it.
func (l *Limiter) dropLoanOfOtherProcess(lender string, incarnation uint64, now time.Time) {
	state := l.lender(lender)
	state.incarnation, state.heardAt = incarnation, now
	if before := state.loan.shares; state.loan.incarnation != incarnation && len(before) > 0 {
		state.loan.shares = nil
		l.addBorrowed(before, -1)
		l.setSharesOf(before, now)
	}
}

// refresh drops the loans whose time is over and sets the buckets to the shares that remain.
// What was borrowed ends at the end of its time, not when that is noticed, so that a host that
// was paused does not save tokens of a share that it no longer has.
func (l *Limiter) refresh(now time.Time) {
	for {
		var next *lenderState
		for _, state := range l.lenders {
			isOver := len(state.loan.shares) > 0 && elapsed.Between(state.loan.askedAt, now) > loanTime
			if isOver && (next == nil || state.loan.askedAt.Before(next.loan.askedAt)) {
				next = state
			}
		}
		if next == nil {
			break
		}
		l.addBorrowed(next.loan.shares, -1)
		next.loan.shares = nil
		end := next.loan.askedAt.Add(loanTime)
		if end.After(now) {
			end = now
		}
		l.setShares(end)
	}
	l.endPart(now)
	l.setShares(now)
	l.nextExpiry = l.firstExpiry()
}

// endPart sets the buckets as of the end of this host's part, if its lease has ended since the last call.
func (l *Limiter) endPart(now time.Time) {
	isOver := l.isLeaseOver(now)
	if isOver && !l.isPartOver {
		l.isPartOver = true
		end := l.division.LeaseConfirmedAt.Add(LeaseTime)
		if end.After(now) {
			end = now
		}
		l.setShares(end)
	}
	l.isPartOver = isOver
}

// firstExpiry returns when the first loan that this host uses ends; zero if it uses none.
func (l *Limiter) firstExpiry() time.Time {
	var first time.Time
	for _, state := range l.lenders {
		end := state.loan.askedAt.Add(loanTime)
		if len(state.loan.shares) > 0 && (first.IsZero() || end.Before(first)) {
			first = end
		}
	}
	return first
}

// refreshIfDue calls refresh if a loan that this host uses, or its part, has ended.
func (l *Limiter) refreshIfDue(now time.Time) {
	isLoanOver := !l.nextExpiry.IsZero() && elapsed.Between(l.nextExpiry, now) >= 0
	if isLoanOver || !l.isPartOver && l.isLeaseOver(now) {
		l.refresh(now)
	}
}

// addBorrowed adds the shares of a loan to the sums of what this host borrows, or takes them off
// if the sign is negative.
func (l *Limiter) addBorrowed(shares Shares, sign float64) {
	if l.borrowed == nil {
		l.borrowed = make(Shares)
	}
	for team, share := range shares {
		l.borrowed[team] += sign * share
	}
}

// sumBorrowed computes the sums of what this host borrows anew, so that rounding errors do not
// add up.
func (l *Limiter) sumBorrowed() {
	l.borrowed = nil
	for _, state := range l.lenders {
		l.addBorrowed(state.loan.shares, 1)
	}
}

// hasLoan reports whether this host uses a loan.
func (l *Limiter) hasLoan() bool { return !l.nextExpiry.IsZero() }
