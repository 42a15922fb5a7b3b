package intake

import (
	"sync"

	"trefoilline.example/trefoilline/routing"
)

// weightedRoundRobin distributes the requests of each route among its destinations by
// smooth weighted round robin, so that the fractions match the weights at all times and
// not only on average. It is safe for concurrent use.
type weightedRoundRobin struct {
	mu sync.Mutex
	// credits holds the running credit of each destination: every request adds the
	// destination's weight, and the destination that gets the request pays the sum of
	// all weights.
	credits map[destinationKey]float64
}

type destinationKey struct {
	route   string
	service string
}

// next returns the service that gets the next request of the route.
func (b *weightedRoundRobin) next(route *routing.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.credits == nil {
		b.credits = make(map[destinationKey]float64)
	}
	var best destinationKey
	totalWeight := 0.0
	for _, d := range route.Destinations {
		key := destinationKey{
			route:   route.Name,
			service: d.Service,
		}
		totalWeight += d.Weight
		b.credits[key] += d.Weight
		if best.service == "" || b.credits[key] > b.credits[best] {
			best = key
		}
	}
	b.credits[best] -= totalWeight
	return best.service
}
