package placement

import (
	"cmp"
	"slices"
	"time"
)

// MaxShareChangePerSecond is how much the part of a region's served requests that are served
// elsewhere may change in a second.
const MaxShareChangePerSecond = 0.04

// idle is the crowding of all regions below which nothing is learned from it.
const idle = 0.05

// When a region is crowded: the mean load of its backend servers relative to their
// slots, and by how much it must be above that of the other regions.
const (
	crowded    = 0.65
	lead       = 0.1
	hysteresis = 0.15
)

// RouteLoad is what the callers of a region ask for on a route at one service and
// may be served anywhere.
type RouteLoad struct {
	Route   string
	Service string
	// LatencyTarget is the time within which answers have their full worth.
	LatencyTarget time.Duration
	// WarmSlotTime is how long a slot is taken by a request for a warm object.
	WarmSlotTime time.Duration
	// Rate is in requests per second.
	Rate float64
}

// load is how many slots the requests fill.
func (l RouteLoad) load() float64 {
	return l.Rate * l.WarmSlotTime.Seconds()
}

// RemoteShares is the share of a region's load on each service that has its places in
// other regions.
type RemoteShares map[string]float64

// RegionUtilization is the mean load of the backend servers of a service relative to their
// slots, by region.
type RegionUtilization map[string]float64

// NextShare moves the share of a service's load that is placed elsewhere. The load moves
// away while the region is crowded and others are less so, and comes back when it
// has room.
//
// It answers a region with many callers and few slots: warm and far is faster than
// near and waiting. Where all regions are crowded nothing moves, since objects that
// move are cold.
func (a RemoteShares) NextShare(service, region string, of RegionUtilization, passed time.Duration) float64 {
	share := a[service]
	own, isKnown := of[region]
	if !isKnown {
		return share
	}
	elsewhere := others(of, region)
	line := max(crowded, elsewhere+lead)
	step := MaxShareChangePerSecond * passed.Seconds() / amplified(share, own)
	switch {
	case own > line:
		share += step * min(1, (own-line)/hysteresis)
	case own < line-hysteresis:
		share -= step * min(1, (line-hysteresis-own)/hysteresis)
	}
	return max(0, min(1, share))
}

// amplified is by how much more the part of the served requests changes that are
// served elsewhere than the share of those asked. Where the region is so crowded that
// one request in so many is served at home, the part is
// share / (share + (1-share)/crowding); this is its slope.
func amplified(share, crowding float64) float64 {
	crowding = max(1, crowding)
	whole := 1 + share*(crowding-1)
	return crowding / (whole * whole)
}

// IsIdle tells whether nothing can be learned from the crowding: there is no load to
// speak of in any region.
func (c RegionUtilization) IsIdle() bool {
	for _, crowding := range c {
		if crowding >= idle {
			return false
		}
	}
	return true
}

// others is the mean crowding of the other regions.
func others(of RegionUtilization, region string) float64 {
	sum, count := 0.0, 0.0
	for r, c := range of {
		if r != region {
			sum += c
			count++
		}
	}
	return sum / max(count, 1)
}

// LocalShares returns the share of each route's objects that have their places in the
// region, if the given share of each service's load has them elsewhere: first that
// of the routes whose target leaves most time for the way.
func LocalShares(loads []RouteLoad, away RemoteShares, way time.Duration) map[string]float64 {
	homes := make(map[string]float64)
	byService := make(map[string][]RouteLoad)
	for _, l := range loads {
		byService[l.Service] = append(byService[l.Service], l)
	}
	for service, of := range byService {
		moved := 0.0
		for _, l := range of {
			moved += l.load() * away[service]
		}
		for _, l := range byPatience(of, way) {
			share := 1 - away[service]
			if load := l.load(); load > 0 {
				part := min(moved, load)
				moved -= part
				share = 1 - part/load
			}
			if known, isSet := homes[l.Route]; isSet {
				// The route is split; its parts share one point.
				share = min(share, known)
			}
			homes[l.Route] = share
		}
	}
	return homes
}

// byPatience orders routes by how much of their target is left after the way and
// the work, the most first.
func byPatience(loads []RouteLoad, way time.Duration) []RouteLoad {
	sorted := slices.Clone(loads)
	patience := func(l RouteLoad) float64 {
		return float64(l.LatencyTarget-l.WarmSlotTime-way) / float64(max(l.LatencyTarget, 1))
	}
	slices.SortFunc(sorted, func(a, b RouteLoad) int {
		return cmp.Or(cmp.Compare(patience(b), patience(a)), cmp.Compare(a.Route, b.Route))
	})
	return sorted
}

// usualFill is the part of all slots that warm work fills, as far as nothing else is
// known.
const usualFill = 0.4

// InitialRemoteShare returns a share to begin with, before any load is known: what has no room
// if all regions have equal load.
func InitialRemoteShare(region string, slots map[string]float64) float64 {
	all := 0.0
	for _, n := range slots {
		all += n
	}
	if all == 0 {
		return 0
	}
	load := usualFill * all / float64(len(slots))
	return max(0, 1-crowded*slots[region]/load)
}

// workMargin is by how much the mean work for a warm object is above the fast
// part that is measured.
const workMargin = 1.2

// WarmSlotTimes returns how long a slot is taken by a request for a warm object, by route,
// as far as this host knows.
func (p *Pool) WarmSlotTimes() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	works := make(map[string]time.Duration, len(p.works))
	for route, w := range p.works {
		works[route] = time.Duration(workMargin * float64(w.low))
	}
	return works
}

// UsableSlots returns the slots of each service by region, of the servers that may get
// requests.
func (p *Pool) UsableSlots() map[string]map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := make(map[string]map[string]float64)
	for name, g := range p.services {
		regions := make(map[string]float64)
		for _, s := range g.servers {
			if s.isUsable() {
				regions[s.Region] += float64(s.Slots)
			}
		}
		slots[name] = regions
	}
	return slots
}

// Utilization returns the mean load of this region's backend servers relative to their
// slots, by service, as far as this host sees.
func (p *Pool) Utilization() map[string]float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	crowding := make(map[string]float64)
	for name, g := range p.services {
		load, slots := 0.0, 0.0
		for _, s := range g.servers {
			if s.isUsable() && s.Region == p.Region {
				load += s.busyAt(now)
				slots += float64(s.Slots)
			}
		}
		if slots > 0 {
			crowding[name] = load / slots
		}
	}
	return crowding
}
