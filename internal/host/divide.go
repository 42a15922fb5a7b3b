package host

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
)

// peerUpdateInterval is the time between two runs of the work of
// [host.updateFromPeers].
const peerUpdateInterval = membership.HeartbeatInterval / 2

// updateFromPeers updates what depends on the heartbeats of the other hosts, until the
// context ends: this host's shares of the team rates, the live hosts of each region, and
// which fraction of the load other regions serve.
func (h *host) updateFromPeers(ctx context.Context) {
	lastUpdate := time.Now()
	for ctx.Err() == nil {
		if h.hostsLoaded.Load() {
			h.limiter.UpdateShares(h.quotaReports())
		}
		h.pool.SetHosts(h.liveHostsByRegion())
		now := time.Now()
		h.updateRemoteShares(now.Sub(lastUpdate))
		lastUpdate = now
		sleep(ctx, peerUpdateInterval)
	}
}

// quotaReports returns what every other host that may be running last reported about the
// teams. Hosts that have not been heard from recently give an empty report, so that they
// still count.
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
			Shares: peer.TeamShares,
			Live:   isLive,
		})
	}
	return append(reports, make([]quota.Report, len(h.roster.SilentPeers()))...)
}

// updateRemoteShares computes the remote share of each service, which is the fraction of
// this region's load that other regions serve, and the local share of each route, which is
// the fraction of its affinity keys that this region serves. It does nothing until the
// configuration and the backend servers are known.
func (h *host) updateRemoteShares(elapsed time.Duration) {
	if h.handler.Configuration() == nil || !h.serversLoaded.Load() {
		return
	}
	before := h.currentRemoteShares()
	remoteShares := make(placement.RemoteShares)
	utilization := h.utilizationByRegion()
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
	h.remoteShares.Store(&remoteShares)
	localShares := placement.LocalShares(h.routeLoads(), remoteShares, h.roster.RoundTripToNearestRegion(h.settings().Region))
	h.pool.SetLocalShares(localShares)
	h.logShares(localShares, utilization)
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
	return placement.InitialRemoteShare(h.settings().Region, slots)
}

// utilizationByRegion returns the utilization of each service in each region, as the mean
// of what the region's live hosts measure.
func (h *host) utilizationByRegion() map[string]placement.RegionUtilization {
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
	add(h.settings().Region, h.pool.Utilization())
	for _, peer := range h.roster.LivePeers() {
		add(peer.Region, peer.Utilization)
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
	rates := h.handler.RouteDemand()
	for _, peer := range h.roster.LivePeers() {
		if peer.Region == h.settings().Region {
			for route, rate := range peer.RouteDemand {
				rates[route] += rate
			}
		}
	}
	warmSlotTimes := h.warmSlotTimes()
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
				CachedSlotTime: warmSlotTimes[r.Name],
				Rate:           rates[r.Name] * d.Weight / totalWeight,
			})
		}
	}
	return loads
}

// warmSlotTimes returns, by route, how long a request occupies a slot if the server has its
// affinity key cached. It takes the lowest value that any host measures: in an overloaded
// region no request finds its affinity key cached, so the hosts of that region overestimate
// it.
func (h *host) warmSlotTimes() map[string]time.Duration {
	warmSlotTimes := h.pool.CachedSlotTimes()
	for _, peer := range h.roster.LivePeers() {
		for route, slotTime := range peer.CachedSlotTimes {
			if known, isKnown := warmSlotTimes[route]; !isKnown || slotTime < known {
				warmSlotTimes[route] = slotTime
			}
		}
	}
	return warmSlotTimes
}

// shareLogInterval is the shortest time between two log events about the shares.
const shareLogInterval = 5 * time.Second

// logShares logs the shares in force and the utilization that they follow from, at most
// once per [shareLogInterval]. Routes that this region serves alone are left out.
func (h *host) logShares(localShares map[string]float64, utilization map[string]placement.RegionUtilization) {
	if time.Since(h.lastShareLog) < shareLogInterval {
		return
	}
	h.lastShareLog = time.Now()
	splitRoutes := maps.Clone(localShares)
	maps.DeleteFunc(splitRoutes, func(_ string, share float64) bool { return share >= 1 })
	h.log.Write(observe.RegionSharesLogged, zap.Any("away", h.currentRemoteShares()), zap.Any("crowding", utilization),
		zap.Any("homes", splitRoutes), zap.Int("hosts", h.hostCount()))
}
