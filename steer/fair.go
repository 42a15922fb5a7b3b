package steer

import "slices"

// MaxMinFairRate returns the level at which the demands, each cut off at the level
// times its weight, add up to the capacity (weighted max-min fairness). If all
// fits, it is the least level that cuts nothing off. A weight that is not
// above zero counts as 1.
func MaxMinFairRate(demands []TeamDemand, capacity float64) float64 {
	sorted := slices.Clone(demands)
	slices.SortFunc(sorted, func(a, b TeamDemand) int {
		if a.full() < b.full() {
			return -1
		}
		return 1
	})
	weights := 0.0
	for _, d := range sorted {
		weights += d.weight()
	}
	level := 0.0
	for _, d := range sorted {
		if (d.full()-level)*weights > capacity {
			return level + max(0, capacity)/weights
		}
		capacity -= (d.full() - level) * weights
		level = d.full()
		weights -= d.weight()
	}
	return level
}

// TeamDemand is what a team wants, in requests per second, and its weight.
type TeamDemand struct {
	Rate   float64
	Weight float64
}

func (d TeamDemand) weight() float64 {
	if d.Weight > 0 {
		return d.Weight
	}
	return 1
}

// full is the level that gives the demand all it wants.
func (d TeamDemand) full() float64 {
	return d.Rate / d.weight()
}
