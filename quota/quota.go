/*
Package quota limits the request rate of each team over all hosts together. An entry
host asks its [Limiter] for a token before it sends a team's request to a backend server,
and rejects the request if there is none. A host without a token may first borrow
one from another host.

Every host enforces a share of each team's rate. Hosts report the demand that they
see to each other, and each takes the share that its own demand has in the total. If there
are many hosts, only a few of them, the owners, have a share of a team's rate, and the others
borrow every token (see [Ownership]). The shares follow callers that move from host to host. The limit also holds for a team that
sends many times its rate, when a rate is lowered under load, and when hosts fail, restart
or lose contact with the others.

The total is not exact while reports are on their way. A host that is out of contact
keeps its last share, and a host that starts has no saved burst.

The operators allow teams to exceed their rates somewhat. Each host adds its part of this
overshoot to its rates and bursts, so that single requests pass where its share is small.
In any case, the burst on each host is at least one request.

# Usage

	limiter := &quota.Limiter{}
	limiter.SetTeams(configuration.Teams)
	if wait, ok := limiter.TakeToken("north-schools"); !ok {
		// Reject the request and tell the caller to retry after the wait.
	}
	// Every few hundred milliseconds:
	limiter.UpdateShares(reports)

Rates are in requests per second.
*/
package quota

import (
	"math"
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/routing"
)

// Demand holds the rate of requests that a host receives, by team, in requests per
// second.
type Demand map[string]float64

// Shares holds a host's fraction of each team's rate, by team. The fractions are from 0
// to 1.
type Shares map[string]float64

// Report is the last report of another host. The zero value stands for a host that has
// not reported yet.
type Report struct {
	// Host is the name of the host.
	Host   string
	Demand Demand
	Shares Shares
	// Live is true while the host's reports arrive. A host whose reports stop may
	// have lost contact and still serve callers, so it keeps its shares.
	Live bool
}

// baselineDemandFraction is the fraction of a team's rate that all hosts together are
// assumed to have as additional demand, divided equally among them, when shares are
// computed. It gives a share also to hosts that have received no requests of the team lately.
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
// rest is left for the error while reports are on their way.
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

	mu        sync.Mutex
	teams     map[string]*teamState
	ownership Ownership
	// reports holds the last reports of the other hosts, and updatedAt is when they came.
	reports   []Report
	updatedAt time.Time
	// hasShares is true once reports has been set. Before that, no request of a team
	// with a rate passes: if all hosts are starting, each would take the whole rate.
	hasShares bool
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
// call of SetTeams or UpdateShares.
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
		isNewlyLimited := state.team.Rate <= 0 && t.Rate > 0
		state.team = t
		if isNewlyLimited && l.hasShares {
			state.share = l.computeShare(state, now)
		}
		l.updateBucket(state, now)
		l.teams[t.Name] = state
	}
}

// updateBucket sets the rate and the burst of a team's bucket from this host's share. On a
// host that owns no part of the rate, the bucket is always empty.
func (l *Limiter) updateBucket(state *teamState, now time.Time) {
	if !l.ownership.isOwner(state.team.Name, l.ownership.Self) {
		state.bucket.SetRate(now, 0, 0)
		return
	}
	overshootFactor := 1 + usedOvershoot*l.OvershootFraction
	extraBurst := usedOvershoot * l.OvershootRequests / l.ownership.count(state.team.Name, len(l.reports)+1)
	state.bucket.SetRate(now, overshootFactor*state.team.Rate*state.share, max(overshootFactor*state.team.Burst*state.share+extraBurst, minBurst))
	if l.hasShares && !state.hasInitialTokens {
		// A bucket starts without the burst of its team. It gets only this host's part
		// of the extra requests, so that single requests can pass at once.
		state.hasInitialTokens = true
		state.bucket.AddTokens(extraBurst)
	}
}

// HasShares reports whether this host knows its shares of the rates. Before that, no
// request of a team with a rate passes.
func (l *Limiter) HasShares() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasShares
}

// TakeToken takes a token of the team for one request. If there is none, it returns false
// and the time until the next one. It always succeeds for an unknown team and for a team
// without a rate. Each call counts as demand of the team, also if it fails.
func (l *Limiter) TakeToken(team string) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.teams[team]
	if !known {
		return 0, true
	}
	now := l.now()
	state.demand.Add(now)
	if state.team.Rate <= 0 || l.areSharesValid(now) && state.bucket.TakeToken(now) {
		return 0, true
	}
	return state.bucket.TimeUntilToken(now), false
}

// sharesValidity is how long this host's shares are valid after they were last computed. The
// other hosts keep them reserved for longer.
const sharesValidity = 10 * time.Second

// areSharesValid reports whether this host's shares were computed a short time ago. They were not
// on a host that was paused or suspended: the others may have divided its shares among them since.
func (l *Limiter) areSharesValid(now time.Time) bool {
	return len(l.reports) == 0 || elapsed.Between(l.updatedAt, now) <= sharesValidity
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
	now := l.now()
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

// UpdateShares recomputes this host's shares. It takes the last report of every other host
// that may be running, and a zero [Report] for each that has never reported.
func (l *Limiter) UpdateShares(others []Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.reports, l.hasShares, l.updatedAt = others, true, now
	for _, state := range l.teams {
		state.share = l.computeShare(state, now)
		l.updateBucket(state, now)
	}
}

// computeShare returns this host's fraction of a team's rate, from its own demand and the
// reports of the other hosts. Hosts that are not live, or that are no owners any more, keep
// the share that they last reported; hosts that are not live and never reported one keep
// 1/hosts. The live owners divide the rest in proportion to their demand, each with its part
// of the baseline demand added.
func (l *Limiter) computeShare(state *teamState, now time.Time) float64 {
	team, rate := state.team.Name, state.team.Rate
	if rate <= 0 {
		return 1
	}
	if !l.ownership.isOwner(team, l.ownership.Self) {
		return 0
	}
	hosts := len(l.reports) + 1
	baseline := baselineDemandFraction * rate / l.ownership.count(team, hosts)
	own := state.demand.PerSecond(now) + baseline
	total, available := own, 1.0
	for _, r := range l.reports {
		reportedShare, isKnown := r.Shares[team]
		switch {
		case r.Live && l.ownership.isOwner(team, r.Host):
			total += r.Demand[team] + baseline
		case isKnown:
			available -= reportedShare
		case !r.Live:
			available -= 1 / float64(hosts)
		}
	}
	return max(0, available) * own / total
}

func (l *Limiter) now() time.Time {
	if l.Clock == nil {
		return time.Now()
	}
	return l.Clock()
}
