package host

import (
	"context"
	"maps"
	"time"

	"go.uber.org/zap"

	"trefoilline.example/trefoilline/intake"
	"trefoilline.example/trefoilline/observe"
	"trefoilline.example/trefoilline/placement"
	"trefoilline.example/trefoilline/quota"
	"trefoilline.example/trefoilline/roster"
)

// dividePeriod is how often this host's parts of what all hosts share are set.
const dividePeriod = roster.BeatPeriod / 2

// divide keeps this host's parts of what all hosts share.
func (h *host) divide(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		h.book.Divide(h.othersAsked())
		h.pool.SetHosts(h.regionHosts())
		now := time.Now()
		h.moveHomes(now.Sub(last))
		last = now
		pause(ctx, dividePeriod)
	}
}

// othersAsked is what all other hosts are asked for.
func (h *host) othersAsked() []quota.Asked {
	var others []quota.Asked
	for _, b := range h.roster.Remembered() {
		others = append(others, b.Asked)
	}
	for range h.roster.Unheard() {
		others = append(others, nil)
	}
	return others
}

// moveHomes sets which part of the objects stays in this region.
func (h *host) moveHomes(passed time.Duration) {
	index := h.handler.Configuration()
	if index == nil || !h.knowsPool.Load() {
		return
	}
	slots := h.pool.Slots()
	wanted := placement.Homes(h.settings.Region, h.loads(), slots, h.roster.RoundTrip(h.settings.Region))
	guess := func(route string) float64 { return h.guessHome(route, slots) }
	h.homes.Store(new(placement.MoveHomes(h.currentHomes(), wanted, guess, passed)))
	h.pool.SetHomes(h.currentHomes())
	h.tellParts(wanted)
}

// tellPeriod is how often the parts are logged.
const tellPeriod = 5 * time.Second

// tellParts logs the parts in force and what they come from, now and then.
func (h *host) tellParts(wanted map[string]float64) {
	if time.Since(h.told) < tellPeriod {
		return
	}
	h.told = time.Now()
	free, bound := h.rates()
	h.log.Write(observe.PartsSet, zap.Any("homes", h.currentHomes()), zap.Any("wanted", wanted),
		zap.Any("works", h.works()), zap.Any("free", free), zap.Any("bound", bound), zap.Int("hosts", h.hostCount()))
}

// currentHomes returns the shares in force; nil before the first.
func (h *host) currentHomes() map[string]float64 {
	if homes := h.homes.Load(); homes != nil {
		return *homes
	}
	return nil
}

// guessHome is the share that a route begins with: that of another host of this
// region, if one is there.
func (h *host) guessHome(route string, slots map[string]placement.Capacity) float64 {
	for _, b := range h.roster.Live() {
		if share, isSet := b.Homes[route]; isSet && b.Region == h.settings.Region {
			return share
		}
	}
	for _, r := range h.handler.Configuration().Routes {
		if r.Name == route {
			return placement.GuessHomes(h.settings.Region, slots[r.Destinations[0].Service])
		}
	}
	return 1
}

// loads returns what callers ask for on each route at each of its services.
func (h *host) loads() []placement.RouteLoad {
	free, bound := h.rates()
	works := h.works()
	var loads []placement.RouteLoad
	for _, r := range h.handler.Configuration().Routes {
		total := 0.0
		for _, d := range r.Destinations {
			total += d.Weight
		}
		for _, d := range r.Destinations {
			loads = append(loads, placement.RouteLoad{
				Route:   r.Name,
				Service: d.Service,
				Target:  r.Target,
				Work:    works[r.Name],
				Free:    free.part(r.Name, d.Weight/total),
				Bound:   bound.part(r.Name, d.Weight/total),
			})
		}
	}
	return loads
}

// works returns how long a slot is taken by a request for a warm object, by route:
// the least that a host measures, since a crowded region finds no warm ones.
func (h *host) works() map[string]time.Duration {
	works := h.pool.Works()
	for _, b := range h.roster.Live() {
		for route, work := range b.Works {
			if known, isKnown := works[route]; !isKnown || work < known {
				works[route] = work
			}
		}
	}
	return works
}

// rates is requests per second by route and region.
type rates map[string]map[string]float64

func (r rates) add(route, region string, rate float64) {
	if r[route] == nil {
		r[route] = make(map[string]float64)
	}
	r[route][region] += rate
}

// part returns a part of the rates of a route by region.
func (r rates) part(route string, part float64) map[string]float64 {
	parts := make(map[string]float64, len(r[route]))
	for region, rate := range r[route] {
		parts[region] = rate * part
	}
	return parts
}

// rates returns the requests that may be served anywhere by the region of the hosts
// that they come to, and the others by the region that they are bound to.
func (h *host) rates() (free, bound rates) {
	free, bound = make(rates), make(rates)
	add := func(region string, demand intake.Demand) {
		for route, rate := range demand.Free {
			free.add(route, region, rate)
		}
		for region, routes := range demand.Bound {
			for route, rate := range routes {
				bound.add(route, region, rate)
			}
		}
	}
	add(h.settings.Region, h.handler.Demand())
	for _, b := range h.roster.Live() {
		add(b.Region, b.Demand)
	}
	return free, bound
}

// cloneHomes is what the beats tell of the shares.
func (h *host) cloneHomes() map[string]float64 {
	return maps.Clone(h.currentHomes())
}
