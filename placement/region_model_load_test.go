package placement_test

import (
	"math"
	"slices"
	"time"

	"trefoilline.example/trefoilline/placement"
)

// decidePlanned decides by the plan.
func decidePlanned(plan placement.RegionPlan, in placement.PlanInput) placement.RegionPlan {
	return plan.Next(in)
}

// decideReactive decides by measured utilization alone.
func decideReactive(plan placement.RegionPlan, in placement.PlanInput) placement.RegionPlan {
	shares := placement.RemoteShares{
		in.Service: plan.RemoteShare,
	}
	plan.RemoteShare = shares.NextShare(in.Service, in.Region, in.Utilization, in.Elapsed)
	return plan
}

// inTarget returns the fraction of the requests of all regions that were answered within their
// target.
func (m *regionModel) inTarget() float64 {
	sum := modelResult{}
	for _, region := range m.regions {
		sum.requests += region.result.requests
		sum.inTarget += region.result.inTarget
	}
	return sum.inTarget / sum.requests
}

func (m *regionModel) inTargetOf(region string) float64 {
	result := m.regions[region].result
	return result.inTarget / result.requests
}

// constant returns constant rates with the given utilization of all slots, equal in all regions.
func (m *regionModel) constant(utilization float64) func(string, time.Duration) float64 {
	mean := m.meanRate(utilization)
	return func(string, time.Duration) float64 { return mean }
}

// meanRate returns the requests per second of each region with which all requests occupy the given
// fraction of all slots.
func (m *regionModel) meanRate(utilization float64) float64 {
	total := 0.0
	for _, region := range m.regions {
		total += region.slots()
	}
	return utilization * total / float64(len(m.regions)) / modelSlotTime.Seconds()
}

// wave returns rates that vary between 0.45 and 1.55 of their mean with a period of 36 s, with
// the regions a third of a period apart, so that all requests occupy the given fraction of all
// slots.
func (m *regionModel) wave(utilization float64) func(string, time.Duration) float64 {
	const (
		amplitude = 0.55
		period    = 36.0
	)
	mean := m.meanRate(utilization)
	return func(region string, at time.Duration) float64 {
		phase := float64(slices.Index(m.names, region)) / float64(len(m.names))
		return mean * (1 + amplitude*math.Sin(2*math.Pi*(at.Seconds()/period+phase)))
	}
}
