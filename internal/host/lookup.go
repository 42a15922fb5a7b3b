package host

import (
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/roster"
)

// lookUp returns the entry addresses that a caller may use and for how long: those of the
// ready hosts of its region, or of all ready hosts if its region has none.
func (h *host) lookUp(question platform.LookUp) ([]netip.AddrPort, time.Duration) {
	hosts := h.roster.LivePeers()
	if h.isReady() {
		hosts = append(hosts, roster.Heartbeat{
			Host:  h.record(),
			Ready: true,
		})
	}
	var sameRegion, otherRegions []netip.AddrPort
	for _, candidate := range hosts {
		switch {
		case !candidate.Ready:
		case candidate.Region == question.Region:
			sameRegion = append(sameRegion, candidate.CallerAddress)
		default:
			otherRegions = append(otherRegions, candidate.CallerAddress)
		}
	}
	if len(sameRegion) > 0 {
		return sameRegion, h.validity()
	}
	return otherRegions, h.validity()
}

// validityFraction is the fraction of the longest allowed validity that look-up answers
// get, so that callers stop using a failed host sooner.
const validityFraction = 0.4

// overuseFactor is how many times longer than allowed some callers use a look-up answer.
const overuseFactor = 3

// minValidity keeps callers from sending look-ups all the time where hosts have little
// time to stop.
const minValidity = 500 * time.Millisecond

// validity returns how long callers may use a look-up answer of this host.
func (h *host) validity() time.Duration {
	maxValidity := time.Duration(h.settings().MaxLookUpTTLSeconds * float64(time.Second))
	return LookUpTTL(maxValidity, h.settings().grace()-shutdownMargin)
}

// LookUpTTL returns how long callers may use a look-up answer. MaxValidity is the
// longest that is allowed, and drainTime is how long a host still serves after it was told
// to stop. All answers that name the host expire within drainTime, also for callers that
// use an answer up to three times as long as they may. Otherwise a caller could open a
// connection while the host stops, and the connection would be cut. The result is at least
// 500 ms, even if drainTime is too short for that, but never above maxValidity.
func LookUpTTL(maxValidity, drainTime time.Duration) time.Duration {
	noticeDelay := roster.HeartbeatInterval
	drainLimit := (drainTime - noticeDelay) / overuseFactor
	validity := min(time.Duration(validityFraction*float64(maxValidity)), drainLimit)
	return min(max(validity, minValidity), maxValidity)
}
