package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// MaxShareChangePerSecond limits how fast load moves between regions. It is the maximum
// change per second of the fraction of a region's served requests that other regions
// serve.
const MaxShareChangePerSecond = 0.04

// idleUtilization is the utilization below which a region counts as idle. If all regions
// are idle, there is too little load to derive remote shares from.
const idleUtilization = 0.05

// A region is overloaded while the utilization of its backend servers exceeds both
// overloadThreshold and the mean of the other regions plus minUtilizationLead. Its
// remote share then grows. The share shrinks while the utilization is more than
// hysteresis below that limit, and is constant in between. Outside of this range, the
// rate of change is proportional to the distance from the range, and reaches its maximum
// at a distance of hysteresis.
const (
	overloadThreshold  = 0.65
	minUtilizationLead = 0.1
	hysteresis         = 0.15
)

// RouteLoad is the request rate of a region's callers for one route at one service. It
// covers only requests that may be served in any region.
type RouteLoad struct {
	Route   string
	Service string
	// LatencyTarget is the route's latency target.
	LatencyTarget time.Duration
	// CachedSlotTime is how long a request occupies a slot if the server has its
	// affinity key cached.
	CachedSlotTime time.Duration
	// Rate is in requests per second.
	Rate float64
}

// occupiedSlots returns the mean number of slots that the requests occupy.
func (l RouteLoad) occupiedSlots() float64 {
	return l.Rate * l.CachedSlotTime.Seconds()
}

// ServiceDemand returns the mean number of slots that requests occupy, by service. A service is
// left out if the slot times of all its routes with requests are unknown.
func ServiceDemand(loads []RouteLoad) map[string]float64 {
	demand := make(map[string]float64)
	for _, l := range loads {
		if l.Rate == 0 || l.CachedSlotTime > 0 {
			demand[l.Service] += l.occupiedSlots()
		}
	}
	return demand
}

// RemoteShares is the fraction of a region's load that other regions serve, from 0
// to 1, by service.
type RemoteShares map[string]float64

// RegionUtilization is the mean utilization of a service's backend servers, by
// region.
type RegionUtilization map[string]float64

// NextShare returns the remote share of a service's load after the elapsed time, given
// the current one. The share grows while the region is overloaded, and shrinks when
// the region has capacity again.
//
// This is meant for a region with many callers and few slots: a remote server that has
// the key cached is faster than the queue for a local one. While all regions are equally
// overloaded the share does not change, because the new servers of keys that move do not
// have them cached.
func (r RemoteShares) NextShare(service, region string, utilization RegionUtilization, elapsed time.Duration) float64 {
	share := r[service]
	own, isKnown := utilization[region]
	if !isKnown {
		return share
	}
	elsewhere := meanElsewhere(utilization, region)
	limit := max(overloadThreshold, elsewhere+minUtilizationLead)
	step := MaxShareChangePerSecond * elapsed.Seconds() / servedShareDerivative(share, own)
	switch {
	case own > limit:
		share += step * min(1, (own-limit)/hysteresis)
	case own < limit-hysteresis:
		share -= step * min(1, (limit-hysteresis-own)/hysteresis)
	}
	return max(0, min(1, share))
}

// servedShareDerivative returns how much the remote fraction of the requests that are
// served changes with the remote share of all requests. A region with a utilization
// above 1 serves only the fraction 1/utilization of its local requests, so the remote
// fraction of those served is share / (share + (1-share)/utilization). The result is
// the derivative of that by share.
func servedShareDerivative(share, utilization float64) float64 {
	utilization = max(1, utilization)
	denominator := 1 + share*(utilization-1)
	return utilization / (denominator * denominator)
}

// IsIdle reports whether no region has enough load to derive remote shares from.
func (u RegionUtilization) IsIdle() bool {
	for _, utilization := range u {
		if utilization >= idleUtilization {
			return false
		}
	}
	return true
}

// meanElsewhere returns the mean utilization of the other regions.
func meanElsewhere(utilization RegionUtilization, region string) float64 {
	sum, count := 0.0, 0.0
	for r, u := range utilization {
		if r != region {
			sum += u
			count++
		}
	}
	return sum / max(count, 1)
}

// LocalShares returns the fraction of each route's affinity keys that this region
// serves, from 0 to 1, so that the remote share of each service's load goes to other
// regions. The routes with the most slack in their latency target move first. The round
// trip is the time to another region and back, to be subtracted from the target.
func LocalShares(loads []RouteLoad, remoteShares RemoteShares, roundTrip time.Duration) map[string]float64 {
	localShares := make(map[string]float64)
	byService := make(map[string][]RouteLoad)
	for _, l := range loads {
		byService[l.Service] = append(byService[l.Service], l)
	}
	for service, serviceLoads := range byService {
		toMove := 0.0
		for _, l := range serviceLoads {
			toMove += l.occupiedSlots() * remoteShares[service]
		}
		for _, l := range sortBySlack(serviceLoads, roundTrip) {
			share := 1 - remoteShares[service]
			if occupied := l.occupiedSlots(); occupied > 0 {
				moved := min(toMove, occupied)
				toMove -= moved
				share = 1 - moved/occupied
			}
			if known, isSet := localShares[l.Route]; isSet {
				// The route has several destination services; the lowest share applies
				// to all of them.
				share = min(share, known)
			}
			localShares[l.Route] = share
		}
	}
	return localShares
}

// LimitLocalShares returns the local shares between those in force and the wanted ones with which no
// more than the given fraction of the region's requests changes its region. It weighs the routes by
// their rates: routes with short slot times have more requests for the same load. Routes
// without a share in force take the wanted one.
func LimitLocalShares(inForce, wanted map[string]float64, loads []RouteLoad, limit float64) map[string]float64 {
	moved, total := 0.0, 0.0
	for _, l := range loads {
		total += l.Rate
		if before, isInForce := inForce[l.Route]; isInForce {
			moved += l.Rate * math.Abs(wanted[l.Route]-before)
		}
	}
	fraction := 1.0
	if moved > limit*total {
		fraction = limit * total / moved
	}
	limited := make(map[string]float64, len(wanted))
	for route, share := range wanted {
		if before, isInForce := inForce[route]; isInForce {
			share = before + fraction*(share-before)
		}
		limited[route] = share
	}
	return limited
}

// sortBySlack sorts routes by the fraction of their latency target that is left after
// the round trip and the slot time, the largest fraction first.
func sortBySlack(loads []RouteLoad, roundTrip time.Duration) []RouteLoad {
	sorted := slices.Clone(loads)
	slack := func(l RouteLoad) float64 {
		return float64(l.LatencyTarget-l.CachedSlotTime-roundTrip) / float64(max(l.LatencyTarget, 1))
	}
	slices.SortFunc(sorted, func(a, b RouteLoad) int {
		return cmp.Or(cmp.Compare(slack(b), slack(a)), cmp.Compare(a.Route, b.Route))
	})
	return sorted
}

// assumedUtilization is the utilization of all regions together that is assumed
// before any load is known.
const assumedUtilization = 0.4

// InitialRemoteShare returns the remote share to use for a service before any load is
// known, given the service's slots by region. It assumes equal load in all regions,
// and returns the fraction of the region's load above its overload threshold.
func InitialRemoteShare(region string, slots map[string]float64) float64 {
	total := 0.0
	for _, n := range slots {
		total += n
	}
	if total == 0 {
		return 0
	}
	load := assumedUtilization * total / float64(len(slots))
	return max(0, 1-overloadThreshold*slots[region]/load)
}

// The mean slot time of requests with a cached affinity key is estimated as
// meanToP20Ratio times slotTime.p20.
const meanToP20Ratio = 1.2

// CachedSlotTimes returns how long a request occupies a slot if the server has its
// affinity key cached, by route, as measured by this host.
func (p *Pool) CachedSlotTimes() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	slotTimes := make(map[string]time.Duration, len(p.slotTimes))
	for route, t := range p.slotTimes {
		slotTimes[route] = time.Duration(meanToP20Ratio * float64(t.p20))
	}
	return slotTimes
}

// UsableSlots returns the number of slots of the servers that accept requests, by
// service and region.
func (p *Pool) UsableSlots() map[string]map[string]float64 {
	return p.sumSlots((*server).isUsable)
}

// WarmSlots returns the same without the servers that are cold.
func (p *Pool) WarmSlots() map[string]map[string]float64 {
	now := p.now()
	return p.sumSlots(func(s *server) bool { return s.isUsable() && !s.isCold(now) })
}

func (p *Pool) sumSlots(include func(*server) bool) map[string]map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := make(map[string]map[string]float64)
	for name, svc := range p.services {
		regions := make(map[string]float64)
		for _, s := range svc.servers {
			if include(s) {
				regions[s.Region] += float64(s.Slots)
			}
		}
		slots[name] = regions
	}
	return slots
}

// Utilization returns the mean utilization of this region's backend servers by
// service, as estimated by this host.
func (p *Pool) Utilization() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	utilization := make(map[string]float64)
	for name, svc := range p.services {
		load, slots := 0.0, 0.0
		for _, s := range svc.servers {
			if s.isUsable() && s.Region == p.Region {
				load += s.meanLoadAt(now)
				slots += float64(s.Slots)
			}
		}
		if slots > 0 {
			utilization[name] = load / slots
		}
	}
	return utilization
}
