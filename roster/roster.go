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

// BeatPeriod is how often a host sends a beat to each other.
const BeatPeriod = 500 * time.Millisecond

// LiveFor is how long a host counts as live after its last beat.
const LiveFor = 4 * BeatPeriod

// RememberFor is how long what a host last said of itself is kept after its last
// beat: it may be cut off from here and serve on.
const RememberFor = 20 * time.Second

// Host is an entry host's record in the store.
type Host struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Entry is the address for callers.
	Entry netip.AddrPort `json:"entry"`
	// Peers is the address for other hosts.
	Peers netip.AddrPort `json:"peers"`
}

// Beat is what a host says of itself to the others.
type Beat struct {
	Host
	// Incarnation tells starts of a host apart.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows with each beat of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Ready tells that the host takes callers.
	Ready bool `json:"ready"`
	// Leaving tells that the host is about to stop.
	Leaving bool `json:"leaving,omitempty"`
	// Version is the configuration in force on the host.
	Version routing.Version `json:"version"`
	// Known is the version of the last change of the store that the host knows, by
	// prefix.
	Known map[string]objectstore.Version `json:"known,omitempty"`
	// Brief tells that the rest is left out, and stands as it was last told.
	Brief bool `json:"brief,omitempty"`
	// Asked is what the host is asked for by each team.
	Asked quota.Asked `json:"asked,omitempty"`
	// Parts is the host's part of each team's rate.
	Parts quota.Parts `json:"parts,omitempty"`
	// Demand is what the host is asked for on each route and may be served
	// anywhere, in requests per second.
	Demand map[string]float64 `json:"demand,omitempty"`
	// Works is how long a slot is taken by a request for a warm object, by route, as
	// the host measures it.
	Works map[string]time.Duration `json:"works,omitempty"`
	// Crowding is the load of the backend servers of the host's region relative to
	// their slots, by service.
	Crowding map[string]float64 `json:"crowding,omitempty"`
	// Away is the share of the region's load that has its places elsewhere, by
	// service.
	Away placement.RemoteShares `json:"away,omitempty"`
	// Losses are what the host learned lately of requests that backend servers die
	// of.
	Losses []suspect.Loss `json:"losses,omitempty"`
}

// Roster knows the other hosts. It is safe for concurrent use and must not be
// copied.
type Roster struct {
	// Self is the name of this host, which is not in the roster.
	Self string
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu      sync.Mutex
	records []Host
	heard   map[string]heard
	// ways is the shortest time there and back, by the address for other hosts.
	ways map[netip.AddrPort]time.Duration
}

type heard struct {
	beat Beat
	at   time.Time
}

// SetRecords takes the records of the store.
func (r *Roster) SetRecords(records []Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = slices.DeleteFunc(slices.Clone(records), func(h Host) bool { return h.Name == r.Self })
}

// Receive takes a beat, and reports false if a later one is known.
func (r *Roster) Receive(b Beat) bool {
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
	if b.Brief {
		b.complete(last.beat)
	}
	r.heard[b.Name] = heard{
		beat: b,
		at:   r.now(),
	}
	return true
}

// InBrief returns the beat without what grows with teams and routes.
func (b Beat) InBrief() Beat {
	b.Brief = true
	b.Asked, b.Parts, b.Demand, b.Works, b.Crowding, b.Away = nil, nil, nil, nil, nil, nil
	return b
}

// complete takes what a brief beat leaves out from an earlier one.
func (b *Beat) complete(earlier Beat) {
	b.Asked, b.Parts, b.Demand = earlier.Asked, earlier.Parts, earlier.Demand
	b.Works, b.Crowding, b.Away = earlier.Works, earlier.Crowding, earlier.Away
}

// Live returns the last beats of the hosts that are there, by name.
func (r *Roster) Live() []Beat {
	return r.heardWithin(LiveFor)
}

// Remembered returns the last beats of all hosts that may be there, by name.
func (r *Roster) Remembered() []Beat {
	return r.heardWithin(RememberFor)
}

func (r *Roster) heardWithin(span time.Duration) []Beat {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var beats []Beat
	for _, h := range r.heard {
		if now.Sub(h.at) <= span {
			beats = append(beats, h.beat)
		}
	}
	slices.SortFunc(beats, func(a, b Beat) int { return cmp.Compare(a.Name, b.Name) })
	return beats
}

// Unheard returns the hosts that have a record and were never heard, or not for
// long.
func (r *Roster) Unheard() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var unheard []Host
	for _, h := range r.records {
		last, isKnown := r.heard[h.Name]
		if !isKnown || now.Sub(last.at) > RememberFor {
			unheard = append(unheard, h)
		}
	}
	return unheard
}

// Others returns the hosts that beats go to: all that have a record or were heard.
func (r *Roster) Others() []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := slices.Clone(r.records)
	now := r.now()
	for _, h := range r.heard {
		isListed := slices.ContainsFunc(hosts, func(o Host) bool { return o.Peers == h.beat.Peers })
		if now.Sub(h.at) <= RememberFor && !isListed {
			hosts = append(hosts, h.beat.Host)
		}
	}
	return hosts
}

// Met notes how long a beat took there and back.
func (r *Roster) Met(address netip.AddrPort, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ways == nil {
		r.ways = make(map[netip.AddrPort]time.Duration)
	}
	if known, isKnown := r.ways[address]; !isKnown || took < known {
		r.ways[address] = took
	}
}

// RoundTrip returns the time there and back to the nearest other region than the
// given one, zero if that is not known.
func (r *Roster) RoundTrip(region string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var nearest time.Duration
	for _, h := range r.heard {
		way, isKnown := r.ways[h.beat.Peers]
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
