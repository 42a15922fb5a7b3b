package placement

import (
	"maps"
	"math"
	"slices"
)

// minDestinationFactor keeps the servers of a region in the ranking that gets no requests of other
// regions by plan, so that they are used if no other server accepts the request.
const minDestinationFactor = 1e-6

// destinationStep is to what the factors are rounded, so that small changes of the weights don't sort
// the rankings of all keys again.
const destinationStep = 1.0 / 64

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
		factors := destinationFactors(weights[name], svc.servers, p.Region)
		if !maps.Equal(factors, svc.destinations) {
			svc.destinations = factors
			svc.destinationsGeneration++
		}
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
		factor := math.Round(weights[region]/n/highest/destinationStep) * destinationStep
		factors[region] = max(minDestinationFactor, factor)
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

// rankByDestination sorts ranked servers of other regions by their scores with the weights of the
// regions.
func (svc *serviceState) rankByDestination(ranked []scoredServer) {
	weighted := func(r scoredServer) scoredServer {
		r.score *= svc.destinationFactor(r.server)
		return r
	}
	slices.SortFunc(ranked, func(a, b scoredServer) int { return compareScores(weighted(a), weighted(b)) })
}

// remoteRanking returns the servers of other regions in the order of their scores with the weights of
// the regions. It sorts them again only after a change of the weights.
func (svc *serviceState) remoteRanking(ranking *keyRanking) []scoredServer {
	if ranking.destinationsGeneration != svc.destinationsGeneration {
		svc.rankByDestination(ranking.remote)
		ranking.destinationsGeneration = svc.destinationsGeneration
	}
	return ranking.remote
}
