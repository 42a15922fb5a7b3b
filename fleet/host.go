package fleet

import (
	"cmp"
	"net/netip"
)

// Host names an entry host and where it is.
type Host struct {
	Name    string         `json:"name"`
	Region  string         `json:"region"`
	Zone    string         `json:"zone"`
	Address netip.AddrPort `json:"address"`
}

// State is what the fleet holds of a host. Of two states under the same
// incarnation and revision the later in this list wins.
type State int

// The states of a host.
const (
	// Alive hosts answer.
	Alive State = iota
	// Suspect hosts missed answers and have not refuted it yet.
	Suspect
	// Dead hosts did not refute the suspicion in time.
	Dead
	// Gone hosts are dead and no longer on the platform's list.
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

// MemberRecord is what is known of a host under one incarnation and revision.
type MemberRecord struct {
	Host
	// Incarnation is set by the host when it starts and grows with each start.
	// Zero stands for a host that is listed and was never heard of.
	Incarnation uint64 `json:"incarnation"`
	// Revision is raised by the host alone.
	Revision uint64 `json:"revision,omitempty"`
	State    State  `json:"state,omitempty"`
	// Leaving hosts still answer and take no new callers.
	Draining bool `json:"leaving,omitempty"`
}

// Supersedes tells whether the record replaces the other one.
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
