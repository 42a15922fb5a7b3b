package steer

import "slices"

// MaxMinFairRate returns the level at which the demands add up to the
// capacity if each is cut off at the level times its weight (weighted max-min
// fairness). If the capacity suffices for all, it returns the lowest level
// that cuts off none. The result is in requests per second per weight. A
// weight of zero or less counts as 1.
func MaxMinFairRate(demands []TeamDemand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b TeamDemand) int {
		if a.satisfiedLevel() < b.satisfiedLevel() {
			return -1
		}
		return 1
	})
	remainingWeight := 0.0
	for _, d := range sorted {
		remainingWeight += d.effectiveWeight()
	}
	level := 0.0
	for _, d := range sorted {
		if (d.satisfiedLevel()-level)*remainingWeight > capacity {
			return level + max(0, capacity)/remainingWeight
		}
		capacity -= (d.satisfiedLevel() - level) * remainingWeight
		level = d.satisfiedLevel()
		remainingWeight -= d.effectiveWeight()
	}
	return level
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

// satisfiedLevel returns the level from which the demand is met in full.
func (d TeamDemand) satisfiedLevel() float64 {
	return d.Rate / d.effectiveWeight()
}
