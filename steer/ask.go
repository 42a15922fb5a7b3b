package steer

// Report returns what this host measured, after bringing the steps of all
// routes and evacuations up to date. The caller adds the name of the host and
// the slot usage, which the router does not know.
func (r *Router) Report() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	report := Report{
		Region:     r.Region,
		MeasuredAt: now,
		Step:       r.plan.Step,
		StepHeld:   true,
	}
	for _, s := range r.routes {
		r.advanceRoute(s, now)
		report.StepHeld = report.StepHeld && s.stepHeld
		report.MovesTried += s.tracker.movesTried
		report.MovesRejected += s.tracker.movesDenied
		report.RegionLost = report.RegionLost || s.usesLostRegion()
		report.Routes = append(report.Routes, RouteRate{
			Route: s.name,
			Rate:  sumRates(s.demand.rates(now)),
		})
	}
	return report
}

// ViolationCount returns the number of broken invariants so far.
func (r *Router) ViolationCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// evacuationStepRate returns the requests per second that one step of the
// evacuation may move on this host: its share of what the shift caps allow
// all hosts, divided among all routes that have lost the region.
func (r *Router) evacuationStepRate(s *routeState, e *evacuation) float64 {
	hostDemand := sumRates(e.demandByTeam)
	lostRate := r.lostRegionRate(e.region)
	if lostRate <= 0 {
		return unknownRateStepShare * hostDemand
	}
	share := 1.0
	for _, x := range r.remainingWeights(s, e.tableWeights, e.region).normalized() {
		if x.Weight > 0 {
			share = min(share, r.evacuationShiftCap(e, x.Region)/(lostRate*x.Weight))
		}
	}
	return share * hostDemand
}

// lostRegionRate returns the last known requests per second, over all hosts,
// that the routes with an evacuation of the region sent there.
func (r *Router) lostRegionRate(region string) float64 {
	rate := 0.0
	for _, routePlan := range r.plan.Routes {
		s := r.routes[routePlan.Route]
		if s != nil && s.evacuations[region] != nil {
			rate += routePlan.Rate * routePlan.Effective.Of(region)
		}
	}
	return rate
}

// evacuationShiftCap returns the shift cap from the evacuated region to the
// other one, or the cap on the way back if the region takes its traffic back.
func (r *Router) evacuationShiftCap(e *evacuation, other string) float64 {
	if e.returning {
		return shiftCap(r.links, regionPair{other, e.region})
	}
	return shiftCap(r.links, regionPair{e.region, other})
}

// usesLostRegion reports whether a region with weight for the route is lost.
func (s *routeState) usesLostRegion() bool {
	for region := range s.evacuations {
		if s.isLost(region) && s.effective.Of(region) > 0 {
			return true
		}
	}
	return false
}
