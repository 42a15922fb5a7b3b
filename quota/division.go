package quota

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Division says among which hosts the rates are divided. Each holder has a part of each rate (see
// [PartClaim]), which stays its own while it is paused or cut off, and lends fractions of it to hosts
// with demand. So the parts in use never add up to more than the whole, whatever hosts know
// of each other.
type Division struct {
	// Self is the name of this host.
	Self string
	// Members are the names of all hosts that may be running, with this one.
	Members []string
	// Holders are the members that are to have a part.
	Holders []string
	// Joined tells apart hosts of the same name that have joined the fleet one after the other.
	Joined map[string]uint64
	// Part is this host's part of each rate, from 0 to 1.
	Part float64
	// LeaseConfirmedAt is when the [Lease] of the part was last confirmed. The part is used without a limit in time if it is
	// zero.
	LeaseConfirmedAt time.Time
	// IsAgreed is true if this host has the part that it should have, and the other members count
	// on the same holders.
	IsAgreed bool
	// IsRestart is true if an earlier process of this host may have lent fractions of its
	// part that are still in use.
	IsRestart bool
}

// Hash returns a hash by which hosts compare the holders. It does not depend on the order. A host
// that left and joined again is another one: what was reported of the holders before does not
// count for those with it.
func (d *Division) Hash() uint64 {
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

// SetDivision sets among which hosts the rates are divided, and this host's part.
func (l *Limiter) SetDivision(division Division) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.StartedAt.IsZero() {
		l.StartedAt = now
	}
	l.division = division
	l.forgetOthers()
	l.refresh(now)
}

// forgetOthers drops what is kept of hosts that are not members and of which this host borrows nothing.
func (l *Limiter) forgetOthers() {
	isMember := make(map[string]bool, len(l.division.Members))
	for _, name := range l.division.Members {
		isMember[name] = true
	}
	maps.DeleteFunc(l.hasResponded, func(name string, _ bool) bool { return !isMember[name] })
	maps.DeleteFunc(l.lenders, func(name string, s *lenderState) bool {
		return !isMember[name] && len(s.loan.shares) == 0 && !s.usesLess
	})
}

// DivisionHash returns the hash of the holders on which this host counts, zero as long as what it
// has lent exceeds its part among them. It also reports whether the hosts agree on it, and this
// one has its part.
func (l *Limiter) DivisionHash() (hash uint64, isAgreed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.division.Members) == 0 || l.partInUse() > l.division.Part {
		return 0, false
	}
	return l.division.Hash(), l.division.IsAgreed
}

// PartInUse returns the part of each rate that this host uses or has lent. It may exceed the part
// that it was last given, as long as loans of a larger one last.
func (l *Limiter) PartInUse() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.partInUse()
}

func (l *Limiter) partInUse() float64 {
	inUse := l.division.Part
	for team := range l.teams {
		inUse = max(inUse, l.reserved(team))
	}
	return inUse
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
	return len(l.division.Members) == 0 || l.division.Part > 0 && l.usablePart(l.now()) == 0
}

// usablePart returns this host's part, zero once its lease has ended. After a restart it is zero until the loans of the process
// before have ended: each other member has responded, and so knows that it ended, or the
// longest time of a loan is over.
func (l *Limiter) usablePart(now time.Time) float64 {
	if l.isPartOver || l.isLeaseOver(now) {
		return 0
	}
	if !l.division.IsRestart || l.arePriorLoansOver {
		return l.division.Part
	}
	l.arePriorLoansOver = now.Sub(l.StartedAt) > reservationTime || !slices.ContainsFunc(l.division.Members, func(name string) bool {
		return name != l.division.Self && !l.hasResponded[name]
	})
	if l.arePriorLoansOver {
		return l.division.Part
	}
	return 0
}

// isLeaseOver reports whether the lease of this host's part has ended.
func (l *Limiter) isLeaseOver(now time.Time) bool {
	confirmedAt := l.division.LeaseConfirmedAt
	return !confirmedAt.IsZero() && !isLeaseValid(confirmedAt, now)
}
