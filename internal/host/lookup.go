package host

import (
	"net/netip"
	"slices"
	"time"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/platform"
)

// lookUp answers a lookup, with which a caller asks where it can reach entry hosts. It
// returns the addresses of the ready hosts of the caller's region, or of all ready hosts if
// that region has none, and the TTL of the response. Hosts that reach no backend server are left
// out, unless all are such hosts, and so are small ones while large ones have room (see
// [membership.CallerTiers]).
func (h *host) lookUp(query platform.LookupRequest) ([]netip.AddrPort, time.Duration) {
	hosts := h.roster.LivePeers()
	if h.isReady() {
		hosts = append(hosts, membership.Heartbeat{
			HostRecord: h.record(),
			Ready:      true,
			CutOff:     h.pool.IsCutOff(),
		})
	}
	if isUsable := func(hb membership.Heartbeat) bool { return hb.Ready && !hb.CutOff }; slices.ContainsFunc(hosts, isUsable) {
		hosts = slices.DeleteFunc(hosts, func(hb membership.Heartbeat) bool { return !isUsable(hb) })
	}
	var sameRegion []membership.HostRecord
	var otherRegions []netip.AddrPort
	for _, candidate := range hosts {
		switch {
		case !candidate.Ready:
		case candidate.Region == query.Region:
			sameRegion = append(sameRegion, candidate.HostRecord)
		default:
			otherRegions = append(otherRegions, candidate.CallerAddress)
		}
	}
	if len(sameRegion) > 0 {
		return h.selectCallerHosts(query.Region, sameRegion), h.lookupTTL()
	}
	return otherRegions, h.lookupTTL()
}

// ttlFraction is the fraction of the longest allowed TTL that lookup responses get, so that
// callers stop using a failed host sooner.
const ttlFraction = 0.4

// ttlOverrun is the multiple of its TTL for which some callers use a lookup response.
const ttlOverrun = 3

// minTTL keeps callers from sending lookups all the time if the drain timeout is short.
const minTTL = 500 * time.Millisecond

// lookupTTL returns the TTL of the lookup responses of this host.
func (h *host) lookupTTL() time.Duration {
	maxTTL := time.Duration(h.settings().MaxLookupTTLSeconds * float64(time.Second))
	return LookupTTL(maxTTL, h.settings().drainTimeout()-h.settings().shutdownMargin())
}

// LookupTTL returns the TTL of lookup responses, which is how long callers may use them. The
// TTL is at most maxTTL. The drainTime is how long a host still serves after it was told to
// stop. All responses that name the host expire within drainTime, also for callers that use a
// response for three times its TTL. Otherwise a caller could open a connection while the host
// stops, and the connection would be cut. If drainTime is too short for that, the TTL is
// 500 ms, or maxTTL if that is shorter.
func LookupTTL(maxTTL, drainTime time.Duration) time.Duration {
	// The other hosts learn that a host drains from its next heartbeat. Until then they
	// still name it.
	noticeDelay := membership.HeartbeatInterval
	drainLimit := (drainTime - noticeDelay) / ttlOverrun
	ttl := min(time.Duration(ttlFraction*float64(maxTTL)), drainLimit)
	return min(max(ttl, minTTL), maxTTL)
}
