package steer

import "time"

// Decide chooses the region of a request and takes the tokens that the
// request needs. It returns a [NoRegionError], [RegionLostError] or
// [LimitError]; after each of them the request was not run.
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
	r.advanceRoute(state, now)
	state.demand.countRequest(q.Team, now)
	from, to := r.chooseRegions(state, q)
	if to.region == "" {
		return Decision{}, state.refusalError(to)
	}
	d, err := r.decideWithinLimits(state, from, to, now)
	if err != nil {
		return Decision{}, err
	}
	r.checkInvariants(state, from, d)
	return d, nil
}

// regionChoice is the region chosen for a request.
type regionChoice struct {
	// region is where the request goes. It is empty if no region has weight,
	// or if the region is lost and the request may not go elsewhere yet.
	region string
	// evacuation is the evacuation that applies to the request, or nil.
	evacuation *evacuation
}

// chooseRegions returns where the request went before the latest steps and
// where it goes since them.
func (r *Router) chooseRegions(s *routeState, q Request) (from, to regionChoice) {
	to = r.chooseRegion(s, s.effective, q, func(e *evacuation) float64 { return e.fairRate })
	if s.hostSettled && to.evacuation == nil {
		return to, to
	}
	from = r.chooseRegion(s, s.settled, q, func(e *evacuation) float64 { return e.settledFairRate })
	return from, to
}

// chooseRegion picks the region by the weights. If that region is being
// evacuated, the request goes to another region when its team's moved share
// at the fair rate from fairRateOf covers it.
func (r *Router) chooseRegion(s *routeState, weights Weights, q Request, fairRateOf func(*evacuation) float64) regionChoice {
	region := weights.PickRegion(q.Hash)
	e := s.evacuations[region]
	if e == nil {
		return regionChoice{
			region: region,
		}
	}
	if e.isMoved(q, fairRateOf(e)) {
		region = r.remainingWeights(s, e.tableWeights, region).PickRegion(q.Hash)
	} else if !e.returning {
		region = ""
	}
	return regionChoice{
		region:     region,
		evacuation: e,
	}
}

// remainingWeights returns the weights of the regions that can take the
// traffic of a lost one: those that are not lost themselves and to which a
// link leads from the lost region.
func (r *Router) remainingWeights(s *routeState, weights Weights, lostRegion string) Weights {
	return weights.zeroed(func(region string) bool {
		if region == lostRegion || s.isLost(region) {
			return true
		}
		return shiftCap(r.links, regionPair{lostRegion, region}) <= 0
	})
}

// isLost reports whether the region is lost to the route.
func (s *routeState) isLost(region string) bool {
	e := s.evacuations[region]
	return e != nil && !e.returning
}

// refusalError returns the error for a request that no region may serve.
func (s *routeState) refusalError(to regionChoice) error {
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

// decideWithinLimits returns the decision after taking the tokens that the
// request needs to move and to cross a link. A request that gets no token to
// move stays in its old region, unless that region is lost.
func (r *Router) decideWithinLimits(s *routeState, from, to regionChoice, now time.Time) (Decision, error) {
	oldRegion := from.region
	if oldRegion == "" {
		// The old region is lost and the request was not moved before this step.
		oldRegion = from.evacuation.region
	}
	if oldRegion == to.region {
		return r.newDecision(s, to.region, "")
	}
	if err := r.takeShiftTokens(s, oldRegion, to, now); err != nil {
		if s.isLost(oldRegion) {
			return Decision{}, err
		}
		return r.newDecision(s, oldRegion, "")
	}
	return r.newDecision(s, to.region, oldRegion)
}

// takeShiftTokens takes the tokens of a move and counts the move for the
// step.
func (r *Router) takeShiftTokens(s *routeState, oldRegion string, to regionChoice, now time.Time) error {
	cost := 1.0
	if to.evacuation != nil {
		cost = to.evacuation.tokenCost(now)
	}
	err := r.takeTokens(ShiftLimitName(oldRegion, to.region), cost)
	if to.evacuation != nil {
		to.evacuation.tracker.countMove(err != nil)
	} else {
		s.tracker.countMove(err != nil)
	}
	return err
}

// newDecision returns the decision for the region, after taking the token of
// the link if the region is not that of this host. The parameter movedFrom is
// empty if the request was not moved.
func (r *Router) newDecision(s *routeState, region, movedFrom string) (Decision, error) {
	d := Decision{
		Service:        s.service,
		Region:         region,
		MovedFrom:      movedFrom,
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
	switch result := r.Limiter.Take(name, count).(type) {
	case Rejected:
		return &LimitError{
			Limit:      name,
			RetryAfter: result.RetryAfter,
		}
	default:
		return nil
	}
}

// checkInvariants reports violations of what must hold for each decision.
func (r *Router) checkInvariants(s *routeState, from regionChoice, d Decision) {
	if s.isLost(d.Region) {
		r.reportViolation(LostChosen{
			Route:  s.name,
			Region: d.Region,
		})
	}
	if d.Region != from.region && d.MovedFrom == "" {
		r.reportViolation(UncountedMove{
			Route: s.name,
			From:  from.region,
			To:    d.Region,
		})
	}
}

// advanceRoute updates the latest step of the route. It also takes the next
// step of each evacuation whose latest step has been in force for
// StepHoldTime, and removes finished evacuations.
func (r *Router) advanceRoute(s *routeState, now time.Time) {
	s.updateStep(now)
	for region, e := range s.evacuations {
		if e.tracker.isHoldTimeOver(now) {
			e.advance(r.evacuationStepRate(s, e), now)
		}
		if e.isDone() {
			delete(s.evacuations, region)
		}
	}
}
