package intake

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// demandWindow is over how long the demand is counted: long enough that it moves
// slower than single bursts.
const demandWindow = 2 * time.Second

// demand counts what callers ask for and may be served anywhere, by route.
type demand struct {
	mu    sync.Mutex
	rates map[string]*meter.Rate
}

func (d *demand) add(route string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*meter.Rate)
	}
	r, known := d.rates[route]
	if !known {
		r = &meter.Rate{
			Window: demandWindow,
		}
		d.rates[route] = r
	}
	r.Add(now)
}

// leastDemand is the rate below which a route is left out of a report.
const leastDemand = 0.05

// UnrestrictedRequestRates returns how many requests per second callers ask for lately that may be
// served anywhere, by route.
func (h *Handler) UnrestrictedRequestRates() map[string]float64 {
	h.demand.mu.Lock()
	defer h.demand.mu.Unlock()
	now := h.now()
	rates := make(map[string]float64, len(h.demand.rates))
	for route, r := range h.demand.rates {
		if rate := r.PerSecond(now); rate >= leastDemand {
			rates[route] = rate
		}
	}
	return rates
}
