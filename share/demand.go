package share

import (
	"math"
	"time"
)

const (
	// demandRise and demandFall are how fast the estimate follows the demand.
	demandRise = 500 * time.Millisecond
	demandFall = 10 * time.Second
	// demandRoom is how much more than the demand a host tries to hold.
	demandRoom = 1.4
	// reserveRoom is how much more than the demand a host keeps from lending.
	reserveRoom = 1.05
	// leastDemand is the part of a limit below which a host asks for nothing.
	leastDemand = 0.001
)

// demand estimates how much of a limit the callers of this host ask for.
type demand struct {
	// asked is in requests since the last update.
	asked float64
	// refused is in requests since the last update.
	refused float64
	// peak is the most slots in use since the last update.
	peak float64
	// estimate is in requests per second, or in slots.
	estimate float64
	updated  time.Duration
}

// update closes the interval since the last update.
func (d *demand) update(limit Limit, used float64, now time.Duration) {
	passed := now - d.updated
	if passed <= 0 {
		return
	}
	d.updated = now
	current := d.asked / passed.Seconds()
	if _, ok := limit.Kind.(Slots); ok {
		current = max(d.peak, used) + d.refused
	}
	if d.refused > 0 {
		d.estimate = max(d.estimate, current)
	}
	constant := demandFall
	if current > d.estimate {
		constant = demandRise
	}
	d.estimate += (current - d.estimate) * (1 - math.Exp(-passed.Seconds()/constant.Seconds()))
	if d.estimate < leastDemand*leastDemand {
		d.estimate = 0
	}
	d.asked = 0
	d.refused = 0
	d.peak = used
}

// needed is the part of the limit that the demand uses up.
func (d *demand) needed(limit Limit) float64 {
	return d.part(limit) * reserveRoom / demandRoom
}

// part is the part of the limit that the host tries to hold.
func (d *demand) part(limit Limit) float64 {
	whole := limit.perSecond()
	if _, ok := limit.Kind.(Slots); ok {
		whole = limit.size()
	}
	if whole <= 0 {
		return 0
	}
	part := min(1, d.estimate*demandRoom/whole)
	if part < leastDemand {
		return 0
	}
	// A part that holds less than one request can grant none.
	return min(1, max(part, 2/max(limit.size(), 1)))
}
