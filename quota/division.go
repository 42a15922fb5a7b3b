package quota

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Division says among which hosts the rates are divided. Each holder has an equal part of each
// rate, which stays its own while it is paused or cut off, and lends fractions of it to hosts
// with demand. So the parts in use never add up to more than the whole, whatever hosts know
// of each other.
type Division struct {
	// Self is the name of this host.
	Self string
	// Members are the names of all hosts that may be running, with this one.
	Members []string
	// Holders are the members that have a part.
	Holders []string
	// Joined tells apart hosts of the same name that have joined the fleet one after the other.
	Joined map[string]uint64
	// IsConfirmed is true if no other member counts on parts that leave no room for this
	// host's (see [Division.IsConfirmedBy]). Without it, a part does not grow.
	IsConfirmed bool
	// IsRestart is true if an earlier process of this host may have lent fractions of its
	// part that are still in use.
	IsRestart bool
}

// hash returns a hash by which hosts compare the holders. It does not depend on the order. A host
// that left and joined again is another one: what was reported of the holders before does not
// count for those with it.
func (d *Division) hash() uint64 {
	sorted := slices.Sorted(slices.Values(d.Holders))
	digest := xxhash.New()
	for _, name := range sorted {
		// Writing to a hash never fails.
		_, _ = fmt.Fprintf(digest, "%s\x00%d\x00", name, d.Joined[name])
	}
	return digest.Sum64()
}

// holdersPerRegion is how many hosts of each region hold a part of each rate if not all do. The
// end of one leaves its part unused, so there is more than one.
const holdersPerRegion = 2

// SelectHolders returns the hosts that hold parts of the rates in a fleet in which not all do,
// given the names of its members by region. All hosts that know the same members select the
// same ones.
func SelectHolders(members map[string][]string) []string {
	var holders []string
	for _, names := range members {
		holders = append(holders, highestRanked("", names, holdersPerRegion)...)
	}
	slices.Sort(holders)
	return holders
}

// MemberReport is what this host knows of another member.
type MemberReport struct {
	// Divides is true if the host divides the rates as [Division] says. A host of an earlier build
	// does not.
	Divides bool
	// Holders is the hash of the holders that the host reported last, zero if it reported none.
	Holders uint64
	// HasNoPart is true if the host has never had a part, and can't get one because it does not
	// hear from this host.
	HasNoPart bool
}

// IsConfirmedBy reports whether no other member counts on parts that leave no room for this host's.
// It takes the hash of the holders in this host's record, among which it had its part before it
// restarted, and what all other members reported last. The record must be part of the list from
// which the members were read: of two hosts that add theirs at the same time, one then knows the
// other, and waits for it.
func (d *Division) IsConfirmedBy(recorded uint64, others []MemberReport) bool {
	hash := d.hash()
	if recorded == hash {
		return true
	}
	return !slices.ContainsFunc(others, func(r MemberReport) bool {
		return r.Divides && !r.HasNoPart && r.Holders != hash
	})
}

// SetDivision sets among which hosts the rates are divided. A part that shrinks does so at once,
// and one that grows if the division is confirmed.
func (l *Limiter) SetDivision(division Division) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.StartedAt.IsZero() {
		l.StartedAt = now
	}
	if part := division.part(); part <= l.part || division.IsConfirmed {
		l.part = part
	}
	l.division = division
	l.refresh(now)
}

// DivisionHash returns the hash of the holders on which this host counts, zero as long as what it
// has lent exceeds its part among them. It also reports whether this host has that part.
func (l *Limiter) DivisionHash() (hash uint64, hasPart bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for team := range l.teams {
		if l.reserved(team) > l.part {
			return 0, false
		}
	}
	if len(l.division.Members) == 0 {
		return 0, false
	}
	return l.division.hash(), l.part == l.division.part()
}

// Part returns this host's part of each rate, and the one that it should have among the holders.
func (l *Limiter) Part() (part, target float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.part, l.division.part()
}

// part returns this host's part of each rate among the holders.
func (d *Division) part() float64 {
	if !slices.Contains(d.Holders, d.Self) {
		return 0
	}
	return 1 / float64(len(d.Holders))
}

// Holders returns the names of the hosts that have a part of each rate.
func (l *Limiter) Holders() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.division.Holders
}

// AwaitsResponses reports whether this host has just started, and can't use its part until the
// others have responded to its requests for loans.
func (l *Limiter) AwaitsResponses() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.division.Members) == 0 || l.part > 0 && l.usablePart(l.now()) == 0
}

// usablePart returns this host's part. After a restart it is zero until the loans of the process
// before have ended: each other member has responded, and so knows that it ended, or the
// longest time of a loan is over.
func (l *Limiter) usablePart(now time.Time) float64 {
	if !l.division.IsRestart || l.arePriorLoansOver {
		return l.part
	}
	l.arePriorLoansOver = now.Sub(l.StartedAt) > reservationTime || !slices.ContainsFunc(l.division.Members, func(name string) bool {
		return name != l.division.Self && !l.hasResponded[name]
	})
	if l.arePriorLoansOver {
		return l.part
	}
	return 0
}
