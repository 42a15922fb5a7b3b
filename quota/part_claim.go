package quota

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// WholePart is the whole of each rate in the units in which hosts' records state parts.
const WholePart = 1_000_000

// MemberState says whether a host divides the rates with the others.
type MemberState int

const (
	// MemberUnknown is a host that was not heard from since this one knows its record.
	MemberUnknown MemberState = iota
	// MemberActive is a host that was heard from lately.
	MemberActive
	// MemberSilent is a host that stopped or was not heard from for long. It may still use the
	// part that its record states, and does not get more.
	MemberSilent
)

// Member is what a host knows of one that may be running.
type Member struct {
	Name  string
	State MemberState
	// Stated is the part that the member's record states, zero if it has none. The member uses
	// no more than that.
	Stated int
	// IsHolder is true if the member is to have a part.
	IsHolder bool
}

// String returns the member's name, the part that its record states, and its state.
func (m Member) String() string {
	states := map[MemberState]string{
		MemberUnknown: "unknown",
		MemberActive:  "active",
		MemberSilent:  "silent",
	}
	return fmt.Sprintf("%s=%d/%s", m.Name, m.Stated, states[m.State])
}

// sumStated returns the sum of the parts that the records of the members state.
func sumStated(members []Member) int {
	sum := 0
	for _, m := range members {
		sum += m.Stated
	}
	return sum
}

// TargetPart is the part that a host should have: what silent hosts leave of the whole, divided
// equally. Low and High differ while the host does not know which of the others are silent. It
// claims up to Low and gives up what exceeds High.
type TargetPart struct {
	Low  int
	High int
}

// NewTargetPart returns the part that a host should have, given all members with this host.
func NewTargetPart(self string, members []Member) TargetPart {
	isHolder := slices.ContainsFunc(members, func(m Member) bool { return m.Name == self && m.IsHolder })
	if !isHolder {
		return TargetPart{}
	}
	ifActive, ifSilent := equalPart(members, MemberActive), equalPart(members, MemberSilent)
	return TargetPart{
		Low:  min(ifActive, ifSilent),
		High: max(ifActive, ifSilent),
	}
}

// equalPart returns the part of each active holder if the members in an unknown state are in the
// given one.
func equalPart(members []Member, unknown MemberState) int {
	rest, holders := WholePart, 0
	for _, m := range members {
		state := m.State
		if state == MemberUnknown {
			state = unknown
		}
		switch {
		case state == MemberSilent:
			rest -= m.Stated
		case m.IsHolder:
			holders++
		}
	}
	return max(0, rest) / max(1, holders)
}

// PartAction is what a host does next about the part that its record states.
type PartAction interface{ partAction() }

// toParts converts a fraction of the whole to the units of records, rounded up. What is less than a
// hundredth of a unit is a rounding error.
func toParts(fraction float64) int { return int(math.Ceil(fraction*WholePart - 0.01)) }

// KeepPart leaves the record as it is.
type KeepPart struct{}

// StatePart writes the part into the host's record, and reports it with [PartClaim.SetStated].
type StatePart struct {
	Part int
}

// ConfirmPart lists the records of all hosts, and passes what they state to [PartClaim.Confirm].
type ConfirmPart struct{}

func (KeepPart) partAction()    {}
func (StatePart) partAction()   {}
func (ConfirmPart) partAction() {}

// PartClaim decides which part of each rate this host states in its record, and which part it
// uses. A host uses no more than its record states, and uses more than before only after a list of
// all records, read after it wrote its own, showed parts that add up to no more than the whole: of
// two hosts that claim the same fraction, the one that wrote later sees the other's record. So the
// parts in use never add up to more than the whole, without a message between hosts, and one that
// is silent keeps only its own part. A host that starts again has the part of its record. The zero
// value is a host whose record states no part.
type PartClaim struct {
	stated  int
	granted int
	// wantedSince is since when this host wants more than its record states, and unconfirmedSince
	// since when it may not use what it states; zero if that is not so.
	wantedSince      time.Time
	unconfirmedSince time.Time
}

const (
	// minPartGrowth is the smallest growth that is worth a write.
	minPartGrowth = WholePart / 1000
	// partialClaimDelay is how long a host waits for the whole of its part to be free before it
	// claims a fraction.
	partialClaimDelay = 2 * time.Second
	// withdrawalDelay is how long a host waits for the others to give up what exceeds the whole
	// before it gives up its own claim.
	withdrawalDelay = 4 * time.Second
)

// Resume sets what the record of an earlier process of this host states. This host uses that if
// the records of all members, this one included, add up to no more than the whole.
func (p *PartClaim) Resume(stated int, members []Member) {
	p.stated = stated
	p.Confirm(members)
}

// SetStated sets what this host's record states, after it was written or was found to be another.
func (p *PartClaim) SetStated(part int) {
	p.stated = part
	p.granted = min(p.granted, part)
}

// EndLease notes that this host may use no part until a list confirms what its record states, since others may have it.
func (p *PartClaim) EndLease() { p.granted = 0 }

// Stated returns the part that this host's record states.
func (p *PartClaim) Stated() int { return p.stated }

// Granted returns the part that this host may use at most.
func (p *PartClaim) Granted() int { return p.granted }

// Confirm lets this host use the part that its record states, given what all records stated at some
// time after this host wrote its own, if they add up to no more than the whole. It reports whether
// they do.
func (p *PartClaim) Confirm(members []Member) bool {
	if sumStated(members) > WholePart {
		return false
	}
	p.granted = p.stated
	return true
}

// Usable returns the part that this host may use.
func (p *PartClaim) Usable(target TargetPart) int { return min(p.granted, target.High) }

// IsSettled reports whether this host has the part that it should have.
func (p *PartClaim) IsSettled(target TargetPart) bool {
	return p.Usable(target)+minPartGrowth > target.Low
}

// Next returns what to do next, given what the records of all members state. The part in use is
// what this host uses and has lent; it may still exceed the target.
func (p *PartClaim) Next(now time.Time, target TargetPart, inUse float64, members []Member) PartAction {
	p.granted = min(p.granted, max(target.High, toParts(inUse)))
	if highest := max(target.High, p.granted); p.stated > highest {
		return StatePart{
			Part: highest,
		}
	}
	if p.stated > p.granted {
		return p.confirmOrWithdraw(now, members)
	}
	p.unconfirmedSince = time.Time{}
	return p.claimMore(now, target, members)
}

// confirmOrWithdraw returns what to do about a part that the record states but that this host may
// not use yet.
func (p *PartClaim) confirmOrWithdraw(now time.Time, members []Member) PartAction {
	excess := sumStated(members) - WholePart
	if excess <= 0 {
		p.unconfirmedSince = time.Time{}
		return ConfirmPart{}
	}
	if p.unconfirmedSince.IsZero() {
		p.unconfirmedSince = now
	}
	if now.Sub(p.unconfirmedSince) < withdrawalDelay {
		return KeepPart{}
	}
	p.unconfirmedSince = time.Time{}
	return StatePart{
		Part: max(p.granted, p.stated-excess),
	}
}

// claimMore returns what to do about a part that is smaller than the target.
func (p *PartClaim) claimMore(now time.Time, target TargetPart, members []Member) PartAction {
	if target.Low < p.stated+minPartGrowth {
		p.wantedSince = time.Time{}
		return KeepPart{}
	}
	if p.wantedSince.IsZero() {
		p.wantedSince = now
	}
	claim := min(target.Low, p.stated+WholePart-sumStated(members))
	isWhole := claim+minPartGrowth > target.Low
	if !isWhole && now.Sub(p.wantedSince) < partialClaimDelay || claim < p.stated+minPartGrowth {
		return KeepPart{}
	}
	p.wantedSince = time.Time{}
	return StatePart{
		Part: claim,
	}
}
