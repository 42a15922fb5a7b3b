/*
Package membership tracks the other entry hosts: which hosts exist, which ones accept callers,
and the last state that each reported. It is not on the path of a request. An entry
host uses it to divide team rates, to select backend servers, to answer callers that
look up the addresses of entry hosts, and to choose the host that reads the platform's store.

Hosts find each other through records in the store, and then send each other heartbeats. A
record says that a host may exist; only heartbeats show that it is live.

# Usage

	peers := &membership.Roster{
		Self: "accra-1",
	}
	peers.SetRecords(records)
	peers.Receive(heartbeat)
	for _, host := range peers.LivePeers() {
		// host is live.
	}

Each host sends heartbeats to every other, so the number of messages grows with the square
of the number of hosts. See docs/CAPACITY.md for the number of hosts up to which that
works.
*/
package membership

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/crashdetect"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// HeartbeatInterval is how often a host sends a heartbeat to every other host.
const HeartbeatInterval = 500 * time.Millisecond

// LivenessTimeout is how long a host counts as live after its last heartbeat.
const LivenessTimeout = 4 * HeartbeatInterval

// RetentionTime is how long a host's last reported state is kept after its last heartbeat.
// It is longer than [LivenessTimeout] because a host may have lost contact with this one
// and still serve callers.
const RetentionTime = 20 * time.Second

// HostRecord is the record of an entry host in the platform's store.
type HostRecord struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerAddress is the address on which the host accepts callers.
	CallerAddress netip.AddrPort `json:"entry"`
	// PeerAddress is the address on which the host accepts other entry hosts.
	PeerAddress netip.AddrPort `json:"peers"`
}

// Heartbeat is the state that a host reports to the other hosts.
type Heartbeat struct {
	HostRecord
	// Incarnation identifies one run of the host. It differs after each restart but
	// has no order: it comes from the clock, which may be set back.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each heartbeat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Ready is true while the host accepts callers.
	Ready bool `json:"ready"`
	// Draining is true when the host is about to stop.
	Draining bool `json:"leaving,omitempty"`
	// ConfigurationVersion is the version of the configuration in force on the host.
	ConfigurationVersion routing.Version `json:"version"`
	// StoreVersions holds, by prefix of the store, the version of the latest change that
	// the host knows.
	StoreVersions map[string]objectstore.Version `json:"known,omitempty"`
	// Partial is true if the heartbeat omits the fields that [Heartbeat.ToPartial] clears.
	// Their last reported values remain valid.
	Partial bool `json:"brief,omitempty"`
	// TeamDemand is the rate of requests that the host receives, by team.
	TeamDemand quota.Demand `json:"asked,omitempty"`
	// TeamShares is the host's fraction of each team's rate.
	TeamShares quota.Shares `json:"parts,omitempty"`
	// RouteDemand is the rate of the requests that the host receives and that any
	// region may serve, by route, in requests per second.
	RouteDemand map[string]float64 `json:"demand,omitempty"`
	// CachedSlotTimes is how long a request occupies a slot of a backend server that has
	// its affinity key cached, by route, as measured by the host.
	CachedSlotTimes map[string]time.Duration `json:"works,omitempty"`
	// Utilization is the load of the backend servers in the host's region relative to
	// their slots, by service.
	Utilization map[string]float64 `json:"crowding,omitempty"`
	// RemoteShares is the fraction of the region's load that other regions are to
	// serve, by service.
	RemoteShares placement.RemoteShares `json:"away,omitempty"`
	// CrashReports holds recent reports of requests that crash backend servers.
	CrashReports []crashdetect.Report `json:"losses,omitempty"`
}

// Roster holds the records and the last heartbeats of the other hosts. The zero value is
// ready once Self is set. It is safe for concurrent use and must not be copied.
type Roster struct {
	// Self is the name of this host. Its records and heartbeats are ignored.
	Self string
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time

	mu      sync.Mutex
	records []HostRecord
	// received holds the last heartbeat of each host, by name.
	received map[string]receivedHeartbeat
	// roundTrips holds the shortest round-trip time by peer address.
	roundTrips map[netip.AddrPort]time.Duration
}

type receivedHeartbeat struct {
	heartbeat Heartbeat
	at        time.Time
}

// SetRecords replaces the records by those of the store.
func (r *Roster) SetRecords(records []HostRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = slices.DeleteFunc(slices.Clone(records), func(h HostRecord) bool { return h.Name == r.Self })
}

// Receive stores a heartbeat of another host. It returns false and ignores the heartbeat if
// the same or a later one of its incarnation is known, or if it is this host's own or has
// no name.
func (r *Roster) Receive(hb Heartbeat) bool {
	if hb.Name == r.Self || hb.Name == "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, isKnown := r.received[hb.Name]
	if isKnown && last.heartbeat.Incarnation == hb.Incarnation && last.heartbeat.Sequence >= hb.Sequence {
		return false
	}
	if r.received == nil {
		r.received = make(map[string]receivedHeartbeat)
	}
	if hb.Partial {
		hb.fillFrom(last.heartbeat)
	}
	r.received[hb.Name] = receivedHeartbeat{
		heartbeat: hb,
		at:        r.now(),
	}
	return true
}

// ToPartial returns a copy of the heartbeat without the fields whose size grows with
// the number of teams, routes and services.
func (hb Heartbeat) ToPartial() Heartbeat {
	hb.Partial = true
	hb.TeamDemand, hb.TeamShares, hb.RouteDemand, hb.CachedSlotTimes, hb.Utilization, hb.RemoteShares = nil, nil, nil, nil, nil, nil
	return hb
}

// fillFrom copies the fields that a partial heartbeat omits from an earlier heartbeat.
func (hb *Heartbeat) fillFrom(earlier Heartbeat) {
	hb.TeamDemand, hb.TeamShares, hb.RouteDemand = earlier.TeamDemand, earlier.TeamShares, earlier.RouteDemand
	hb.CachedSlotTimes, hb.Utilization, hb.RemoteShares = earlier.CachedSlotTimes, earlier.Utilization, earlier.RemoteShares
}

// LivePeers returns the last heartbeats of the live hosts, sorted by name.
func (r *Roster) LivePeers() []Heartbeat {
	return r.receivedWithin(LivenessTimeout)
}

// RecentPeers returns the last heartbeats of the hosts heard from within [RetentionTime], sorted
// by name. They may have failed, or have lost contact with this host.
func (r *Roster) RecentPeers() []Heartbeat {
	return r.receivedWithin(RetentionTime)
}

func (r *Roster) receivedWithin(age time.Duration) []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var heartbeats []Heartbeat
	for _, last := range r.received {
		if now.Sub(last.at) <= age {
			heartbeats = append(heartbeats, last.heartbeat)
		}
	}
	slices.SortFunc(heartbeats, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return heartbeats
}

// SilentPeers returns the hosts that have a record but from which no heartbeat was received
// within [RetentionTime].
func (r *Roster) SilentPeers() []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var silent []HostRecord
	for _, h := range r.records {
		last, isKnown := r.received[h.Name]
		if !isKnown || now.Sub(last.at) > RetentionTime {
			silent = append(silent, h)
		}
	}
	return silent
}

// HeartbeatTargets returns the hosts to send heartbeats to: those with a record, and
// those without one that were heard from within [RetentionTime].
func (r *Roster) HeartbeatTargets() []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := slices.Clone(r.records)
	now := r.now()
	for _, last := range r.received {
		isListed := slices.ContainsFunc(hosts, func(h HostRecord) bool { return h.PeerAddress == last.heartbeat.PeerAddress })
		if now.Sub(last.at) <= RetentionTime && !isListed {
			hosts = append(hosts, last.heartbeat.HostRecord)
		}
	}
	return hosts
}

// RecordRoundTrip records the time from sending a heartbeat to an address until its
// response. Only the shortest time ever recorded for the address is kept.
func (r *Roster) RecordRoundTrip(address netip.AddrPort, roundTrip time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.roundTrips == nil {
		r.roundTrips = make(map[netip.AddrPort]time.Duration)
	}
	if shortest, isKnown := r.roundTrips[address]; !isKnown || roundTrip < shortest {
		r.roundTrips[address] = roundTrip
	}
}

// RoundTripToNearestRegion returns the shortest round-trip time to a host outside this host's
// own region, or zero if none is known.
func (r *Roster) RoundTripToNearestRegion(ownRegion string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var shortest time.Duration
	for _, last := range r.received {
		roundTrip, isKnown := r.roundTrips[last.heartbeat.PeerAddress]
		if last.heartbeat.Region == ownRegion || !isKnown {
			continue
		}
		if shortest == 0 || roundTrip < shortest {
			shortest = roundTrip
		}
	}
	return shortest
}

func (r *Roster) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock()
}
