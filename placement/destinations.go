package placement

import "slices"

// minDestinationFactor keeps the servers of a region in the ranking that gets no requests of other
// regions by plan, so that they are used if no other server accepts the request.
const minDestinationFactor = 1e-6

// SetDestinations sets the weights of the regions that serve what leaves this region, by service.
// Regions of a service that has none get requests in proportion to their slots.
//
// A weight changes the scores of all servers of a region in the ranking of each key, so that a
// change of weights moves only as many keys as it must, and all hosts of the region find the same
// servers for a key.
func (p *Pool) SetDestinations(weights map[string]map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, svc := range p.services {
		svc.destinations = destinationFactors(weights[name], svc.servers, p.Region)
	}
}

// destinationFactors returns by what the scores of a region's servers are multiplied so that the
// region gets its weight: 1 for the region with the highest weight for its slots.
func destinationFactors(weights map[string]float64, servers []*server, ownRegion string) map[string]float64 {
	if len(weights) == 0 {
		return nil
	}
	slots := make(map[string]float64)
	for _, s := range servers {
		if s.Region != ownRegion && s.isUsable() {
			slots[s.Region] += float64(s.Slots)
		}
	}
	highest := 0.0
	for region, n := range slots {
		highest = max(highest, weights[region]/n)
	}
	if highest == 0 {
		return nil
	}
	factors := make(map[string]float64, len(slots))
	for region, n := range slots {
		factors[region] = max(minDestinationFactor, weights[region]/n/highest)
	}
	return factors
}

// destinationFactor returns by what the score of a server is multiplied.
func (svc *serviceState) destinationFactor(s *server) float64 {
	if factor, isSet := svc.destinations[s.Region]; isSet {
		return factor
	}
	return 1
}

// rankByDestination returns the given servers of other regions, which are ranked, in the order of
// their scores with the weights of the regions. The result is valid until the next call.
func (svc *serviceState) rankByDestination(ranked []scoredServer) []scoredServer {
	if len(svc.destinations) == 0 {
		return ranked
	}
	svc.weighted = append(svc.weighted[:0], ranked...)
	for i := range svc.weighted {
		svc.weighted[i].score *= svc.destinationFactor(svc.weighted[i].server)
	}
	slices.SortFunc(svc.weighted, compareScores)
	return svc.weighted
}
