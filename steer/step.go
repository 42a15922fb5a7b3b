package steer

import (
	"math"

	"trefoilline.example/trefoilline/table"
)

// change is a route's way from its settled weights to its target.
type change struct {
	service string
	settled Weights
	target  Weights
	// rate is the route's requests per second; zero if not known.
	rate float64
	// parts is the traffic that the whole way moves.
	parts map[pair]float64
}

// partUnderCaps returns how much of the way one step may go, so that the
// requests of all changes together stay under the caps between the regions. It
// is above 1 if the caps allow more than the way.
func (c change) partUnderCaps(all []change, links []table.Link) float64 {
	part := math.Inf(1)
	for direction := range c.parts {
		part = min(part, c.partUnderCap(direction, all, links))
	}
	return part
}

func (c change) partUnderCap(direction pair, all []change, links []table.Link) float64 {
	limit := shiftCap(links, direction)
	if limit <= 0 {
		return 0
	}
	if c.rate <= 0 {
		return blindStep
	}
	moved := 0.0
	for _, other := range all {
		moved += other.rate * other.parts[direction]
	}
	return limit / moved
}

// partUnderRoom returns how much of the way one step may go, so that the
// regions that gain have free slots for it.
func (c change) partUnderRoom(reports []Report) float64 {
	running := 0.0
	for _, x := range c.target {
		running += float64(room(reports, c.service, x.Region).Running)
	}
	part := 1.0
	for _, x := range c.target {
		gain := (x.Weight - c.settled.Of(x.Region)) * running
		r := room(reports, c.service, x.Region)
		if gain <= 0 || r.Slots == 0 {
			continue
		}
		part = min(part, RoomMargin*float64(r.Slots-r.Running)/gain)
	}
	return part
}

// shiftCap returns the cap between the regions in requests per second; zero if
// the table has no such link, since nothing may move over none.
func shiftCap(links []table.Link, direction pair) float64 {
	for _, l := range links {
		if l.From == direction.from && l.To == direction.to {
			return l.ShiftCap
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
