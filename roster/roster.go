/*
Package roster is what an entry host knows of the other entry hosts: who is there,
who takes callers, and what each last said of itself. Hosts find each other by
records in the platform's store and then send each other beats. The store tells who
may be there; only beats tell who is.

# Usage

	known := &roster.Roster{
		Self: "accra-1",
	}
	known.SetRecords(records)
	known.Receive(beat)
	for _, host := range known.Live() {
		// host answers.
	}

Each host sends a beat to every other, so the messages grow with the square of the
hosts; docs/CAPACITY.md tells up to where that holds.
*/
package roster

import (
	"cmp"
	"net/netip"
	"slices"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
	"trefoilline.example/trefoilline/suspect"
)

// HeartbeatInterval is how often a host sends a beat to each other.
const HeartbeatInterval = 500 * time.Millisecond

// LivenessTimeout is how long a host counts as live after its last beat.
const LivenessTimeout = 4 * HeartbeatInterval

// RetentionTime is how long what a host last said of itself is kept after its last
// beat: it may be cut off from here and serve on.
const RetentionTime = 20 * time.Second

// HostRecord is an entry host's record in the store.
type HostRecord struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// CallerAddress is the address for callers.
	CallerAddress netip.AddrPort `json:"entry"`
	// PeerAddress is the address for other hosts.
	PeerAddress netip.AddrPort `json:"peers"`
}

// Heartbeat is what a host says of itself to the others.
type Heartbeat struct {
	HostRecord
	// Incarnation tells starts of a host apart.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each beat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Ready tells that the host takes callers.
	Ready bool `json:"ready"`
	// Leaving tells that the host is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// ConfigurationVersion is the configuration in force on the host.
	ConfigurationVersion routing.Version `json:"version"`
	// StoreVersions is the version of the last change of the store that the host knows, by
	// prefix.
	StoreVersions map[string]objectstore.Version `json:"known,omitempty"`
	// Partial tells that the rest is left out, and stands as it was last told.
	Partial bool `json:"brief,omitempty"`
	// TeamDemand is what the host is asked for by each team.
	TeamDemand quota.Demand `json:"asked,omitempty"`
	// TeamShares is the host's part of each team's rate.
	TeamShares quota.Shares `json:"parts,omitempty"`
	// RouteDemand is what the host is asked for on each route and may be served
	// anywhere, in requests per second.
	RouteDemand map[string]float64 `json:"demand,omitempty"`
	// WarmSlotTimes is how long a slot is taken by a request for a warm object, by route, as
	// the host measures it.
	WarmSlotTimes map[string]time.Duration `json:"works,omitempty"`
	// Utilization is the load of the backend servers of the host's region relative to
	// their slots, by service.
	Utilization map[string]float64 `json:"crowding,omitempty"`
	// RemoteShares is the share of the region's load that has its places elsewhere, by
	// service.
	RemoteShares placement.RemoteShares `json:"away,omitempty"`
	// CrashReports are what the host learned lately of requests that backend servers die
	// of.
	CrashReports []suspect.Report `json:"losses,omitempty"`
}

// Roster knows the other hosts. It is safe for concurrent use and must not be
// copied.
type Roster struct {
	// Self is the name of this host, which is not in the roster.
	Self string
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu      sync.Mutex
	records []HostRecord
	heard   map[string]heard
	// ways is the shortest time there and back, by the address for other hosts.
	ways map[netip.AddrPort]time.Duration
}

type heard struct {
	beat Heartbeat
	at   time.Time
}

// SetRecords takes the records of the store.
func (r *Roster) SetRecords(records []HostRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = slices.DeleteFunc(slices.Clone(records), func(h HostRecord) bool { return h.Name == r.Self })
}

// Receive takes a beat, and reports false if a later one is known.
func (r *Roster) Receive(b Heartbeat) bool {
	if b.Name == r.Self || b.Name == "" {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	last, isKnown := r.heard[b.Name]
	if isKnown && last.beat.Incarnation == b.Incarnation && last.beat.Sequence >= b.Sequence {
		return false
	}
	if r.heard == nil {
		r.heard = make(map[string]heard)
	}
	if b.Partial {
		b.complete(last.beat)
	}
	r.heard[b.Name] = heard{
		beat: b,
		at:   r.now(),
	}
	return true
}

// ToPartial returns the beat without what grows with teams and routes.
func (b Heartbeat) ToPartial() Heartbeat {
	b.Partial = true
	b.TeamDemand, b.TeamShares, b.RouteDemand, b.WarmSlotTimes, b.Utilization, b.RemoteShares = nil, nil, nil, nil, nil, nil
	return b
}

// complete takes what a brief beat leaves out from an earlier one.
func (b *Heartbeat) complete(earlier Heartbeat) {
	b.TeamDemand, b.TeamShares, b.RouteDemand = earlier.TeamDemand, earlier.TeamShares, earlier.RouteDemand
	b.WarmSlotTimes, b.Utilization, b.RemoteShares = earlier.WarmSlotTimes, earlier.Utilization, earlier.RemoteShares
}

// LivePeers returns the last beats of the hosts that are there, by name.
func (r *Roster) LivePeers() []Heartbeat {
	return r.heardWithin(LivenessTimeout)
}

// RecentPeers returns the last beats of all hosts that may be there, by name.
func (r *Roster) RecentPeers() []Heartbeat {
	return r.heardWithin(RetentionTime)
}

func (r *Roster) heardWithin(span time.Duration) []Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var beats []Heartbeat
	for _, h := range r.heard {
		if now.Sub(h.at) <= span {
			beats = append(beats, h.beat)
		}
	}
	slices.SortFunc(beats, func(a, b Heartbeat) int { return cmp.Compare(a.Name, b.Name) })
	return beats
}

// SilentPeers returns the hosts that have a record and were never heard, or not for
// long.
func (r *Roster) SilentPeers() []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var unheard []HostRecord
	for _, h := range r.records {
		last, isKnown := r.heard[h.Name]
		if !isKnown || now.Sub(last.at) > RetentionTime {
			unheard = append(unheard, h)
		}
	}
	return unheard
}

// HeartbeatTargets returns the hosts that beats go to: all that have a record or were heard.
func (r *Roster) HeartbeatTargets() []HostRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := slices.Clone(r.records)
	now := r.now()
	for _, h := range r.heard {
		isListed := slices.ContainsFunc(hosts, func(o HostRecord) bool { return o.PeerAddress == h.beat.PeerAddress })
		if now.Sub(h.at) <= RetentionTime && !isListed {
			hosts = append(hosts, h.beat.HostRecord)
		}
	}
	return hosts
}

// RecordRoundTrip notes how long a beat took there and back.
func (r *Roster) RecordRoundTrip(address netip.AddrPort, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ways == nil {
		r.ways = make(map[netip.AddrPort]time.Duration)
	}
	if known, isKnown := r.ways[address]; !isKnown || took < known {
		r.ways[address] = took
	}
}

// RoundTripToNearestRegion returns the time there and back to the nearest other region than the
// given one, zero if that is not known.
func (r *Roster) RoundTripToNearestRegion(region string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nearest time.Duration
	for _, h := range r.heard {
		way, isKnown := r.ways[h.beat.PeerAddress]
		if h.beat.Region == region || !isKnown {
			continue
		}
		if nearest == 0 || way < nearest {
			nearest = way
		}
	}
	return nearest
}

func (r *Roster) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock()
}
