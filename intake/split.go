package intake

import (
	"sync"

	"trefoilline.example/trefoilline/routing"
)

// splits deals the requests of each route to its destinations, so that their
// parts follow the weights at all times: smooth weighted round robin.
type splits struct {
	mu sync.Mutex
	// credit holds what each destination of a route is owed, by route and
	// service.
	credit map[splitKey]float64
}

type splitKey struct {
	route   string
	service string
}

// choose returns the service of the next request.
func (s *splits) choose(route *routing.Route) string {
	if len(route.Destinations) == 1 {
		return route.Destinations[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit == nil {
		s.credit = make(map[splitKey]float64)
	}
	var best splitKey
	total := 0.0
	for _, d := range route.Destinations {
		key := splitKey{
			route:   route.Name,
			service: d.Service,
		}
		total += d.Weight
		s.credit[key] += d.Weight
		if best.service == "" || s.credit[key] > s.credit[best] {
			best = key
		}
	}
	s.credit[best] -= total
	return best.service
}
