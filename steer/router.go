package steer

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/table"
)

// Router decides the region of each request on one entry host. It is safe for
// concurrent use. The zero value decides nothing until it has a table.
type Router struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Region is the entry host's own region.
	Region string
	// Limiter holds the shift and link limits; nil means that none is enforced.
	Limiter Limiter
	// OnViolation is told of each broken invariant, with the router locked.
	OnViolation func(Violation)

	mu         sync.Mutex
	plan       Plan
	links      []table.Link
	weights    map[string]float64
	routes     map[string]*routeState
	violations int
}

// routeState is a route on this host.
type routeState struct {
	name    string
	service string
	// share is the route's weights over the entry hosts of all regions.
	share Weights
	// settled is where the traffic went before the step in force.
	settled   Weights
	effective Weights
	hold      hold
	// held says that the step held on this host.
	held bool
	// final says that the plan in force has nothing left to settle.
	final bool
	// same says that the settled weights are the effective ones.
	same   bool
	demand demand
	// evacuations are those of lost regions and of regions that fill again.
	evacuations map[string]*evacuation
}

// SetTable takes the links and the teams' weights of the table in force.
// Routes come with the plan.
func (r *Router) SetTable(t table.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = t.Links
	r.weights = make(map[string]float64, len(t.Teams))
	for _, team := range t.Teams {
		r.weights[team.Name] = team.Weight
	}
}

// SetPlan puts a plan in force, unless the host has it or a later one. A step
// settles when it held on this host and the plan says that it held on all; until
// then its requests count as moved. A new host or route starts from the plan's
// settled weights.
func (r *Router) SetPlan(plan Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if plan.Step <= r.plan.Step {
		return
	}
	now := r.now()
	routes := make(map[string]*routeState, len(plan.Routes))
	for _, p := range plan.Routes {
		if p.Origin != "" && p.Origin != r.Region {
			continue
		}
		state := r.routes[p.Route]
		if state == nil {
			state = &routeState{
				name:    p.Route,
				settled: p.Settled,
			}
		}
		state.follow(p, plan.Step == r.plan.Step+1, now)
		routes[p.Route] = state
	}
	r.routes = routes
	r.plan = plan
}

// SetRegionLost says whether the region is lost to the service, as the host's own
// requests show.
func (r *Router) SetRegionLost(service, region string, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, state := range r.routes {
		if state.service != service {
			continue
		}
		e := state.evacuations[region]
		if e == nil && lost {
			e = state.evacuate(region, r.weights, now)
			e.step(r.stepRate(state, e), now)
		}
		if e != nil {
			r.turn(state, e, !lost, now)
		}
	}
}

// turn changes the direction of an evacuation, if it is the other one.
func (r *Router) turn(s *routeState, e *evacuation, back bool, now time.Time) {
	if e.back == back {
		return
	}
	e.turn(back, now)
	e.step(r.stepRate(s, e), now)
}

// follow takes the route's part of a plan. If the plan comes right after the one
// in force, and that has held here, the host knows what has settled.
func (s *routeState) follow(p RoutePlan, direct bool, now time.Time) {
	s.advance(now)
	if s.held && direct {
		s.settled = p.Settled
	}
	s.service = p.Service
	s.share = p.TableWeights
	s.effective = p.Effective
	s.final = p.Settled.Equal(p.Effective)
	s.same = s.settled.Equal(s.effective)
	s.held = false
	s.hold.restart(now)
	s.advance(now)
}

// advance notes when the step in force has held. It settles with the next plan;
// if this plan is the last, on the host's own count of granted moves.
func (s *routeState) advance(now time.Time) {
	s.held = s.held || s.same || s.hold.due(now)
	if s.same || !s.final || !s.hold.due(now) {
		return
	}
	s.settled = s.settled.towards(s.effective, s.hold.granted())
	s.same = s.settled.Equal(s.effective)
	s.hold.restart(now)
}

// evacuate begins to move the route's traffic out of the region.
func (s *routeState) evacuate(region string, weights map[string]float64, now time.Time) *evacuation {
	demand := s.demand.rates(now)
	for team := range demand {
		demand[team] *= s.effective.Of(region)
	}
	e := &evacuation{
		region:  region,
		share:   s.share,
		since:   now,
		demand:  demand,
		weights: weights,
	}
	if s.evacuations == nil {
		s.evacuations = make(map[string]*evacuation)
	}
	s.evacuations[region] = e
	return e
}

func (r *Router) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock()
}

func (r *Router) report(v Violation) {
	r.violations++
	if r.OnViolation != nil {
		r.OnViolation(v)
	}
}
