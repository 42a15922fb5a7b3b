package steer

import (
	"cmp"
	"slices"
	"time"

	"trefoilline.example/trefoilline/table"
)

// Weights are the shares of a route's traffic by region, in the order of the
// region names. Those that this package computes add up to 1, or are all
// zero.
type Weights []table.Weight

// TableWeights returns the weights that the table gives the route at the time
// now, without the regions that are being drained. If all regions are being
// drained, it returns the route's own weights, because a drain must not stop
// a route.
func TableWeights(route table.Route, drains []table.Drain, now time.Time) Weights {
	all := slices.Clone(Weights(route.Weights))
	kept := all.zeroed(func(region string) bool {
		return isDrained(drains, region, now)
	})
	if kept.total() == 0 {
		return all.normalized()
	}
	return kept.normalized()
}

// isDrained reports whether the region is being drained at the time now.
func isDrained(drains []table.Drain, region string, now time.Time) bool {
	for _, d := range drains {
		if d.Region == region && !now.Before(d.Start) && now.Before(d.End) {
			return true
		}
	}
	return false
}

// Of returns the region's weight, or zero if it has none.
func (w Weights) Of(region string) float64 {
	for _, x := range w {
		if x.Region == region {
			return x.Weight
		}
	}
	return 0
}

// Without returns the weights without the region; its share is divided among
// the others by weight.
func (w Weights) Without(region string) Weights {
	return w.zeroed(func(name string) bool {
		return name == region
	}).normalized()
}

// Equal reports whether both give each region the same share, apart from
// rounding errors.
func (w Weights) Equal(other Weights) bool {
	return weightDistance(w, other) < weightEpsilon
}

// weightEpsilon is the difference from which weights count as different.
const weightEpsilon = 1e-9

// weightDistance returns the share of the traffic that the weights distribute
// differently.
func weightDistance(a, b Weights) float64 {
	sum := 0.0
	for _, region := range regionNames(a, b) {
		sum += max(0, a.Of(region)-b.Of(region))
	}
	return sum
}

// regionNames returns the names of all regions in a or b, sorted.
func regionNames(a, b Weights) []string {
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

// zeroed returns the weights with those of the dropped regions set to zero.
// It does not normalize them.
func (w Weights) zeroed(drop func(region string) bool) Weights {
	result := make(Weights, 0, len(w))
	for _, x := range w {
		if drop(x.Region) {
			x.Weight = 0
		}
		result = append(result, x)
	}
	return result
}

// addScaled adds the other weights times the factor. A factor of zero or less
// is replaced by weightEpsilon, so that weights of routes without known
// traffic still count.
func (w Weights) addScaled(other Weights, factor float64) Weights {
	factor = max(factor, weightEpsilon)
	sum := make(Weights, 0, len(w)+len(other))
	for _, region := range regionNames(w, other) {
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

// normalized returns the weights in the order of the region names, divided by
// their sum. If all are zero they stay zero.
func (w Weights) normalized() Weights {
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
