package bufferproxy

import (
	"maps"
	"sync"

	"trefoilline.example/trefoilline/routing"
)

// weightedRoundRobin distributes the requests of each route among its destinations by
// smooth weighted round robin, so that the fractions match the weights at all times and
// not only on average. It is safe for concurrent use.
type weightedRoundRobin struct {
	mu sync.Mutex
	// currentWeights holds the current weight of each destination. Every request adds
	// to it the destination's weight from the configuration. The destination with the
	// highest current weight gets the request, and its current weight is reduced by
	// the sum of all weights.
	currentWeights map[destinationKey]float64
}

type destinationKey struct {
	route   string
	service string
}

// keep forgets the weights of all other routes.
func (w *weightedRoundRobin) keep(routes map[string]struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	maps.DeleteFunc(w.currentWeights, func(key destinationKey, _ float64) bool {
		_, isKept := routes[key.route]
		return !isKept
	})
}

// nextService returns the service that gets the next request of the route.
func (w *weightedRoundRobin) nextService(route *routing.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.currentWeights == nil {
		w.currentWeights = make(map[destinationKey]float64)
	}
	var best destinationKey
	totalWeight := 0.0
	for _, d := range route.Destinations {
		key := destinationKey{
			route:   route.Name,
			service: d.Service,
		}
		totalWeight += d.Weight
		w.currentWeights[key] += d.Weight
		if best.service == "" || w.currentWeights[key] > w.currentWeights[best] {
			best = key
		}
	}
	w.currentWeights[best] -= totalWeight
	return best.service
}
