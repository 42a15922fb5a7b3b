package host

import (
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/platform"
)

// lookUp answers a look-up, with which a caller asks where it can reach entry hosts. It
// returns the addresses of the ready hosts of the caller's region, or of all ready hosts if
// that region has none, and the TTL of the answer.
func (h *host) lookUp(query platform.LookupRequest) ([]netip.AddrPort, time.Duration) {
	hosts := h.roster.LivePeers()
	if h.isReady() {
		hosts = append(hosts, membership.Heartbeat{
			HostRecord: h.record(),
			Ready:      true,
		})
	}
	var sameRegion, otherRegions []netip.AddrPort
	for _, candidate := range hosts {
		switch {
		case !candidate.Ready:
		case candidate.Region == query.Region:
			sameRegion = append(sameRegion, candidate.CallerAddress)
		default:
			otherRegions = append(otherRegions, candidate.CallerAddress)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion, h.lookUpTTL()
	}
	return otherRegions, h.lookUpTTL()
}

// ttlFraction is the fraction of the longest allowed TTL that look-up answers get, so that
// callers stop using a failed host sooner.
const ttlFraction = 0.4

// ttlOverrun is the multiple of its TTL for which some callers use a look-up answer.
const ttlOverrun = 3

// minTTL keeps callers from sending look-ups all the time if the grace time is short.
const minTTL = 500 * time.Millisecond

// lookUpTTL returns the TTL of the look-up answers of this host.
func (h *host) lookUpTTL() time.Duration {
	maxTTL := time.Duration(h.settings().MaxLookupTTLSeconds * float64(time.Second))
	return LookupTTL(maxTTL, h.settings().grace()-shutdownMargin)
}

// LookupTTL returns the TTL of look-up answers, which is how long callers may use them. The
// TTL is at most maxTTL. The drainTime is how long a host still serves after it was told to
// stop. All answers that name the host expire within drainTime, also for callers that use an
// answer for three times its TTL. Otherwise a caller could open a connection while the host
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
