package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// fill is the part of a region's slots that its own callers may fill before some
// of their objects get places elsewhere: beyond it, requests wait.
const fill = 0.6

// HomeStep is how much the share of objects that stay in their region may change
// in a second. It bounds how many requests change their region at once.
const HomeStep = 0.04

// RouteLoad is what callers ask for on a route at one service.
type RouteLoad struct {
	Route   string
	Service string
	// Target is the time within which answers have their full worth.
	Target time.Duration
	// Work is how long a slot is taken by a request for a warm object.
	Work time.Duration
	// Free is how many requests per second the callers of each region send that
	// may be served anywhere.
	Free map[string]float64
	// Bound is how many requests per second must be served in each region,
	// wherever their callers are.
	Bound map[string]float64
}

// free is how many slots the requests fill that callers of the region send and
// that may be served anywhere.
func (l RouteLoad) free(region string) float64 {
	return l.Free[region] * l.Work.Seconds()
}

// bound is how many slots the requests fill that must be served in the region.
func (l RouteLoad) bound(region string) float64 {
	return l.Bound[region] * l.Work.Seconds()
}

// Capacity is the slots of a service by region.
type Capacity map[string]float64

// Homes returns the share of each route's objects that have their places in the
// callers' region. What does not fit there is placed elsewhere, as far as there is
// room: first that of the routes whose target leaves most time for the way. All
// hosts find the same from the same loads.
//
// It answers a region with many callers and few slots: warm and far is faster than
// near and waiting.
func Homes(region string, loads []RouteLoad, slots map[string]Capacity, way time.Duration) map[string]float64 {
	homes := make(map[string]float64)
	byService := make(map[string][]RouteLoad)
	for _, l := range loads {
		byService[l.Service] = append(byService[l.Service], l)
	}
	for service, of := range byService {
		moved := excess(region, of, slots[service])
		for _, l := range byPatience(of, way) {
			share := 1.0
			if load := l.free(region); load > 0 {
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

// excess is how much of the region's load is to be placed elsewhere.
func excess(region string, loads []RouteLoad, slots Capacity) float64 {
	own, all, room := 0.0, 0.0, 0.0
	for r, n := range slots {
		load := 0.0
		for _, l := range loads {
			load += l.free(r) + l.bound(r)
		}
		over := load - fill*n
		if over > 0 {
			all += over
		} else {
			room -= over
		}
		if r == region {
			own = over
		}
	}
	if _, hasSlots := slots[region]; !hasSlots {
		return math.Inf(1)
	}
	if own <= 0 || all <= 0 {
		return 0
	}
	return own * min(1, room/all)
}

// byPatience orders routes by how much of their target is left after the way and
// the work, the most first.
func byPatience(loads []RouteLoad, way time.Duration) []RouteLoad {
	sorted := slices.Clone(loads)
	patience := func(l RouteLoad) float64 {
		return float64(l.Target-l.Work-way) / float64(max(l.Target, 1))
	}
	slices.SortFunc(sorted, func(a, b RouteLoad) int {
		return cmp.Or(cmp.Compare(patience(b), patience(a)), cmp.Compare(a.Route, b.Route))
	})
	return sorted
}

// GuessHomes returns a share to begin with, before any load is known: that of a
// region with under half of the mean slots is lower.
func GuessHomes(region string, slots Capacity) float64 {
	if len(slots) == 0 {
		return 1
	}
	all := 0.0
	for _, n := range slots {
		all += n
	}
	return min(1, 2*slots[region]*float64(len(slots))/max(all, 1))
}

// MoveHomes returns the shares on the way from those before to those wanted, as
// far as the time allows. A route that is new begins at the guess.
func MoveHomes(before, wanted map[string]float64, guess func(route string) float64, passed time.Duration) map[string]float64 {
	step := HomeStep * passed.Seconds()
	moved := make(map[string]float64, len(wanted))
	for route, share := range wanted {
		from, isKnown := before[route]
		if !isKnown {
			moved[route] = guess(route)
			continue
		}
		moved[route] = from + max(-step, min(step, share-from))
	}
	return moved
}

// workMargin is by how much the mean work for a warm object is above the fast
// part that is measured.
const workMargin = 1.2

// Works returns how long a slot is taken by a request for a warm object, by route,
// as far as this host knows.
func (p *Pool) Works() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	works := make(map[string]time.Duration, len(p.works))
	for route, w := range p.works {
		works[route] = time.Duration(workMargin * float64(w.low))
	}
	return works
}

// Slots returns the slots of each service by region, of the servers that may get
// requests.
func (p *Pool) Slots() map[string]Capacity {
	p.mu.Lock()
	defer p.mu.Unlock()
	slots := make(map[string]Capacity)
	for name, g := range p.services {
		regions := make(Capacity)
		for _, s := range g.servers {
			if s.isUsable() {
				regions[s.Region] += float64(s.Slots)
			}
		}
		slots[name] = regions
	}
	return slots
}
