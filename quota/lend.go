package quota

import (
	"maps"
	"slices"
	"time"
)

// LendToken takes one token from this host's bucket for a request that another host has
// received. If there is none, it returns false and the time after which the request should come
// back. Since a token only changes hosts, lending does not raise the total rate. The request
// counts as demand of this host, and is promised a token if there is none, if isFirst is true; a
// host that asks several others sets it for the first.
//
// Lending is for teams whose rate is small for the number of hosts: each host's share is
// less than one request per second, and requests often arrive at a host without a token.
func (l *Limiter) LendToken(team string, isFirst bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	if !known || state.team.Rate <= 0 {
		return 0, false
	}
	now := l.now()
	l.refreshIfDue(now)
	if isFirst {
		state.demand.Add(now)
	}
	if state.bucket.TakeToken(now) {
		return 0, true
	}
	l.reportShortage(state)
	if isFirst {
		return state.promiseToken(now), false
	}
	return state.bucket.TimeUntilToken(now), false
}

// maxBorrowPause is the longest time for which no other host is asked for a token of a team
// after the hosts that were asked had none.
const maxBorrowPause = 200 * time.Millisecond

// RecordRefusal records that the hosts that were asked for a token of the team had none, and
// the shortest time after which one of them expects to have one. Until then, though for
// [maxBorrowPause] at most, no host is asked again.
func (l *Limiter) RecordRefusal(team string, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state, known := l.teams[team]; known {
		now := l.now()
		state.borrowAfter = now.Add(min(wait, maxBorrowPause))
		state.othersHaveTokenAt = now.Add(wait)
	}
}

// IsOwner reports whether this host has a share of the team's rate.
func (l *Limiter) IsOwner(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ownership.isOwner(team, l.ownership.Self)
}

// Owners are the hosts that a host asks for tokens of a team, if only a few have a share of its rate.
type Owners struct {
	// Near are those of the host's region, which are asked first.
	Near []string
	// Far are those of the other regions. There are none to ask for a team with several owners in
	// each region: a single one gets tokens too slowly for requests that come close together.
	Far []string
}

// OwnersFor returns the owners that a host of a region asks for tokens of a team. It returns false
// if all hosts have a share of the rate.
func (l *Limiter) OwnersFor(region, team string) (Owners, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	byRegion := l.ownership.Owners[team]
	owners := Owners{
		Near: byRegion[region],
	}
	if len(owners.Near) > 1 {
		return owners, true
	}
	for _, other := range slices.Sorted(maps.Keys(byRegion)) {
		if other != region {
			owners.Far = append(owners.Far, byRegion[other]...)
		}
	}
	return owners, l.ownership.Owners != nil
}

// maxBorrowDemand is the highest demand over all hosts, as a multiple of the team's rate,
// at which a host tries to borrow; above it no other host has tokens left. It is
// above 1 because the reported demand of small teams fluctuates widely.
const maxBorrowDemand = 2

// ShouldBorrow reports whether it is worth asking other hosts for a token of the team. If it is
// not because they had none, it returns the time until they expect to have one, else zero. It
// returns false for a team whose demand is far above its rate, so that its requests are
// rejected at once without a call to other hosts, and after [Limiter.RecordRefusal]. A host
// that owns no part of the rate does not know the demand, and asks.
func (l *Limiter) ShouldBorrow(team string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	if !known || state.team.Rate <= 0 {
		return 0, false
	}
	if now := l.now(); now.Before(state.borrowAfter) {
		return max(0, state.othersHaveTokenAt.Sub(now)), false
	}
	if !l.ownership.isOwner(team, l.ownership.Self) {
		return 0, true
	}
	demand := state.demand.PerSecond(l.now())
	for _, r := range l.reports {
		if r.Live {
			demand += r.Demand[team]
		}
	}
	return 0, demand <= maxBorrowDemand*state.team.Rate
}
