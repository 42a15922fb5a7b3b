package steer

import (
	"math"
	"slices"
)

// pair is a direction between two regions.
type pair struct {
	from string
	to   string
}

// movedParts returns the part of the traffic that goes from one region to
// another when the weights change from a to b.
func movedParts(a, b Weights) map[pair]float64 {
	parts := make(map[pair]float64)
	names := regions(a, b)
	for _, from := range names {
		for _, to := range names {
			if from == to {
				continue
			}
			if part := movedPart(a, b, from, to, names); part > weightEpsilon {
				parts[pair{from, to}] = part
			}
		}
	}
	return parts
}

// movedPart returns the probability that a point is placed in one region by a
// and in the other by b.
//
// PickRegion is a race: each region draws an exponential time, and the least of time
// over weight wins. With s and t as the winning values under a and b, the
// density of both is integrated over s; what is left is an integral over r =
// t/s of one over the square of a function that is linear between the points
// a/b of the regions.
func movedPart(a, b Weights, from, to string, names []string) float64 {
	low := a.Of(to) / b.Of(to)
	high := ratio(a, b, from)
	if a.Of(from) <= 0 || b.Of(to) <= 0 || low >= high {
		return 0
	}
	cuts := []float64{low, high}
	for _, name := range names {
		if cut := ratio(a, b, name); cut > low && cut < high {
			cuts = append(cuts, cut)
		}
	}
	slices.Sort(cuts)
	sum := 0.0
	for i := range len(cuts) - 1 {
		sum += segment(a, b, from, to, names, cuts[i], cuts[i+1])
	}
	return a.Of(from) * b.Of(to) * sum
}

// segment integrates 1/(A+Br)² between two cuts.
func segment(a, b Weights, from, to string, names []string, low, high float64) float64 {
	middle := low + 1
	if !math.IsInf(high, 1) {
		middle = (low + high) / 2
	}
	constant, slope := a.Of(from), b.Of(to)
	for _, name := range names {
		switch {
		case name == from || name == to:
		case a.Of(name) > b.Of(name)*middle:
			constant += a.Of(name)
		default:
			slope += b.Of(name)
		}
	}
	return (1/(constant+slope*low) - 1/(constant+slope*high)) / slope
}

// ratio returns a over b for the region, infinite if b is zero.
func ratio(a, b Weights, name string) float64 {
	if b.Of(name) <= 0 {
		return math.Inf(1)
	}
	return a.Of(name) / b.Of(name)
}
