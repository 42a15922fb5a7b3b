package membership

import (
	"net/netip"
	"time"
)

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
// own region, measured by this host or, if it exchanges no messages with other regions, by a
// relay. It returns zero if none is known.
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
	if shortest > 0 {
		return shortest
	}
	for _, view := range r.relayViews {
		if view.roundTrip > 0 && (shortest == 0 || view.roundTrip < shortest) {
			shortest = view.roundTrip
		}
	}
	return shortest
}
