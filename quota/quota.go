/*
Package quota limits the request rate of each team over all hosts together. An entry
host asks its [Limiter] for a token before it sends a team's request to a backend server,
and rejects the request if there is none. A host without a token may first borrow
one from another host.

Every host enforces a share of each team's rate. Each rate is divided into parts, which hosts'
records state (see [PartClaim]), and hosts lend each other fractions of their parts for some seconds, in
proportion to the demand that they see (see [LoanRequest]), so that the shares follow callers
that move from host to host. A lender uses less from when it lends, and uses again what it lent
when the borrower no longer does. So the shares of all hosts never add up to more than the
whole, however long messages take, and when hosts fail, restart, are paused or lose contact
with the others. A host that is out of contact has its part.

If there are many hosts, only a few of them, the owners, have a share of a team's rate, and the
others borrow every token (see [Ownership]). A host that starts has no saved burst.

The operators allow teams to exceed their rates somewhat. Each host adds its part of this
overshoot to its rates and bursts, so that single requests pass where its share is small.
In any case, the burst on each host is at least one request.

# Usage

	limiter := &quota.Limiter{
		Incarnation: incarnation,
	}
	limiter.SetTeams(configuration.Teams)
	limiter.SetDivision(division)
	if wait, ok := limiter.TakeToken("north-schools"); !ok {
		// Reject the request and tell the caller to retry after the wait.
	}
	// Every few hundred milliseconds, for each holder:
	if request, isNeeded := limiter.RequestLoan(holder); isNeeded {
		// Send it to the holder, which calls Lend.
		limiter.ReceiveLoan(holder, request, askedAt, response)
	}

Rates are in requests per second.
*/
package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/routing"
)

// Demand holds the rate of requests that a host receives, by team, in requests per
// second.
type Demand map[string]float64

// Shares holds a host's fraction of each team's rate, by team. The fractions are from 0
// to 1.
type Shares map[string]float64

// Report is the last report of another host.
type Report struct {
	Demand Demand
	// Live is true while the host's reports arrive.
	Live bool
}

// baselineDemandFraction is the fraction of a team's rate that all hosts together are
// assumed to have as additional demand, divided equally among them, when fractions are
// lent. It leaves a share to hosts that have received few requests of the team lately.
const baselineDemandFraction = 0.4

// The time constant of the moving average of the demand is the time in which a team may send
// demandRequests, but from minDemandTime to maxDemandTime. So a single request does not change
// a host's share much.
const (
	demandRequests = 14
	minDemandTime  = 700 * time.Millisecond
	maxDemandTime  = 5 * time.Second
)

// demandTimeConstant returns the time constant for a team's rate.
func demandTimeConstant(rate float64) time.Duration {
	seconds := demandRequests / max(rate, minReportedDemand)
	return min(max(time.Duration(seconds*float64(time.Second)), minDemandTime), maxDemandTime)
}

// usedOvershoot is the fraction of the allowed overshoot that is added to the buckets. The
// rest is left for configurations that hosts apply at different times.
const usedOvershoot = 0.3

// minBurst is the smallest burst of a bucket, in requests. It lets single requests pass
// where a host's share is small.
const minBurst = 1

// Limiter limits the request rate of each team on one host. The zero value is ready to use
// and knows no team. It is safe for concurrent use and must not be copied.
type Limiter struct {
	// OvershootFraction and OvershootRequests say by how much a team may exceed its rate
	// and burst. In any period of t seconds, all hosts together are allowed to accept
	// (Rate*t + Burst) * (1 + OvershootFraction) + OvershootRequests requests of it.
	OvershootFraction float64
	OvershootRequests float64
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time

	// Incarnation identifies this process in loans.
	Incarnation uint64
	// StartedAt is when this process started, or any later time; the time of the first call of
	// SetDivision if zero.
	StartedAt time.Time
	// OnShortage, if not nil, is called when a request of a team finds no token because this host
	// has no share of the team's rate, so that the host asks for a loan at once. It must not block.
	OnShortage func()

	mu        sync.Mutex
	teams     map[string]*teamState
	ownership Ownership
	// reports holds the last reports of the other hosts.
	reports []Report
	// division is the last one that was set.
	division Division
	// hasResponded holds the hosts that have responded to a loan request of this process.
	hasResponded      map[string]bool
	arePriorLoansOver bool
	// isPartOver is true once the lease of this host's part has ended.
	isPartOver bool
	// canBorrow is true once a host with a part has responded.
	canBorrow bool
	// borrowers and lenders hold the loans to and from other hosts, by name. The first of
	// those from others ends at nextExpiry; zero if there are none.
	borrowers  map[string]*borrower
	lent       map[string]*lentState
	borrowed   Shares
	lenders    map[string]*lenderState
	nextExpiry time.Time
}

// teamState holds the limit and the measured demand of one team.
type teamState struct {
	team   routing.Team
	demand meter.Rate
	bucket meter.TokenBucket
	// share is this host's fraction of the team's rate.
	share float64
	// hasInitialTokens is true once the bucket has got its first tokens.
	hasInitialTokens bool
	// borrowAfter is the time until which other hosts are not asked for tokens, and
	// othersHaveTokenAt when they expect to have one.
	borrowAfter       time.Time
	othersHaveTokenAt time.Time
	// promisedUntil is the latest time at which a rejected request was told to come back.
	promisedUntil time.Time
}

// maxPromise is the longest time after which a rejected request is told to come back.
const maxPromise = 5 * time.Second

// promiseToken returns when a rejected request should come back: when there will be a token
// that no other rejected request was promised. So the requests that were rejected together do
// not come back together, only for one of them to find a token.
func (state *teamState) promiseToken(now time.Time) time.Duration {
	wait := state.bucket.TimeUntilToken(now)
	if state.bucket.Rate <= 0 {
		return wait
	}
	perToken := time.Duration(float64(time.Second)/state.bucket.Rate) + 1
	wait = min(max(wait, state.promisedUntil.Sub(now)+perToken), maxPromise)
	state.promisedUntil = now.Add(wait)
	return wait
}

// SetOvershoot sets OvershootFraction and OvershootRequests. They take effect at the next
// call of SetTeams or SetReports.
func (l *Limiter) SetOvershoot(fraction, requests float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.OvershootFraction = fraction
	l.OvershootRequests = requests
}

// SetTeams replaces the teams by those of a configuration. A lower rate takes effect
// at once.
func (l *Limiter) SetTeams(teams []routing.Team) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	before := l.teams
	l.teams = make(map[string]*teamState, len(teams))
	for _, t := range teams {
		state, known := before[t.Name]
		if !known {
			state = &teamState{}
		}
		state.demand.TimeConstant = demandTimeConstant(t.Rate)
		state.team = t
		l.teams[t.Name] = state
	}
	l.refresh(now)
}

// updateBucket sets the rate and the burst of a team's bucket from this host's share.
func (l *Limiter) updateBucket(state *teamState, now time.Time) {
	rate, burst := l.bucketSize(state, state.share)
	state.bucket.SetRate(now, rate, burst)
	isOwner := l.ownership.isOwner(state.team.Name, l.ownership.Self)
	if isOwner && state.share > 0 && !state.hasInitialTokens {
		// A bucket starts without the burst of its team. It gets only this host's part
		// of the extra requests, so that single requests can pass at once.
		state.hasInitialTokens = true
		state.bucket.AddTokens(l.extraBurst(state))
	}
}

// bucketSize returns the rate and the burst of a team's bucket for a share of the team's rate. A
// host that is no owner keeps the tokens of the share that it has not lent until it lends that.
func (l *Limiter) bucketSize(state *teamState, share float64) (rate, burst float64) {
	rate, burst = l.overshootFactor()*state.team.Rate*share, l.overshootFactor()*state.team.Burst*share
	if !l.ownership.isOwner(state.team.Name, l.ownership.Self) {
		return rate, burst
	}
	return rate, max(burst+l.extraBurst(state), minBurst)
}

// extraBurst returns this host's part of the requests by which a team may exceed its burst.
func (l *Limiter) extraBurst(state *teamState) float64 {
	return usedOvershoot * l.OvershootRequests / l.ownership.count(state.team.Name, len(l.division.Members))
}

// overshootFactor is by what the rates and bursts are multiplied.
func (l *Limiter) overshootFactor() float64 { return 1 + usedOvershoot*l.OvershootFraction }

// HasShares reports whether this host knows among which hosts the rates are divided, and has a
// share of them, or another host lends it one as soon as there is demand. Before that, no request of
// a team with a rate passes.
func (l *Limiter) HasShares() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.division.Members) == 0 {
		return false
	}
	isHolder := slices.Contains(l.division.Holders, l.division.Self)
	return !isHolder || l.hasLoan() || l.canBorrow || l.usablePart(l.now()) > 0
}

// TakeToken takes a token of the team for one request. If there is none, it returns false
// and the time until the next one. It always succeeds for an unknown team and for a team
// without a rate, and never on a host that owns no part of the rate. Each call counts as demand of
// the team, also if it fails.
func (l *Limiter) TakeToken(team string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	if !known {
		return 0, true
	}
	now := l.now()
	state.demand.Add(now)
	l.refreshIfDue(now)
	if state.team.Rate <= 0 {
		return 0, true
	}
	if !l.ownership.isOwner(team, l.ownership.Self) {
		return math.MaxInt64, false
	}
	if state.bucket.TakeToken(now) {
		return 0, true
	}
	l.reportShortage(state)
	return state.bucket.TimeUntilToken(now), false
}

// reportShortage calls OnShortage if this host owns a part of the team's rate and has no share.
func (l *Limiter) reportShortage(state *teamState) {
	if l.OnShortage != nil && state.share == 0 && l.ownership.isOwner(state.team.Name, l.ownership.Self) {
		l.OnShortage()
	}
}

// PromiseToken returns after what time a request of the team that is rejected for lack of a
// token should come back, as far as this host's own tokens are concerned. The waits of several
// rejected requests differ, so that they come back evenly.
func (l *Limiter) PromiseToken(team string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	if !known {
		return 0
	}
	if state.team.Rate > 0 && !l.ownership.isOwner(team, l.ownership.Self) {
		return math.MaxInt64
	}
	return state.promiseToken(l.now())
}

// ReturnToken gives back the token of a request that no backend server ran.
func (l *Limiter) ReturnToken(team string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state, known := l.teams[team]; known {
		state.bucket.AddTokens(1)
	}
}

// Demand returns the rates of the requests that this host receives, for its report to
// the other hosts. It leaves out teams without a rate, teams of whose rate this host owns no
// part, and teams with hardly any requests.
func (l *Limiter) Demand() Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.demandOfOwned(l.now())
}

func (l *Limiter) demandOfOwned(now time.Time) Demand {
	demand := make(Demand)
	for name, state := range l.teams {
		isReported := state.team.Rate > 0 && l.ownership.isOwner(name, l.ownership.Self)
		if rate := state.demand.PerSecond(now); isReported && rate >= minReportedDemand {
			demand[name] = roundDigits(rate)
		}
	}
	return demand
}

// minReportedDemand is the demand, in requests per second, below which a report leaves a
// team out.
const minReportedDemand = 0.05

// roundDigits rounds a value to three significant digits, which keeps reports short.
func roundDigits(value float64) float64 {
	const digits = 3
	if value == 0 {
		return 0
	}
	scale := math.Pow(10, digits-1-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

// Shares returns this host's shares of the rates, for its report to the other hosts. It
// leaves out teams without a rate, and those of whose rate this host neither owns a part nor
// still holds one.
func (l *Limiter) Shares() Shares {
	l.mu.Lock()
	defer l.mu.Unlock()
	shares := make(Shares, len(l.teams))
	for name, state := range l.teams {
		if state.team.Rate > 0 && (state.share > 0 || l.ownership.isOwner(name, l.ownership.Self)) {
			shares[name] = roundDigits(state.share)
		}
	}
	return shares
}

// SetReports sets the last reports of the other hosts, and ends the loans whose time is over.
func (l *Limiter) SetReports(others []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.reports = others
	l.recount(now)
	l.sumBorrowed()
	l.refresh(now)
}

func (l *Limiter) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock()
}
