package quota

import "time"

// setShares sets the shares and the buckets of all teams.
func (l *Limiter) setShares(now time.Time) {
	for _, state := range l.teams {
		l.setShare(state, now)
	}
}

// setSharesOf sets the shares and the buckets of the teams in a loan.
func (l *Limiter) setSharesOf(shares Shares, now time.Time) {
	for team := range shares {
		if state, isKnown := l.teams[team]; isKnown {
			l.setShare(state, now)
		}
	}
}

func (l *Limiter) setShare(state *teamState, now time.Time) {
	state.share = l.computeShare(state, now)
	l.updateBucket(state, now)
}

// computeShare returns this host's fraction of a team's rate: its part without what others may
// be using of it, and what it has borrowed.
func (l *Limiter) computeShare(state *teamState, now time.Time) float64 {
	team := state.team.Name
	if state.team.Rate <= 0 {
		return 1
	}
	return max(0, l.usablePart(now)-l.reserved(team)) + max(0, l.borrowed[team])
}

// shrink sets the shares and the buckets of the teams in a loan, and returns the saved tokens for
// which the smaller buckets have no room.
func (l *Limiter) shrink(loan Shares, now time.Time) Tokens {
	tokens := make(Tokens)
	for team := range loan {
		state, isKnown := l.teams[team]
		if !isKnown {
			continue
		}
		_, burst := l.bucketSize(state, l.computeShare(state, now))
		if excess := roundDown(state.bucket.TakeAbove(now, burst)); excess > 0 {
			tokens[team] = excess
		}
		l.setShare(state, now)
	}
	return tokens
}
