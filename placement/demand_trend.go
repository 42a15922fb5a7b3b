package placement

import (
	"math"
	"time"
)

// Parameters of [demandTrend].
const (
	demandTimeConstant = time.Second
	slopeTimeConstant  = 2 * time.Second
	// demandLead is how far demand is extrapolated: the 2 s over which rates are averaged, and
	// the time constant above.
	demandLead = 3 * time.Second
	// meanTimeConstant is that of the long-run mean. A wave with a period of 36 s changes the mean
	// by a fifth of its amplitude.
	meanTimeConstant = 30 * time.Second
	// maxExtrapolation bounds the extrapolated change relative to the level. A wave between
	// 0.45 and 1.55 of its mean with a period of 36 s changes by 0.29 of its mean in
	// demandLead.
	maxExtrapolation = 0.3
)

// demandTrend is the level and the slope of a region's demand for a service.
type demandTrend struct {
	level float64
	// slope is the change of the level per second.
	slope float64
	// mean is the long-run mean, over the time of observation while that is shorter than
	// meanTimeConstant.
	mean     float64
	observed time.Duration
	// age is the time since the last report.
	age time.Duration
}

// add returns the trend after another report.
func (t demandTrend) add(demand float64, elapsed time.Duration) demandTrend {
	seconds := elapsed.Seconds()
	if seconds <= 0 {
		return t
	}
	change := (1 - math.Exp(-seconds/demandTimeConstant.Seconds())) * (demand - t.level)
	t.slope += (1 - math.Exp(-seconds/slopeTimeConstant.Seconds())) * (change/seconds - t.slope)
	t.level += change
	t.observed = min(t.observed+elapsed, meanTimeConstant)
	t.mean += seconds / t.observed.Seconds() * (demand - t.mean)
	t.age = 0
	return t
}

// predicted returns the demand that is expected now, given that reports are late.
func (t demandTrend) predicted() float64 {
	limit := maxExtrapolation * t.level
	return max(0, t.level+clamp(t.slope*demandLead.Seconds(), -limit, limit))
}

// nextDemand returns the trends of the regions' demand after the reports. A region without a report
// keeps its level for a time, without a slope.
func nextDemand(trends map[string]demandTrend, in PlanInput, demandOf func(RegionReport) float64) map[string]demandTrend {
	next := make(map[string]demandTrend, len(in.Reports))
	for region, report := range in.Reports {
		trend, isKnown := trends[region]
		switch {
		case report.IsDemandKnown && isKnown:
			next[region] = trend.add(demandOf(report), in.Elapsed)
		case report.IsDemandKnown:
			next[region] = demandTrend{
				level: demandOf(report),
				mean:  demandOf(report),
			}
		case isKnown && trend.age < retainDemandTime:
			trend.slope = 0
			trend.age += in.Elapsed
			next[region] = trend
		}
	}
	return next
}
