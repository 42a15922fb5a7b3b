package host

import (
	"net/netip"
	"time"

	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/roster"
)

// lookUp returns the entry addresses for a caller: ready hosts of its region, or
// all if it has none.
func (h *host) lookUp(question platform.LookUpRequest) ([]netip.AddrPort, time.Duration) {
	ready := h.roster.LivePeers()
	if h.isReady() {
		ready = append(ready, roster.Heartbeat{
			HostRecord: h.record(),
			Ready:      true,
		})
	}
	var near, far []netip.AddrPort
	for _, b := range ready {
		switch {
		case !b.Ready:
		case b.Region == question.Region:
			near = append(near, b.CallerAddress)
		default:
			far = append(far, b.CallerAddress)
		}
	}
	if len(near) > 0 {
		return near, h.validity()
	}
	return far, h.validity()
}

// lookUpPart is the part of the longest validity that look-ups use: a host that
// is lost is named for less long.
const lookUpPart = 0.4

// Some callers use an answer of a look-up so many times as long as they may.
const heldTimes = 3

// shortestValidity keeps callers from asking all the time where hosts stop fast.
const shortestValidity = 500 * time.Millisecond

// validity is how long callers may use an answer of a look-up.
func (h *host) validity() time.Duration {
	longest := time.Duration(h.settings().MaxLookUpTTLSeconds * float64(time.Second))
	return LookUpTTL(longest, h.settings().grace()-leaveMargin)
}

// LookUpTTL returns how long callers may use an answer of a look-up, from the longest
// that is allowed and the time for which a host that was told to stop still answers.
// Answers that name the host have run out by then, also with callers that use them
// too long: a connection that is opened as the host stops is cut.
func LookUpTTL(longest, stays time.Duration) time.Duration {
	untilToldOf := roster.HeartbeatInterval
	runsOut := (stays - untilToldOf) / heldTimes
	validity := min(time.Duration(lookUpPart*float64(longest)), runsOut)
	return min(max(validity, shortestValidity), longest)
}
