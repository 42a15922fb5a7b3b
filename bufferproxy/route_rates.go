package bufferproxy

import (
	"maps"
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// rateWindow is the period over which request rates are averaged. It is this long so
// that the rates, by which hosts decide how much load goes to other regions, change more
// slowly than single bursts do.
const rateWindow = 2 * time.Second

// routeRates measures the rate of requests on each route.
type routeRates struct {
	mu    sync.Mutex
	rates map[string]*meter.Rate
}

func (r *routeRates) record(route string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rates == nil {
		r.rates = make(map[string]*meter.Rate)
	}
	routeRate, found := r.rates[route]
	if !found {
		routeRate = &meter.Rate{
			TimeConstant: rateWindow,
		}
		r.rates[route] = routeRate
	}
	routeRate.Add(now)
}

// minReportedRate is the rate, in requests per second, below which
// RouteDemand leaves a route out.
const minReportedRate = 0.05

// RouteDemand returns the recent rate of callers' requests on each route,
// in requests per second. It counts only requests that any region may serve, and leaves
// out routes with hardly any requests. The host sends the rates to the other hosts, and
// adds up those of its region to decide how much load goes to other regions.
func (h *Handler) RouteDemand() map[string]float64 {
	return h.routeRates.perSecond(h.now())
}

// BoundRouteDemand returns the same for requests that only some regions may serve, among them that of
// this host.
func (h *Handler) BoundRouteDemand() map[string]float64 {
	return h.boundRouteRates.perSecond(h.now())
}

func (r *routeRates) perSecond(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	perSecond := make(map[string]float64, len(r.rates))
	for route, routeRate := range r.rates {
		if current := routeRate.PerSecond(now); current >= minReportedRate {
			perSecond[route] = current
		}
	}
	return perSecond
}

// keep forgets the rates of all other routes.
func (r *routeRates) keep(routes map[string]struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.rates, func(route string, _ *meter.Rate) bool {
		_, isKept := routes[route]
		return !isKept
	})
}
