package host

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/routing"
)

// peerUpdateInterval is the time between two runs of the work of
// [host.updateFromPeers].
const peerUpdateInterval = membership.HeartbeatInterval / 2

// firstUpdateInterval is the same until the records of the hosts are known.
const firstUpdateInterval = peerUpdateInterval / 10

// updateFromPeers updates what depends on the heartbeats of the other hosts, until the
// context ends: this host's shares of the team rates, the live hosts of each region, and
// which fraction of the load other regions serve.
func (h *host) updateFromPeers(ctx context.Context) {
	lastUpdate := time.Now()
	for ctx.Err() == nil {
		liveHosts := h.liveHostsByRegion()
		if h.hostsLoaded.Load() {
			h.updateOwnership(liveHosts)
			h.updateDivision()
			h.limiter.SetReports(h.quotaReports())
		}
		h.pool.SetHosts(h.updateSenders())
		now := time.Now()
		h.updateRemoteShares(now.Sub(lastUpdate))
		lastUpdate = now
		if !h.hostsLoaded.Load() {
			// Until then the host accepts no requests of teams with a rate.
			sleep(ctx, firstUpdateInterval)
			continue
		}
		select {
		case <-ctx.Done():
		case <-h.divisionDue:
		case <-time.After(peerUpdateInterval):
		}
	}
}

// updateSenders returns the names of the hosts by region among which what cold or limited servers
// accept is divided. These are all that may be running, also those that this host does not hear from:
// they may send their parts too. A host that has just joined is not among them until the others
// count it, nor one whose lease has ended, and one that has left is until the others don't.
func (h *host) updateSenders() map[string][]string {
	current := make(map[string][]string)
	if !h.hostsLoaded.Load() {
		return current
	}
	for _, m := range h.members() {
		current[m.Region] = append(current[m.Region], m.Name)
	}
	self := h.settings()
	_, isAgreed := h.limiter.DivisionHash()
	wasCounted := slices.Contains(h.senders[self.Region], self.Host) && !h.hasLostLease()
	if !wasCounted && (!isAgreed || h.hasLostLease()) {
		current[self.Region] = slices.DeleteFunc(current[self.Region], func(name string) bool { return name == self.Host })
	}
	if !isAgreed && wasCounted {
		for region, names := range h.senders {
			current[region] = append(current[region], names...)
		}
	}
	for region, names := range current {
		slices.Sort(names)
		current[region] = slices.Compact(names)
	}
	h.senders = current
	return current
}

// ownershipInput is what the owners of the teams' rates follow from.
type ownershipInput struct {
	configuration *routing.Index
	liveHosts     map[string][]string
}

// updateOwnership selects the owners of the teams' rates if the live hosts or the teams have
// changed. In a fleet in which all hosts send heartbeats to each other, all own a part of each rate.
func (h *host) updateOwnership(liveHosts map[string][]string) {
	input := ownershipInput{
		configuration: h.handler.Configuration(),
		liveHosts:     liveHosts,
	}
	isUnchanged := input.configuration == h.ownership.configuration && maps.EqualFunc(liveHosts, h.ownership.liveHosts, slices.Equal)
	if input.configuration == nil || isUnchanged {
		return
	}
	h.ownership = input
	ownership := quota.Ownership{
		Self: h.settings().Host,
	}
	if h.roster.Targets(h.record(), false).HasRelays {
		ownership.Owners = make(map[string]map[string][]string)
		for _, t := range input.configuration.Teams {
			ownership.Owners[t.Name] = quota.SelectOwners(t, liveHosts)
		}
	}
	h.limiter.SetOwnership(ownership)
}

// quotaReports returns what every other host that was heard from lately last reported about the
// teams.
func (h *host) quotaReports() []quota.Report {
	live := make(map[string]struct{})
	for _, peer := range h.roster.LivePeers() {
		live[peer.Name] = struct{}{}
	}
	var reports []quota.Report
	for _, peer := range h.roster.RecentPeers() {
		_, isLive := live[peer.Name]
		reports = append(reports, quota.Report{
			Demand: peer.TeamDemand,
			Live:   isLive,
		})
	}
	return reports
}

// updateRemoteShares computes the remote share of each service, which is the fraction of
// this region's load that other regions serve, and the local share of each route, which is
// the fraction of its affinity keys that this region serves. It does nothing until the
// configuration and the backend servers are known.
func (h *host) updateRemoteShares(elapsed time.Duration) {
	if h.handler.Configuration() == nil || !h.serversLoaded.Load() {
		return
	}
	utilization := h.utilizationByRegion()
	var remoteShares placement.RemoteShares
	maxShift := h.maxShift()
	h.pool.SetMaxShift(maxShift)
	if maxShift > 0 {
		remoteShares = h.plannedRemoteShares(utilization, elapsed)
	} else {
		h.regionPlans = nil
		remoteShares = h.reactiveRemoteShares(utilization, elapsed)
	}
	h.remoteShares.Store(&remoteShares)
	loads := h.routeLoads()
	localShares := placement.LocalShares(loads, remoteShares, h.roster.RoundTripToNearestRegion(h.settings().Region))
	localShares = h.limitLocalShares(localShares, loads, elapsed)
	h.localShares = localShares
	h.pool.SetLocalShares(localShares)
	h.pool.SetDestinations(h.destinations())
	h.logRegionShares(localShares, utilization)
}

// reactiveRemoteShares returns the next remote shares by measured utilization alone.
func (h *host) reactiveRemoteShares(utilization map[string]placement.RegionUtilization, elapsed time.Duration) placement.RemoteShares {
	before := h.currentRemoteShares()
	remoteShares := make(placement.RemoteShares)
	for service, slots := range h.pool.UsableSlots() {
		_, isKnown := before[service]
		switch {
		case utilization[service].IsIdle():
			// While there is almost no load, the share follows the slots, which still
			// change while servers register.
			remoteShares[service] = placement.InitialRemoteShare(h.settings().Region, slots)
		case !isKnown:
			remoteShares[service] = h.startingRemoteShare(service, slots)
		default:
			remoteShares[service] = before.NextShare(service, h.settings().Region, utilization[service], elapsed)
		}
	}
	return remoteShares
}

// currentRemoteShares returns the remote shares in force, or nil before they are first
// computed.
func (h *host) currentRemoteShares() placement.RemoteShares {
	if remoteShares := h.remoteShares.Load(); remoteShares != nil {
		return *remoteShares
	}
	return nil
}

// startingRemoteShare returns the remote share for a service that has none yet: that of
// another live host of this region if one reports it, otherwise one computed from the slots.
func (h *host) startingRemoteShare(service string, slots map[string]float64) float64 {
	for _, peer := range h.roster.LivePeers() {
		if share, isSet := peer.RemoteShares[service]; isSet && peer.Region == h.settings().Region {
			return share
		}
	}
	if share, isSet := h.regionSummaries()[h.settings().Region].RemoteShares[service]; isSet {
		return share
	}
	return placement.InitialRemoteShare(h.settings().Region, slots)
}

// regionSummaries returns what relays report of the regions. It is empty in a fleet without
// relays, and on a host that is a relay itself it holds the other regions only, because such a
// host gets the heartbeats of its own region.
func (h *host) regionSummaries() map[string]membership.RegionSummary {
	summaries := h.roster.Regions()
	if h.peerMessenger.isRelay.Load() {
		delete(summaries, h.settings().Region)
	}
	return summaries
}

// utilizationByRegion returns the utilization of each service in each region, as the mean
// of what the region's live hosts measure.
func (h *host) utilizationByRegion() map[string]placement.RegionUtilization {
	summaries := h.regionSummaries()
	sums := make(map[string]placement.RegionUtilization)
	counts := make(map[string]map[string]float64)
	add := func(region string, measured map[string]float64) {
		for service, utilization := range measured {
			if sums[service] == nil {
				sums[service] = make(placement.RegionUtilization)
				counts[service] = make(map[string]float64)
			}
			sums[service][region] += utilization
			counts[service][region]++
		}
	}
	if _, isSummarized := summaries[h.settings().Region]; !isSummarized {
		add(h.settings().Region, h.pool.Utilization())
	}
	for _, peer := range h.roster.LivePeers() {
		if _, isSummarized := summaries[peer.Region]; !isSummarized {
			add(peer.Region, peer.Utilization)
		}
	}
	for region, summary := range summaries {
		add(region, summary.Utilization)
	}
	for service, regions := range sums {
		for region := range regions {
			regions[region] /= counts[service][region]
		}
	}
	return sums
}

// routeLoads returns the load that the callers of this region put on each service of each
// route.
func (h *host) routeLoads() []placement.RouteLoad {
	return h.routeLoadsOf(h.regionDemand()[h.settings().Region].anywhere, h.cachedSlotTimes())
}

// routeLoadsOf returns the load on each service of each route from the rates of the requests by
// route.
func (h *host) routeLoadsOf(rates map[string]float64, cachedSlotTimes map[string]time.Duration) []placement.RouteLoad {
	var loads []placement.RouteLoad
	for _, r := range h.handler.Configuration().Routes {
		totalWeight := 0.0
		for _, d := range r.Destinations {
			totalWeight += d.Weight
		}
		for _, d := range r.Destinations {
			loads = append(loads, placement.RouteLoad{
				Route:          r.Name,
				Service:        d.Service,
				LatencyTarget:  r.LatencyTarget,
				CachedSlotTime: cachedSlotTimes[r.Name],
				Rate:           rates[r.Name] * d.Weight / totalWeight,
			})
		}
	}
	return loads
}

// routeDemand is the rate of the requests of a region's callers by route, in requests per second.
type routeDemand struct {
	// anywhere are the rates of requests that any region may serve, bound those of requests that
	// only some regions may serve, among them this one.
	anywhere, bound map[string]float64
}

// add adds what a host reports.
func (d routeDemand) add(anywhere, bound map[string]float64) {
	for route, rate := range anywhere {
		d.anywhere[route] += rate
	}
	for route, rate := range bound {
		d.bound[route] += rate
	}
}

// regionDemand returns the demand of each region's callers. A region of which nothing was heard is
// left out.
func (h *host) regionDemand() map[string]routeDemand {
	demand := make(map[string]routeDemand)
	add := func(region string, anywhere, bound map[string]float64) {
		if _, isKnown := demand[region]; !isKnown {
			demand[region] = routeDemand{
				anywhere: make(map[string]float64),
				bound:    make(map[string]float64),
			}
		}
		demand[region].add(anywhere, bound)
	}
	summaries := h.regionSummaries()
	for region, summary := range summaries {
		add(region, summary.RouteDemand, summary.BoundRouteDemand)
	}
	if _, isSummarized := summaries[h.settings().Region]; !isSummarized {
		add(h.settings().Region, h.handler.RouteDemand(), h.handler.BoundRouteDemand())
	}
	for _, peer := range h.roster.LivePeers() {
		if _, isSummarized := summaries[peer.Region]; !isSummarized {
			add(peer.Region, peer.RouteDemand, peer.BoundRouteDemand)
		}
	}
	return demand
}

// cachedSlotTimes returns, by route, how long a request occupies a slot if the server has its
// affinity key cached. It takes the lowest value that any host measures: in an overloaded
// region no request finds its affinity key cached, so the hosts of that region overestimate
// it.
func (h *host) cachedSlotTimes() map[string]time.Duration {
	cachedSlotTimes := h.pool.CachedSlotTimes()
	add := func(measured map[string]time.Duration) {
		for route, slotTime := range measured {
			if known, isKnown := cachedSlotTimes[route]; !isKnown || slotTime < known {
				cachedSlotTimes[route] = slotTime
			}
		}
	}
	for _, peer := range h.roster.LivePeers() {
		add(peer.CachedSlotTimes)
	}
	for _, summary := range h.regionSummaries() {
		add(summary.CachedSlotTimes)
	}
	return cachedSlotTimes
}

// regionShareLogInterval is the shortest time between two log events about the remote and
// local shares.
const regionShareLogInterval = 5 * time.Second

// logRegionShares logs the remote and local shares in force, and the plan and the utilization that they
// follow from, at most once per [regionShareLogInterval]. Routes that this region serves alone
// are left out.
func (h *host) logRegionShares(localShares map[string]float64, utilization map[string]placement.RegionUtilization) {
	if time.Since(h.lastRegionShareLog) < regionShareLogInterval {
		return
	}
	h.lastRegionShareLog = time.Now()
	splitRoutes := maps.Clone(localShares)
	maps.DeleteFunc(splitRoutes, func(_ string, share float64) bool { return share >= 1 })
	planned, corrected, demand := make(map[string]float64), make(map[string]float64), make(map[string]map[string]float64)
	for service, plan := range h.regionPlans {
		if !plan.IsPlanned {
			continue
		}
		planned[service], demand[service] = plan.Target, plan.Demand()
		if plan.Correction > 0 {
			corrected[service] = plan.Correction
		}
	}
	h.log.Write(observe.RegionSharesLogged, zap.Any("away", h.currentRemoteShares()), zap.Any("planned", planned),
		zap.Any("corrected", corrected), zap.Any("demand", demand), zap.Any("to", h.destinations()),
		zap.Any("crowding", utilization), zap.Any("homes", splitRoutes), zap.Any("spilled", h.pool.SpilledRequests()),
		zap.Int("hosts", h.hostCount()), zap.Any("rates", h.limiter.Shares()))
}
