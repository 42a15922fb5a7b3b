package steer

import "time"

// Decide chooses the region of a request and takes the tokens that it needs.
// The errors are [NoRegionError], [RegionLostError] and [LimitError]; with each of
// them the request was not run.
func (r *Router) Decide(q Request) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	state := r.routes[q.Route]
	if state == nil {
		return Decision{}, &NoRegionError{
			Route: q.Route,
		}
	}
	r.advance(state, now)
	state.demand.count(q.Team, now)
	from, to := r.places(state, q)
	if to.region == "" {
		return Decision{}, state.refusal(to)
	}
	d, err := r.take(state, from, to, now)
	if err != nil {
		return Decision{}, err
	}
	r.check(state, from, d)
	return d, nil
}

// spot is a place for a request.
type spot struct {
	// region is where the request goes; empty if its region is lost and it may
	// not go elsewhere yet.
	region string
	// evacuation is the one that the request is subject to, if any.
	evacuation *evacuation
}

// places returns where the request went before the steps in force and where it
// goes with them.
func (r *Router) places(s *routeState, q Request) (from, to spot) {
	to = r.spot(s, s.effective, q, func(e *evacuation) float64 { return e.level })
	if s.same && to.evacuation == nil {
		return to, to
	}
	from = r.spot(s, s.settled, q, func(e *evacuation) float64 { return e.settled })
	return from, to
}

// spot places the request by the weights and by how far lost regions are
// evacuated.
func (r *Router) spot(s *routeState, w Weights, q Request, level func(*evacuation) float64) spot {
	region := w.PickRegion(q.Hash)
	e := s.evacuations[region]
	if e == nil {
		return spot{
			region: region,
		}
	}
	if e.over(q, level(e)) {
		region = r.rest(s, e.share, region).PickRegion(q.Hash)
	} else if !e.back {
		region = ""
	}
	return spot{
		region:     region,
		evacuation: e,
	}
}

// rest returns the weights of the regions that can take the traffic of a lost
// one: those that are not lost and that a link leads to.
func (r *Router) rest(s *routeState, w Weights, lost string) Weights {
	return w.without(func(region string) bool {
		if region == lost || s.lost(region) {
			return true
		}
		return shiftCap(r.links, pair{lost, region}) <= 0
	})
}

// lost reports whether the region is lost to the route.
func (s *routeState) lost(region string) bool {
	e := s.evacuations[region]
	return e != nil && !e.back
}

// refusal returns the error for a request that has no place.
func (s *routeState) refusal(to spot) error {
	if to.evacuation == nil {
		return &NoRegionError{
			Route: s.name,
		}
	}
	return &RegionLostError{
		Service: s.service,
		Region:  to.evacuation.region,
	}
}

// take takes the tokens for the move and the crossing. A request that may not
// move stays where it was, if that region is not lost.
func (r *Router) take(s *routeState, from, to spot, now time.Time) (Decision, error) {
	old := from.region
	if old == "" {
		old = from.evacuation.region
	}
	if old == to.region {
		return r.cross(s, to.region, "")
	}
	if err := r.takeShift(s, old, to, now); err != nil {
		if s.lost(old) {
			return Decision{}, err
		}
		return r.cross(s, old, "")
	}
	return r.cross(s, to.region, old)
}

// takeShift takes the token of a move and counts it for the step.
func (r *Router) takeShift(s *routeState, old string, to spot, now time.Time) error {
	cost := 1.0
	if to.evacuation != nil {
		cost = to.evacuation.cost(now)
	}
	err := r.takeTokens(ShiftLimitName(old, to.region), cost)
	if to.evacuation != nil {
		to.evacuation.hold.count(err != nil)
	} else {
		s.hold.count(err != nil)
	}
	return err
}

// cross takes the token of the link, if the request needs one.
func (r *Router) cross(s *routeState, region, from string) (Decision, error) {
	d := Decision{
		Service:        s.service,
		Region:         region,
		MovedFrom:      from,
		CrossesRegions: region != r.Region,
	}
	if !d.CrossesRegions {
		return d, nil
	}
	if err := r.takeTokens(LinkLimitName(r.Region, region), 1); err != nil {
		return Decision{}, err
	}
	return d, nil
}

func (r *Router) takeTokens(name string, count float64) error {
	if r.Limiter == nil {
		return nil
	}
	switch taken := r.Limiter.Take(name, count).(type) {
	case Denied:
		return &LimitError{
			Limit:      name,
			RetryAfter: taken.RetryAfter,
		}
	default:
		return nil
	}
}

// check asserts what must hold of each decision.
func (r *Router) check(s *routeState, from spot, d Decision) {
	if s.lost(d.Region) {
		r.report(LostChosen{
			Route:  s.name,
			Region: d.Region,
		})
	}
	if d.Region != from.region && d.MovedFrom == "" {
		r.report(UncountedMove{
			Route: s.name,
			From:  from.region,
			To:    d.Region,
		})
	}
}

// advance takes the next steps of the route that are due.
func (r *Router) advance(s *routeState, now time.Time) {
	s.advance(now)
	for region, e := range s.evacuations {
		if e.hold.due(now) {
			e.advance(r.stepRate(s, e), now)
		}
		if e.done() {
			delete(s.evacuations, region)
		}
	}
}
