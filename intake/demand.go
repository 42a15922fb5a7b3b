package intake

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// demandWindow is over how long the demand is counted: long enough that it moves
// slower than single bursts.
const demandWindow = 2 * time.Second

// demand counts what callers ask for, by route and, where the request may be served
// in some regions only, by the region that it is bound to.
type demand struct {
	mu    sync.Mutex
	rates map[demandKey]*meter.Rate
}

type demandKey struct {
	route string
	// bound is empty if the request may be served anywhere.
	bound string
}

func (d *demand) add(key demandKey, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[demandKey]*meter.Rate)
	}
	r, known := d.rates[key]
	if !known {
		r = &meter.Rate{
			Window: demandWindow,
		}
		d.rates[key] = r
	}
	r.Add(now)
}

// Demand is what callers ask a host for.
type Demand struct {
	// Free is the requests per second by route that may be served anywhere.
	Free map[string]float64 `json:"free,omitempty"`
	// Bound is the others, by region and route.
	Bound map[string]map[string]float64 `json:"bound,omitempty"`
}

// leastDemand is the rate below which a route is left out of a report.
const leastDemand = 0.05

// Demand returns what callers ask for lately.
func (h *Handler) Demand() Demand {
	h.demand.mu.Lock()
	defer h.demand.mu.Unlock()
	now := h.now()
	found := Demand{
		Free:  make(map[string]float64),
		Bound: make(map[string]map[string]float64),
	}
	for key, r := range h.demand.rates {
		rate := r.At(now)
		switch {
		case rate < leastDemand:
			delete(h.demand.rates, key)
		case key.bound == "":
			found.Free[key.route] = rate
		default:
			if found.Bound[key.bound] == nil {
				found.Bound[key.bound] = make(map[string]float64)
			}
			found.Bound[key.bound][key.route] = rate
		}
	}
	return found
}
