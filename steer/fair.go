package steer

import "slices"

// MaxMinFairRate divides the capacity, in requests per second, among the
// demands by weighted max-min fairness. It returns the rate per unit of
// weight at which the demands, each cut off at that rate times its weight,
// add up to the capacity. If the capacity suffices for all demands, it
// returns the lowest rate that cuts off none. A weight of zero or less counts
// as 1.
func MaxMinFairRate(demands []TeamDemand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b TeamDemand) int {
		if a.saturationRate() < b.saturationRate() {
			return -1
		}
		return 1
	})
	remainingWeight := 0.0
	for _, d := range sorted {
		remainingWeight += d.effectiveWeight()
	}
	fairRate := 0.0
	for _, d := range sorted {
		if (d.saturationRate()-fairRate)*remainingWeight > capacity {
			return fairRate + max(0, capacity)/remainingWeight
		}
		capacity -= (d.saturationRate() - fairRate) * remainingWeight
		fairRate = d.saturationRate()
		remainingWeight -= d.effectiveWeight()
	}
	return fairRate
}

// TeamDemand is a team's demand in requests per second and its weight.
type TeamDemand struct {
	Rate   float64
	Weight float64
}

// effectiveWeight returns the weight, or 1 if it is not above zero.
func (d TeamDemand) effectiveWeight() float64 {
	if d.Weight > 0 {
		return d.Weight
	}
	return 1
}

// saturationRate returns the rate per unit of weight from which the demand is
// met in full.
func (d TeamDemand) saturationRate() float64 {
	return d.Rate / d.effectiveWeight()
}
