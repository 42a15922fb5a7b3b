package intake

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// demandWindow is the period over which request rates are averaged. It is long enough
// that a single burst does not move the rate much.
const demandWindow = 2 * time.Second

// routeDemand measures the rate of requests on each route. It counts only requests
// that any region may serve.
type routeDemand struct {
	mu    sync.Mutex
	rates map[string]*meter.Rate
}

func (d *routeDemand) record(route string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rates == nil {
		d.rates = make(map[string]*meter.Rate)
	}
	routeRate, found := d.rates[route]
	if !found {
		routeRate = &meter.Rate{
			Window: demandWindow,
		}
		d.rates[route] = routeRate
	}
	routeRate.Add(now)
}

// minReportedDemand is the rate, in requests per second, below which a route is left
// out of the reported demand.
const minReportedDemand = 0.05

// UnrestrictedRequestRates returns the recent rate of callers' requests on each route,
// in requests per second. It counts only requests that any region may serve, and leaves
// out routes with hardly any requests.
func (h *Handler) UnrestrictedRequestRates() map[string]float64 {
	h.demand.mu.Lock()
	defer h.demand.mu.Unlock()
	now := h.now()
	perSecond := make(map[string]float64, len(h.demand.rates))
	for route, routeRate := range h.demand.rates {
		if current := routeRate.At(now); current >= minReportedDemand {
			perSecond[route] = current
		}
	}
	return perSecond
}
