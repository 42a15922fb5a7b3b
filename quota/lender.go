package quota

import (
	"math"
	"slices"
	"time"
)

// borrower is what a lender knows of a host that borrows from it.
type borrower struct {
	incarnation uint64
	demand      Demand
	askedAt     time.Time
	sequence    uint64
	// loans holds what the borrower may be using: the loan of the last response that it
	// received, and those of the responses since. reserved is the largest of them of each team.
	loans    []loan
	reserved Shares
}

// lentState is the sum of what the borrowers of a team want and may be using.
type lentState struct {
	reserved float64
	demand   float64
}

// Lend lends another host fractions of this host's part, in proportion to the demand of the
// hosts that have asked lately and of this one. What others may still be using is not lent
// again.
func (l *Limiter) Lend(r LoanRequest) LoanResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.dropLoanOfOtherProcess(r.Borrower, r.Incarnation, now)
	b := l.borrower(r.Borrower)
	if b.incarnation != r.Incarnation {
		// The request may be a late one of an earlier process, so what was lent to the other
		// one stays reserved until its time is over.
		b.incarnation, b.sequence = r.Incarnation, 0
	}
	response := LoanResponse{
		Incarnation: l.Incarnation,
		HasPart:     l.usablePart(now) > 0,
	}
	if r.Sequence <= b.sequence {
		return response
	}
	l.refreshIfDue(now)
	l.takeBack(b, r, now)
	l.count(b, -1)
	b.sequence, b.demand, b.askedAt = r.Sequence, r.Demand, now
	l.count(b, 1)
	response.Shares = l.sharesToLend(b, now)
	l.count(b, -1)
	b.addLoan(loan{
		incarnation: r.Incarnation,
		sequence:    r.Sequence,
		shares:      response.Shares,
		askedAt:     now,
	})
	l.count(b, 1)
	response.Tokens = l.shrink(response.Shares, now)
	return response
}

// count adds what a borrower wants and may be using to the sums of its teams, or takes it off if
// the sign is negative.
func (l *Limiter) count(b *borrower, sign float64) {
	if l.lent == nil {
		l.lent = make(map[string]*lentState)
	}
	of := func(team string) *lentState {
		if l.lent[team] == nil {
			l.lent[team] = &lentState{}
		}
		return l.lent[team]
	}
	for team, share := range b.reserved {
		of(team).reserved += sign * share
	}
	for team, demand := range b.demand {
		of(team).demand += sign * demand
	}
}

// recount computes the sums anew, without the loans whose time is over and the demand of those
// that no longer ask.
func (l *Limiter) recount(now time.Time) {
	l.lent = nil
	for name, b := range l.borrowers {
		if now.Sub(b.askedAt) > reservationTime {
			delete(l.borrowers, name)
			continue
		}
		b.dropLoans(func(lent loan) bool { return now.Sub(lent.askedAt) > reservationTime })
		l.count(b, 1)
	}
}

// reserved returns the fraction of a team's rate that other hosts may be using.
func (l *Limiter) reserved(team string) float64 {
	if lent := l.lent[team]; lent != nil {
		return max(0, lent.reserved)
	}
	return 0
}

// takeBack ends the loans that a borrower has replaced, and adds the tokens that it returns, as
// far as they can be those of these loans.
func (l *Limiter) takeBack(b *borrower, r LoanRequest, now time.Time) {
	before := b.reserved
	l.count(b, -1)
	b.dropLoans(func(lent loan) bool { return lent.incarnation == b.incarnation && lent.sequence < r.Received })
	l.count(b, 1)
	l.setSharesOf(before, now)
	for team, tokens := range r.Returned {
		if state, isKnown := l.teams[team]; isKnown && tokens > 0 {
			freed := before[team] - b.reserved[team]
			state.bucket.AddTokens(min(tokens, freed*l.overshootFactor()*state.team.Burst))
		}
	}
}

// borrower returns what is known of a host that borrows.
func (l *Limiter) borrower(name string) *borrower {
	b := l.borrowers[name]
	if b == nil {
		b = &borrower{
			reserved: make(Shares),
		}
		if l.borrowers == nil {
			l.borrowers = make(map[string]*borrower)
		}
		l.borrowers[name] = b
	}
	return b
}

// dropLoans drops the loans for which the function returns true.
func (b *borrower) dropLoans(isOver func(loan) bool) {
	b.loans = slices.DeleteFunc(b.loans, isOver)
	b.reserved = make(Shares)
	for _, lent := range b.loans {
		b.reserve(lent.shares)
	}
}

// addLoan adds a loan of which the borrower may or may not learn.
func (b *borrower) addLoan(lent loan) {
	b.loans = append(b.loans, lent)
	b.reserve(lent.shares)
}

func (b *borrower) reserve(shares Shares) {
	for team, share := range shares {
		b.reserved[team] = max(b.reserved[team], share)
	}
}

// sharesToLend returns what a borrower gets of each team for which it asked: a fraction of this
// host's part in proportion to its weight, which is its demand and an equal part of the baseline
// demand.
func (l *Limiter) sharesToLend(b *borrower, now time.Time) Shares {
	part := l.usablePart(now)
	if part <= 0 {
		return nil
	}
	shares := make(Shares)
	for team, demand := range b.demand {
		state, isKnown := l.teams[team]
		if !isKnown || state.team.Rate <= 0 {
			continue
		}
		owners := l.ownership.count(team, len(l.division.Members))
		baseline := baselineDemandFraction * state.team.Rate / owners
		// Those that have hardly any demand and don't ask count with the baseline demand.
		all := l.lent[team].demand + owners*baseline
		if l.ownership.isOwner(team, l.division.Self) {
			all += state.demand.PerSecond(now)
		}
		share := part * (demand + baseline) / all
		if before := b.reserved[team]; math.Abs(share-before) < minShareChange*before {
			share = before
		}
		free := part - l.reserved(team) + b.reserved[team]
		if share = roundDown(min(share, free)); share > 0 {
			shares[team] = share
		}
	}
	return shares
}

// minShareChange is the smallest change of a loan, as a fraction of it. What changes hands is
// unused while messages are on their way.
const minShareChange = 0.1

// shareDigits is how many decimal places of a share are sent.
const shareDigits = 5

// roundDown rounds a share down, which keeps messages short and lends no more than there is.
func roundDown(share float64) float64 {
	scale := math.Pow10(shareDigits)
	return math.Floor(share*scale) / scale
}
