package globallimit

import (
	"math"
	"time"
)

const (
	// demandRiseTime and demandFallTime are the time constants with which the
	// estimate follows rising and falling demand.
	demandRiseTime = 500 * time.Millisecond
	demandFallTime = 1500 * time.Millisecond
	// slotDemandFallTime is longer, because slots that move to another host
	// stay idle longer than tokens: a lent slot returns to its lender only
	// after the loan has ended and the longest request may have ended.
	slotDemandFallTime = 10 * time.Second
	// demandHeadroom is the multiple of its demand that a host tries to hold.
	demandHeadroom = 1.4
	// reserveHeadroom is the multiple of its demand that a host does not lend.
	reserveHeadroom = 1.05
	// minShare is the smallest share of a limit that a host requests.
	minShare = 0.001
)

// demandEstimator estimates how much of a limit the callers of this host
// request.
type demandEstimator struct {
	// requested counts requests since the last update.
	requested float64
	// rejected counts rejected requests since the last update.
	rejected float64
	// peakSlots is the largest number of slots in use since the last update.
	peakSlots float64
	// estimate is in requests per second, or in slots.
	estimate  float64
	updatedAt time.Duration
	// recent has the demand of the last two ticks, newest first.
	recent [2]float64
}

// update ends the current measurement interval and updates the estimate.
func (d *demandEstimator) update(limit Limit, slotsInUse float64, now time.Duration) {
	elapsed := now - d.updatedAt
	if elapsed <= 0 {
		return
	}
	d.updatedAt = now
	current := d.requested / elapsed.Seconds()
	if _, ok := limit.Kind.(Slots); ok {
		current = max(d.peakSlots, slotsInUse) + d.rejected
	}
	copy(d.recent[1:], d.recent[:])
	d.recent[0] = current
	if d.rejected > 0 {
		d.estimate = max(d.estimate, current)
	}
	timeConstant := demandFallTime
	if _, ok := limit.Kind.(Slots); ok {
		timeConstant = slotDemandFallTime
	}
	if current > d.estimate {
		timeConstant = demandRiseTime
	}
	d.estimate += (current - d.estimate) * (1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds()))
	// A falling estimate approaches zero without reaching it, so a negligible
	// one counts as zero.
	if d.estimate < minShare*minShare {
		d.estimate = 0
	}
	d.requested = 0
	d.rejected = 0
	d.peakSlots = slotsInUse
}

// reservedShare returns the share of the limit that the host keeps for its own
// demand. The desired share is at most 1, so a host keeps at most 1.05/1.4 =
// 0.75 of a limit.
func (d *demandEstimator) reservedShare(limit Limit) float64 {
	return d.desiredShare(limit) * reserveHeadroom / demandHeadroom
}

// desiredShare returns the share of the limit that the host tries to hold.
func (d *demandEstimator) desiredShare(limit Limit) float64 {
	total := limit.refillRate()
	if _, ok := limit.Kind.(Slots); ok {
		total = limit.capacity()
	}
	if total <= 0 {
		return 0
	}
	share := min(1, d.estimate*demandHeadroom/total)
	if share < minShare {
		return 0
	}
	// A share of less than one request can't grant any, so the host asks for at
	// least two requests.
	return min(1, max(share, 2/max(limit.capacity(), 1)))
}
