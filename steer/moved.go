package steer

import (
	"math"
	"slices"
)

// regionPair is the direction of a move: the region that a request leaves and
// the one that it moves to.
type regionPair struct {
	from string
	to   string
}

// movedShares returns the share of the traffic that moves in each direction
// when the weights change from a to b. Shares up to weightEpsilon are left
// out.
func movedShares(a, b Weights) map[regionPair]float64 {
	shares := make(map[regionPair]float64)
	names := regionNames(a, b)
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			if share := movedShare(a, b, from, to, names); share > weightEpsilon {
				shares[regionPair{from, to}] = share
			}
		}
	}
	return shares
}

// movedShare returns the probability that a request hash maps to fromRegion
// under weights a and to toRegion under weights b.
//
// The hash acts as an independent exponential random value for each region,
// and PickRegion picks the region with the least value over weight. With s
// and t as the winning quotients under a and b, the joint density is
// integrated over s. What is left is an integral over r = t/s of 1/(A+Br)².
// Here A is the weight in a of fromRegion and of the other regions whose
// ratio a/b is above r, and B is the weight in b of the remaining regions,
// with toRegion. So A and B change only at the ratios a/b.
func movedShare(a, b Weights, fromRegion, toRegion string, names []string) float64 {
	low := a.Of(toRegion) / b.Of(toRegion)
	high := weightRatio(a, b, fromRegion)
	if a.Of(fromRegion) <= 0 || b.Of(toRegion) <= 0 || low >= high {
		return 0
	}
	breakpoints := []float64{low, high}
	for _, name := range names {
		if breakpoint := weightRatio(a, b, name); breakpoint > low && breakpoint < high {
			breakpoints = append(breakpoints, breakpoint)
		}
	}
	slices.Sort(breakpoints)
	sum := 0.0
	for i := range len(breakpoints) - 1 {
		sum += integrateSegment(a, b, fromRegion, toRegion, names, breakpoints[i], breakpoints[i+1])
	}
	return a.Of(fromRegion) * b.Of(toRegion) * sum
}

// integrateSegment integrates 1/(A+Br)² from low to high, between which A
// (constant) and B (slope) do not change.
func integrateSegment(a, b Weights, fromRegion, toRegion string, names []string, low, high float64) float64 {
	middle := low + 1
	if !math.IsInf(high, 1) {
		middle = (low + high) / 2
	}
	constant, slope := a.Of(fromRegion), b.Of(toRegion)
	for _, name := range names {
		switch {
		case name == fromRegion || name == toRegion:
		case a.Of(name) > b.Of(name)*middle:
			constant += a.Of(name)
		default:
			slope += b.Of(name)
		}
	}
	return (1/(constant+slope*low) - 1/(constant+slope*high)) / slope
}

// weightRatio returns the region's weight in a over that in b, or infinity if
// the latter is zero.
func weightRatio(a, b Weights, name string) float64 {
	if b.Of(name) <= 0 {
		return math.Inf(1)
	}
	return a.Of(name) / b.Of(name)
}
