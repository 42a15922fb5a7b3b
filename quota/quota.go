/*
Package quota keeps each team within its rate over all hosts. Hosts tell each other
what they are asked for; each lets pass the part of the rate that its own demand
has in that of all. Load patterns that this is for: callers of a team that move
from host to host, a team that asks for many times its rate, a rate that is lowered
while callers press, hosts that are lost, return, or are cut off.

The division is not exact while reports are on their way. A host that is not heard
keeps its last part, and a new host saves no burst. The operators allow some
overshoot; half of it lets single requests pass where a host's part is small.

# Usage

	book := &quota.Book{}
	book.SetTeams(configuration.Teams)
	if wait, ok := book.Take("north-schools"); !ok {
		// Refuse, and tell the caller to come back after the wait.
	}
	// Every few hundred milliseconds:
	book.Divide(reports)

Rates are in requests per second.
*/
package quota

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/routing"
)

// Demand is what a host is asked for, by team, in requests per second.
type Demand map[string]float64

// Shares are a host's parts of the rates, by team.
type Shares map[string]float64

// Report is what another host last told.
type Report struct {
	Demand Demand
	Shares Shares
	// Live tells that the host is heard. One that is not may be cut off and serve
	// on: its parts are left to it.
	Live bool
}

// floor is the part of a team's rate that all hosts share evenly, so that a
// request finds a token where none came lately.
const floor = 0.4

// askedWindow is over how long the demand is counted: so long that a host's part
// does not follow single requests.
const askedWindow = 700 * time.Millisecond

// spent is the part of the allowed overshoot that is used.
const spent = 0.3

// smallestBurst lets single requests pass where a host's part is small.
const smallestBurst = 1

// Limiter keeps the accounts of all teams on one host. The zero value is ready and
// knows no team. It is safe for concurrent use and must not be copied.
type Limiter struct {
	// OvershootFraction is by which part of its rate and burst a team may go beyond them,
	// and Slack by how many requests besides, over all hosts in a window.
	OvershootFraction float64
	OvershootRequests float64
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu       sync.Mutex
	accounts map[string]*account
	others   []Report
	// divided tells that others is known. Until then nothing passes that has a
	// rate: all hosts may be starting.
	divided bool
}

// account is one team's.
type account struct {
	team   routing.Team
	asked  meter.Rate
	bucket meter.TokenBucket
	// part is this host's part of the rate.
	part float64
	// begun tells that the bucket has had its first tokens.
	begun bool
}

// SetOvershoot changes by how much teams may go beyond their rates.
func (b *Limiter) SetOvershoot(overshoot, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.OvershootFraction = overshoot
	b.OvershootRequests = slack
}

// SetTeams takes the teams of a configuration. A lower rate binds at once.
func (b *Limiter) SetTeams(teams []routing.Team) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	before := b.accounts
	b.accounts = make(map[string]*account, len(teams))
	for _, t := range teams {
		a, known := before[t.Name]
		if !known {
			a = &account{
				asked: meter.Rate{
					Window: askedWindow,
				},
			}
			if b.divided {
				a.part = part(t.Rate, 0, t.Name, b.others)
			}
		}
		a.team = t
		b.set(a, now)
		b.accounts[t.Name] = a
	}
}

// set gives the bucket the account's part of the rate.
func (b *Limiter) set(a *account, now time.Time) {
	more := 1 + spent*b.OvershootFraction
	single := spent * b.OvershootRequests / float64(len(b.others)+1)
	a.bucket.SetRate(now, more*a.team.Rate*a.part, max(more*a.team.Burst*a.part+single, smallestBurst))
	if b.divided && !a.begun {
		// A start saves no burst, but single requests pass at once.
		a.begun = true
		a.bucket.AddTokens(single)
	}
}

// HasShares tells whether this host's parts are known. Until then nothing passes.
func (b *Limiter) HasShares() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.divided
}

// TakeToken takes a token of the team's rate. Without one it reports false and how
// long it takes until there is one. A team that is not known, or whose rate is not
// bounded, always has one.
func (b *Limiter) TakeToken(team string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.accounts[team]
	if !known {
		return 0, true
	}
	now := b.now()
	a.asked.Add(now)
	if a.team.Rate <= 0 || a.bucket.TakeToken(now) {
		return 0, true
	}
	return a.bucket.TimeUntilToken(now), false
}

// ReturnToken gives back the token of a request that no backend server ran.
func (b *Limiter) ReturnToken(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.accounts[team]; known {
		a.bucket.AddTokens(1)
	}
}

// Demand returns what this host is asked for.
func (b *Limiter) Demand() Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	asked := make(Demand)
	for name, a := range b.accounts {
		if rate := a.asked.PerSecond(now); a.team.Rate > 0 && rate >= leastAsked {
			asked[name] = rate
		}
	}
	return asked
}

// leastAsked is the rate below which a report leaves a team out.
const leastAsked = 0.05

// Shares returns this host's parts of the rates.
func (b *Limiter) Shares() Shares {
	b.mu.Lock()
	defer b.mu.Unlock()
	parts := make(Shares, len(b.accounts))
	for name, a := range b.accounts {
		if a.team.Rate > 0 {
			parts[name] = a.part
		}
	}
	return parts
}

// UpdateShares takes the last reports of all other hosts that may be there, one each. One
// that was never heard reports nothing.
func (b *Limiter) UpdateShares(others []Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others, b.divided = others, true
	now := b.now()
	for name, a := range b.accounts {
		a.part = part(a.team.Rate, a.asked.PerSecond(now), name, others)
		b.set(a, now)
	}
}

// part is this host's part of a team's rate.
func part(rate, own float64, name string, others []Report) float64 {
	if rate <= 0 {
		return 1
	}
	hosts := float64(len(others) + 1)
	even := floor * rate / hosts
	mine := own + even
	all, free := mine, 1.0
	for _, r := range others {
		kept, isKnown := r.Shares[name]
		switch {
		case r.Live:
			all += r.Demand[name] + even
		case isKnown:
			free -= kept
		default:
			free -= 1 / hosts
		}
	}
	return max(0, free) * mine / all
}

func (b *Limiter) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock()
}
