package quota

// LendToken takes one token from this host's bucket for a request that another host has
// received. It returns false if there is none. Since a token only changes hosts, lending
// does not raise the total rate.
//
// Lending is for teams whose rate is small for the number of hosts: each host's share is
// less than one request per second, and requests often arrive at a host without a token.
func (l *Limiter) LendToken(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	return known && l.hasShares && state.team.Rate > 0 && state.bucket.TakeToken(l.now())
}

// maxBorrowDemand is the highest demand over all hosts, as a multiple of the team's rate,
// at which a host tries to borrow; above it no other host has tokens left. It is
// above 1 because the reported demand of small teams fluctuates widely.
const maxBorrowDemand = 2

// ShouldBorrow reports whether it is worth asking other hosts for a token of the team. It
// returns false for a team whose demand is far above its rate, so that its requests are
// rejected at once without a call to other hosts.
func (l *Limiter) ShouldBorrow(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	if !known || state.team.Rate <= 0 {
		return false
	}
	demand := state.demand.PerSecond(l.now())
	for _, r := range l.reports {
		if r.Live {
			demand += r.Demand[team]
		}
	}
	return demand <= maxBorrowDemand*state.team.Rate
}
