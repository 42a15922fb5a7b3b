/*
Package quota keeps each team within its rate over all hosts. Hosts tell each other
what they are asked for; each lets pass the part of the rate that its own demand
has in that of all. Load patterns that this is for: callers of a team that move
from host to host, a team that asks for many times its rate, a rate that is lowered
while callers press, hosts that are lost, return, or are cut off.

The division is not exact while reports are on their way. The parts are computed so
that it errs on the side of less: a host that is not heard keeps its last part, and
a new host saves no burst.

# Usage

	book := &quota.Book{}
	book.SetTeams(configuration.Teams)
	if wait, ok := book.Take("north-schools"); !ok {
		// Refuse, and tell the caller to come back after the wait.
	}
	// Every few hundred milliseconds:
	book.Divide(quota.Reports{...})

Rates are in requests per second.
*/
package quota

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
	"trefoilline.example/trefoilline/routing"
)

// Asked is what a host is asked for, by team, in requests per second.
type Asked map[string]float64

// floor is the part of a team's rate that all hosts share evenly, so that a
// request finds a token where none came lately.
const floor = 0.15

// smallestBurst lets single requests pass where a host's part is small.
const smallestBurst = 1

// Book keeps the accounts of all teams on one host. The zero value is ready and
// knows no team. It is safe for concurrent use and must not be copied.
type Book struct {
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu       sync.Mutex
	accounts map[string]*account
	others   []Asked
}

// account is one team's.
type account struct {
	team   routing.Team
	asked  meter.Rate
	bucket meter.Bucket
	// part is this host's part of the rate.
	part float64
}

// SetTeams takes the teams of a configuration. A lower rate binds at once.
func (b *Book) SetTeams(teams []routing.Team) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	before := b.accounts
	b.accounts = make(map[string]*account, len(teams))
	for _, t := range teams {
		a, known := before[t.Name]
		if !known {
			a = &account{
				part: 1 / float64(len(b.others)+1),
			}
		}
		a.team = t
		a.set(now)
		b.accounts[t.Name] = a
	}
}

// set gives the bucket the account's part of the rate.
func (a *account) set(now time.Time) {
	a.bucket.Set(now, a.team.Rate*a.part, max(a.team.Burst*a.part, smallestBurst))
}

// Take takes a token of the team's rate. Without one it reports false and how
// long it takes until there is one. A team that is not known, or whose rate is not
// bounded, always has one.
func (b *Book) Take(team string) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a, known := b.accounts[team]
	if !known {
		return 0, true
	}
	now := b.now()
	a.asked.Add(now)
	if a.team.Rate <= 0 || a.bucket.Take(now) {
		return 0, true
	}
	return a.bucket.Wait(now), false
}

// Return gives back the token of a request that no backend server ran.
func (b *Book) Return(team string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a, known := b.accounts[team]; known {
		a.bucket.Add(1)
	}
}

// Asked returns what this host is asked for.
func (b *Book) Asked() Asked {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	asked := make(Asked)
	for name, a := range b.accounts {
		if rate := a.asked.At(now); a.team.Rate > 0 && rate >= leastAsked {
			asked[name] = rate
		}
	}
	return asked
}

// leastAsked is the rate below which a report leaves a team out.
const leastAsked = 0.05

// Divide takes the last reports of all other hosts, one each; a host that is not
// heard any more is reported with its last, and one that is not known to be gone
// and was never heard with nil.
func (b *Book) Divide(others []Asked) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others = others
	now := b.now()
	for name, a := range b.accounts {
		a.part = part(a.team.Rate, a.asked.At(now), name, others)
		a.set(now)
	}
}

// part is this host's part of a team's rate.
func part(rate, own float64, name string, others []Asked) float64 {
	if rate <= 0 {
		return 1
	}
	even := floor * rate / float64(len(others)+1)
	mine := own + even
	all := mine
	for _, asked := range others {
		all += asked[name] + even
	}
	return mine / all
}

func (b *Book) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock()
}
