package host

import (
	"time"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/placement"
)

// maxShift returns the largest shift that the plans keep to, zero if there are none.
func (h *host) maxShift() float64 { return h.settings().PlannedShift(h.hostCount()) }

// PlannedShift returns the largest shift that the plans of a fleet of so many hosts keep to; zero if load is distributed by measured
// utilization alone. In a fleet without relays each host sends a large part of all requests, so what it measures is
// recent. There the plan knows less than the measurement: with 7 hosts and a region whose servers hold few of its
// keys, the demand by the time of cached keys is far below the load.
func (s Settings) PlannedShift(hosts int) float64 {
	if hosts <= membership.MaxDirectHosts {
		return 0
	}
	return s.MaxShift
}

// plannedRemoteShares computes the next plan of each service, and returns the remote shares of the
// plans.
func (h *host) plannedRemoteShares(utilization map[string]placement.RegionUtilization, elapsed time.Duration) placement.RemoteShares {
	region := h.settings().Region
	before := h.currentRemoteShares()
	reports := h.regionReports()
	plans := make(map[string]placement.RegionPlan)
	remoteShares := make(placement.RemoteShares)
	for service, slots := range h.pool.UsableSlots() {
		plan, isKnown := h.regionPlans[service]
		if !isKnown {
			plan.RemoteShare = h.startingRemoteShare(service, slots)
		}
		if share, isInForce := before[service]; isInForce {
			plan.RemoteShare = share
		}
		plan = plan.Next(placement.PlanInput{
			Service:     service,
			Region:      region,
			Reports:     reports[service],
			Utilization: utilization[service],
			Elapsed:     elapsed,
			MaxShift:    h.maxShift(),
		})
		if utilization[service].IsIdle() {
			// There is too little load to plan with. The share follows the slots, which still
			// change while servers register.
			plan.RemoteShare = placement.InitialRemoteShare(region, slots)
		}
		plans[service] = plan
		remoteShares[service] = plan.RemoteShare
	}
	h.regionPlans = plans
	return remoteShares
}

// limitLocalShares returns the local shares with which no more of this region's requests change
// their region in the elapsed time than the settings allow the plan.
func (h *host) limitLocalShares(wanted map[string]float64, loads []placement.RouteLoad, elapsed time.Duration) map[string]float64 {
	maxShift := h.maxShift()
	if maxShift == 0 {
		return wanted
	}
	seconds := min(elapsed, maxElapsed).Seconds()
	return placement.LimitLocalShares(h.localShares, wanted, loads, placement.ShareChangePerSecond(maxShift)*seconds)
}

// maxElapsed bounds the time that counts for one change of the shares. After a longer pause of the process, load
// moves as slowly as at other times.
const maxElapsed = 2 * peerUpdateInterval

// destinations returns the weights of the regions that serve what leaves this region, by service.
func (h *host) destinations() map[string]map[string]float64 {
	weights := make(map[string]map[string]float64, len(h.regionPlans))
	for service, plan := range h.regionPlans {
		weights[service] = plan.Destinations
	}
	return weights
}

// regionReports returns what is known of each service in each region: the slots of the servers,
// and the demand of the callers of the region.
func (h *host) regionReports() map[string]placement.RegionReports {
	reports := make(map[string]placement.RegionReports)
	for service, regions := range h.pool.WarmSlots() {
		reports[service] = make(placement.RegionReports)
		for region, slots := range regions {
			reports[service][region] = placement.RegionReport{
				Slots: slots,
			}
		}
	}
	cachedSlotTimes := h.cachedSlotTimes()
	for region, rates := range h.regionDemand() {
		bound := placement.ServiceDemand(h.routeLoadsOf(rates.bound, cachedSlotTimes))
		for service, demand := range placement.ServiceDemand(h.routeLoadsOf(rates.anywhere, cachedSlotTimes)) {
			if reports[service] == nil {
				continue
			}
			report := reports[service][region]
			report.Demand, report.BoundDemand, report.IsDemandKnown = demand, bound[service], true
			reports[service][region] = report
		}
	}
	return reports
}
