package host

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/roster"
)

// dividePeriod is how often this host's parts of what all hosts share are set.
const dividePeriod = roster.HeartbeatInterval / 2

// divide keeps this host's parts of what all hosts share.
func (h *host) divide(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		if h.knowsHosts.Load() {
			h.book.UpdateShares(h.reports())
		}
		h.pool.SetHosts(h.regionHosts())
		now := time.Now()
		h.moveAway(now.Sub(last))
		last = now
		pause(ctx, dividePeriod)
	}
}

// reports is what all other hosts that may be there last told of the teams.
func (h *host) reports() []quota.Report {
	live := make(map[string]struct{})
	for _, b := range h.roster.LivePeers() {
		live[b.Name] = struct{}{}
	}
	var reports []quota.Report
	for _, b := range h.roster.RecentPeers() {
		_, isLive := live[b.Name]
		reports = append(reports, quota.Report{
			Demand: b.TeamDemand,
			Shares: b.TeamShares,
			Live:   isLive,
		})
	}
	return append(reports, make([]quota.Report, len(h.roster.SilentPeers()))...)
}

// moveAway sets which part of this region's objects has its places elsewhere.
func (h *host) moveAway(passed time.Duration) {
	if h.handler.Configuration() == nil || !h.knowsPool.Load() {
		return
	}
	before := h.currentAway()
	away := make(placement.RemoteShares)
	crowding := h.crowding()
	for service, slots := range h.pool.UsableSlots() {
		_, isKnown := before[service]
		switch {
		case crowding[service].IsIdle():
			// Servers may still be registering.
			away[service] = placement.InitialRemoteShare(h.settings().Region, slots)
		case !isKnown:
			away[service] = h.guessAway(service, slots)
		default:
			away[service] = before.NextShare(service, h.settings().Region, crowding[service], passed)
		}
	}
	h.away.Store(&away)
	homes := placement.LocalShares(h.loads(), away, h.roster.RoundTripToNearestRegion(h.settings().Region))
	h.pool.SetLocalShares(homes)
	h.tellParts(homes, crowding)
}

// currentAway returns the shares in force; nil before the first.
func (h *host) currentAway() placement.RemoteShares {
	if away := h.away.Load(); away != nil {
		return *away
	}
	return nil
}

// guessAway is the share that a service begins with: that of another host of this
// region, if one is there.
func (h *host) guessAway(service string, slots map[string]float64) float64 {
	for _, b := range h.roster.LivePeers() {
		if share, isSet := b.RemoteShares[service]; isSet && b.Region == h.settings().Region {
			return share
		}
	}
	return placement.InitialRemoteShare(h.settings().Region, slots)
}

// crowding returns how crowded each service is in each region: the mean of what its
// hosts see.
func (h *host) crowding() map[string]placement.RegionUtilization {
	sums := make(map[string]placement.RegionUtilization)
	counts := make(map[string]map[string]float64)
	add := func(region string, seen map[string]float64) {
		for service, crowding := range seen {
			if sums[service] == nil {
				sums[service] = make(placement.RegionUtilization)
				counts[service] = make(map[string]float64)
			}
			sums[service][region] += crowding
			counts[service][region]++
		}
	}
	add(h.settings().Region, h.pool.Utilization())
	for _, b := range h.roster.LivePeers() {
		add(b.Region, b.Utilization)
	}
	for service, regions := range sums {
		for region := range regions {
			regions[region] /= counts[service][region]
		}
	}
	return sums
}

// loads returns what callers of this region ask for on each route at each of its
// services.
func (h *host) loads() []placement.RouteLoad {
	rates := h.handler.UnrestrictedRequestRates()
	for _, b := range h.roster.LivePeers() {
		if b.Region == h.settings().Region {
			for route, rate := range b.RouteDemand {
				rates[route] += rate
			}
		}
	}
	works := h.works()
	var loads []placement.RouteLoad
	for _, r := range h.handler.Configuration().Routes {
		total := 0.0
		for _, d := range r.Destinations {
			total += d.Weight
		}
		for _, d := range r.Destinations {
			loads = append(loads, placement.RouteLoad{
				Route:         r.Name,
				Service:       d.Service,
				LatencyTarget: r.LatencyTarget,
				WarmSlotTime:  works[r.Name],
				Rate:          rates[r.Name] * d.Weight / total,
			})
		}
	}
	return loads
}

// works returns how long a slot is taken by a request for a warm object, by route:
// the least that a host measures, since a crowded region finds no warm ones.
func (h *host) works() map[string]time.Duration {
	works := h.pool.WarmSlotTimes()
	for _, b := range h.roster.LivePeers() {
		for route, work := range b.WarmSlotTimes {
			if known, isKnown := works[route]; !isKnown || work < known {
				works[route] = work
			}
		}
	}
	return works
}

// tellPeriod is how often the parts are logged.
const tellPeriod = 5 * time.Second

// tellParts logs the parts in force and what they come from, now and then.
func (h *host) tellParts(homes map[string]float64, crowding map[string]placement.RegionUtilization) {
	if time.Since(h.told) < tellPeriod {
		return
	}
	h.told = time.Now()
	partly := maps.Clone(homes)
	maps.DeleteFunc(partly, func(_ string, share float64) bool { return share >= 1 })
	h.log.Write(observe.SharesReported, zap.Any("away", h.currentAway()), zap.Any("crowding", crowding),
		zap.Any("homes", partly), zap.Int("hosts", h.hostCount()))
}
