package quota

// LendToken gives up one of this host's tokens for a request that another host has, and
// reports false if there is none. All hosts together pass no more than before.
//
// It answers a team with few requests over many hosts: each host's part is less than a
// request, and requests come where the token is not.
func (b *Limiter) LendToken(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.accounts[team]
	return known && b.divided && a.team.Rate > 0 && a.bucket.TakeToken(b.now())
}

// hopeless is how many times a team's rate all hosts are asked for where no other has
// a token to lend. Reports of small teams scatter widely.
const hopeless = 2

// ShouldBorrow tells whether another host may have a token for the team. A team far above
// its rate is refused at once, and costs no call.
func (b *Limiter) ShouldBorrow(team string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.accounts[team]
	if !known || a.team.Rate <= 0 {
		return false
	}
	asked := a.asked.PerSecond(b.now())
	for _, r := range b.others {
		if r.Live {
			asked += r.Demand[team]
		}
	}
	return asked <= hopeless*a.team.Rate
}
