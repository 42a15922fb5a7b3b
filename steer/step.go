package steer

import (
	"math"

	"trefoilline.example/trefoilline/table"
)

// routeChange is the change of a route's weights from settled to target.
type routeChange struct {
	route   string
	service string
	settled Weights
	target  Weights
	// movedShares is the share of the route's traffic that the whole change
	// moves in each direction.
	movedShares map[regionPair]float64
}

// routeChanges holds the changes of all routes and the traffic that they move
// together.
type routeChanges struct {
	changes []routeChange
	// movedRates is the requests per second that all changes together move in
	// each direction.
	movedRates map[regionPair]float64
	// routeRates is each route's requests per second; zero if not known.
	routeRates map[string]float64
	// regionGains is the requests per second of a route that a region gains
	// from all origins, negative if it loses some.
	regionGains map[routeRegion]float64
}

// newRouteChanges returns the changes of the routes to their target weights.
func newRouteChanges(routes []RoutePlan, targetWeights []Weights) routeChanges {
	changes := routeChanges{
		movedRates:  make(map[regionPair]float64),
		routeRates:  make(map[string]float64),
		regionGains: make(map[routeRegion]float64),
	}
	for i, r := range routes {
		changes.add(r, targetWeights[i])
	}
	return changes
}

func (c *routeChanges) add(routePlan RoutePlan, target Weights) {
	shares := movedShares(routePlan.Settled, target)
	for direction, movedShare := range shares {
		c.movedRates[direction] += routePlan.Rate * movedShare
	}
	c.routeRates[routePlan.Route] += routePlan.Rate
	for _, x := range target {
		c.regionGains[gainKey(routePlan.Route, x.Region)] += routePlan.Rate * (x.Weight - routePlan.Settled.Of(x.Region))
	}
	c.changes = append(c.changes, routeChange{
		route:       routePlan.Route,
		service:     routePlan.Service,
		settled:     routePlan.Settled,
		target:      target,
		movedShares: shares,
	})
}

// gainKey returns the key in regionGains for the gaining region.
func gainKey(route, region string) routeRegion {
	return routeRegion{
		route:  route,
		region: region,
	}
}

// stepShareUnderCaps returns the share of the change that one step may take,
// so that the moved requests of all changes together stay under the shift
// caps between the regions. It is above 1 if the caps allow more than the
// whole change.
func (c routeChanges) stepShareUnderCaps(change routeChange, links []table.Link) float64 {
	share := math.Inf(1)
	for direction := range change.movedShares {
		share = min(share, c.stepShareUnderCap(change, direction, links))
	}
	return share
}

func (c routeChanges) stepShareUnderCap(change routeChange, direction regionPair, links []table.Link) float64 {
	limit := shiftCap(links, direction)
	if limit <= 0 {
		return 0
	}
	if c.routeRates[change.route] <= 0 {
		return unknownRateStepShare
	}
	return limit / c.movedRates[direction]
}

// stepShareUnderFreeSlots returns the share of the change that one step may
// take, so that the gaining regions have free slots for the traffic that they
// gain. The slots that a gain needs are estimated as the gained share times
// the running requests of the service. The result is at most 1.
func (c routeChanges) stepShareUnderFreeSlots(change routeChange, measured reportTotals) float64 {
	running := 0.0
	for _, x := range change.target {
		running += float64(measured.slotUsage(change.service, x.Region).Running)
	}
	share := 1.0
	for _, x := range change.target {
		gain := c.shareGain(change, x.Region) * running
		usage := measured.slotUsage(change.service, x.Region)
		if gain <= 0 || usage.Slots == 0 {
			continue
		}
		share = min(share, MaxFreeSlotShare*float64(usage.Slots-usage.Running)/gain)
	}
	return share
}

// shareGain returns by how much the region's share of the route's traffic
// grows over the whole change, over all origins.
func (c routeChanges) shareGain(change routeChange, region string) float64 {
	if rate := c.routeRates[change.route]; rate > 0 {
		return c.regionGains[gainKey(change.route, region)] / rate
	}
	return change.target.Of(region) - change.settled.Of(region)
}

// shiftCap returns the shift cap from one region to the other in requests per
// second. It is zero if the table has no such link, since no request may move
// without a link.
func shiftCap(links []table.Link, direction regionPair) float64 {
	for _, l := range links {
		if l.From == direction.from && l.To == direction.to {
			return l.MaxShiftRate
		}
	}
	return 0
}

// interpolate returns the weights at the given share of the way from w to the
// target.
func (w Weights) interpolate(target Weights, share float64) Weights {
	if share >= 1 {
		return target
	}
	result := make(Weights, 0, len(w))
	for _, region := range regionNames(w, target) {
		from, to := w.Of(region), target.Of(region)
		result = append(result, table.Weight{
			Region: region,
			Weight: from + share*(to-from),
		})
	}
	return result.normalized()
}
