package steer

import (
	"math"

	"trefoilline.example/trefoilline/table"
)

// change is a route's way from its settled weights to its target.
type change struct {
	route   string
	service string
	settled Weights
	target  Weights
	// parts is the traffic that the whole way moves.
	parts map[pair]float64
}

// changes is the ways of all routes, with what they move in all.
type changes struct {
	list []change
	// moved is in requests per second.
	moved map[pair]float64
	// flows is each route's requests per second; zero if not known.
	flows map[string]float64
	// gains is what regions gain of a route, in requests per second.
	gains map[routeKey]float64
}

// newChanges returns the changes of the routes to their targets.
func newChanges(routes []RoutePlan, targets []Weights) changes {
	c := changes{
		moved: make(map[pair]float64),
		flows: make(map[string]float64),
		gains: make(map[routeKey]float64),
	}
	for i, r := range routes {
		c.add(r, targets[i])
	}
	return c
}

func (c *changes) add(r RoutePlan, target Weights) {
	parts := movedParts(r.Settled, target)
	for direction, part := range parts {
		c.moved[direction] += r.Rate * part
	}
	c.flows[r.Route] += r.Rate
	for _, x := range target {
		c.gains[gainOf(r.Route, x.Region)] += r.Rate * (x.Weight - r.Settled.Of(x.Region))
	}
	c.list = append(c.list, change{
		route:   r.Route,
		service: r.Service,
		settled: r.Settled,
		target:  target,
		parts:   parts,
	})
}

// gainOf is the key of what the region gains of the route.
func gainOf(route, region string) routeKey {
	return routeKey{
		route:  route,
		origin: region,
	}
}

// partUnderCaps returns how much of its way the change may go in one step, so
// that the requests of all changes together stay under the caps between the
// regions. It is above 1 if the caps allow more than the way.
func (c changes) partUnderCaps(one change, links []table.Link) float64 {
	part := math.Inf(1)
	for direction := range one.parts {
		part = min(part, c.partUnderCap(one, direction, links))
	}
	return part
}

func (c changes) partUnderCap(one change, direction pair, links []table.Link) float64 {
	limit := shiftCap(links, direction)
	if limit <= 0 {
		return 0
	}
	if c.flows[one.route] <= 0 {
		return blindStep
	}
	return limit / c.moved[direction]
}

// partUnderRoom returns how much of its way the change may go in one step, so
// that the regions that gain have free slots for it.
func (c changes) partUnderRoom(one change, measured sums) float64 {
	running := 0.0
	for _, x := range one.target {
		running += float64(measured.room(one.service, x.Region).Running)
	}
	part := 1.0
	for _, x := range one.target {
		gain := c.gain(one, x.Region) * running
		room := measured.room(one.service, x.Region)
		if gain <= 0 || room.Slots == 0 {
			continue
		}
		part = min(part, MaxFreeSlotShare*float64(room.Slots-room.Running)/gain)
	}
	return part
}

// gain returns how much the region's part of the route's traffic grows in all.
func (c changes) gain(one change, region string) float64 {
	if flow := c.flows[one.route]; flow > 0 {
		return c.gains[gainOf(one.route, region)] / flow
	}
	return one.target.Of(region) - one.settled.Of(region)
}

// shiftCap returns the cap between the regions in requests per second; zero if
// the table has no such link, since nothing may move over none.
func shiftCap(links []table.Link, direction pair) float64 {
	for _, l := range links {
		if l.From == direction.from && l.To == direction.to {
			return l.MaxShiftRate
		}
	}
	return 0
}

// towards returns the weights after the part of the way from w to the target.
func (w Weights) towards(target Weights, part float64) Weights {
	if part >= 1 {
		return target
	}
	result := make(Weights, 0, len(w))
	for _, region := range regions(w, target) {
		from, to := w.Of(region), target.Of(region)
		result = append(result, table.Weight{
			Region: region,
			Weight: from + part*(to-from),
		})
	}
	return result.normal()
}
