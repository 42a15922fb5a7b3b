package steer

// Report returns what this host measured, but for its name and the rooms,
// which others know.
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
		r.advance(s, now)
		report.StepHeld = report.StepHeld && s.held
		report.MovesTried += s.hold.tried
		report.MovesDenied += s.hold.denied
		report.RegionLost = report.RegionLost || s.anyLost()
		report.Routes = append(report.Routes, RouteRate{
			Route: s.name,
			Rate:  total(s.demand.rates(now)),
		})
	}
	return report
}

// Violations returns how many invariants were broken so far.
func (r *Router) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// stepRate returns the requests per second that one step of the evacuation may
// move from this host: its part of what the caps allow all hosts, shared with
// the other routes that lost the region.
func (r *Router) stepRate(s *routeState, e *evacuation) float64 {
	own := total(e.demand)
	flow := r.flowTo(e.region)
	if flow <= 0 {
		return blindStep * own
	}
	part := 1.0
	for _, x := range r.rest(s, e.share, e.region).normal() {
		if x.Weight > 0 {
			part = min(part, r.shiftCap(e, x.Region)/(flow*x.Weight))
		}
	}
	return part * own
}

// flowTo returns the requests per second, over all hosts, of the routes to which
// the region was lost, as last known.
func (r *Router) flowTo(region string) float64 {
	flow := 0.0
	for _, p := range r.plan.Routes {
		s := r.routes[p.Route]
		if s != nil && s.evacuations[region] != nil {
			flow += p.Rate * p.Effective.Of(region)
		}
	}
	return flow
}

// shiftCap returns the cap on the evacuation's moves out of or back from the
// region that helps.
func (r *Router) shiftCap(e *evacuation, other string) float64 {
	if e.back {
		return shiftCap(r.links, pair{other, e.region})
	}
	return shiftCap(r.links, pair{e.region, other})
}

// anyLost reports whether a region that the route uses is lost.
func (s *routeState) anyLost() bool {
	for region := range s.evacuations {
		if s.lost(region) && s.effective.Of(region) > 0 {
			return true
		}
	}
	return false
}
