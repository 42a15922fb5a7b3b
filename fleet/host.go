package fleet

import (
	"cmp"
	"net/netip"
)

// Host is the name, location and address of an entry host.
type Host struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// State is the state of a host in its member record. Of two records with the
// same incarnation and revision, the one with the higher state wins.
type State int

// The states of a host, in ascending order.
const (
	// Alive is the state of a host that replies to polls.
	Alive State = iota
	// Suspect is the state of a host that has missed replies and has not refuted
	// the suspicion yet.
	Suspect
	// Dead is the state of a host that did not refute the suspicion in time.
	Dead
	// Removed is the state of a host that is presumed dead and is no longer on the
	// platform's list of machines.
	Removed
)

func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Removed:
		return "gone"
	}
	return "unknown"
}

// MemberRecord is the state of a host under one incarnation and revision. Hosts
// exchange these records.
type MemberRecord struct {
	Host
	// Incarnation is set by the host at its start and increases with each start.
	// Zero means that the host is on the platform's list of machines but no
	// message from it has been received yet.
	Incarnation uint64 `json:"incarnation"`
	// Revision is increased by the host itself, to refute or change its record.
	// Other hosts increase it only while the incarnation is zero.
	Revision uint64 `json:"revision,omitempty"`
	State    State  `json:"state,omitempty"`
	// Draining is true for a host that still replies but takes no new callers.
	Draining bool `json:"leaving,omitempty"`
}

// Supersedes reports whether the record is newer than the other one.
func (r MemberRecord) Supersedes(other MemberRecord) bool {
	return r.compare(other) > 0
}

func (r MemberRecord) compare(other MemberRecord) int {
	return cmp.Or(
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.Revision, other.Revision),
		cmp.Compare(r.State, other.State),
		compareBool(r.Draining, other.Draining),
	)
}

func compareBool(a, b bool) int {
	if a == b {
		return 0
	}
	if a {
		return 1
	}
	return -1
}
