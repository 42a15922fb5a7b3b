package steer

import (
	"cmp"
	"slices"
	"time"

	"trefoilline.example/trefoilline/table"
)

// Weights are the parts of a route's traffic by region, in region order. Those
// made by this package add up to 1, or are all zero.
type Weights []table.Weight

// TableWeights returns the weights that the table asks for at the time: those
// of the route, without the regions that are being drained. If all are drained
// the route's own weights stand, because a drain may not stop a route.
func TableWeights(route table.Route, drains []table.Drain, now time.Time) Weights {
	all := slices.Clone(Weights(route.Weights))
	kept := all.without(func(region string) bool {
		return drained(drains, region, now)
	})
	if kept.total() == 0 {
		return all.normal()
	}
	return kept.normal()
}

// drained reports whether a drain of the region is on at the time.
func drained(drains []table.Drain, region string, now time.Time) bool {
	for _, d := range drains {
		if d.Region == region && !now.Before(d.Start) && now.Before(d.End) {
			return true
		}
	}
	return false
}

// Of returns the region's weight.
func (w Weights) Of(region string) float64 {
	for _, x := range w {
		if x.Region == region {
			return x.Weight
		}
	}
	return 0
}

// Without returns the weights with the region's part shared by the others.
func (w Weights) Without(region string) Weights {
	return w.without(func(name string) bool {
		return name == region
	}).normal()
}

// Equal reports whether both give each region the same part, but for rounding.
func (w Weights) Equal(other Weights) bool {
	return distance(w, other) < weightEpsilon
}

// weightEpsilon is the difference below which weights are the same.
const weightEpsilon = 1e-9

// distance is the part of the traffic that differs between the weights.
func distance(a, b Weights) float64 {
	sum := 0.0
	for _, region := range regions(a, b) {
		sum += max(0, a.Of(region)-b.Of(region))
	}
	return sum
}

// regions returns the names in either, in order.
func regions(a, b Weights) []string {
	names := make([]string, 0, len(a)+len(b))
	for _, x := range a {
		names = append(names, x.Region)
	}
	for _, x := range b {
		names = append(names, x.Region)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

func (w Weights) without(drop func(region string) bool) Weights {
	kept := make(Weights, 0, len(w))
	for _, x := range w {
		if drop(x.Region) {
			x.Weight = 0
		}
		kept = append(kept, x)
	}
	return kept
}

// plus adds the other weights, times the factor. A factor that is not above zero
// counts as little, so that weights without known traffic still show.
func (w Weights) plus(other Weights, factor float64) Weights {
	factor = max(factor, weightEpsilon)
	sum := make(Weights, 0, len(w)+len(other))
	for _, region := range regions(w, other) {
		sum = append(sum, table.Weight{
			Region: region,
			Weight: w.Of(region) + factor*other.Of(region),
		})
	}
	return sum
}

func (w Weights) total() float64 {
	sum := 0.0
	for _, x := range w {
		sum += x.Weight
	}
	return sum
}

// normal returns the weights in region order, with a sum of 1 unless all are
// zero.
func (w Weights) normal() Weights {
	result := slices.Clone(w)
	slices.SortFunc(result, func(a, b table.Weight) int {
		return cmp.Compare(a.Region, b.Region)
	})
	total := result.total()
	if total <= 0 {
		return result
	}
	for i := range result {
		result[i].Weight /= total
	}
	return result
}
