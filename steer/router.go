package steer

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/table"
)

// Router decides the region of each request on one entry host. It is safe for
// concurrent use. The zero value has no routes; [Router.SetTable] and
// [Router.SetPlan] supply the configuration.
type Router struct {
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Region is the entry host's own region.
	Region string
	// Limiter grants tokens of the fleet-wide shift and link limits; nil
	// means that no limit is enforced.
	Limiter Limiter
	// OnViolation is called for each violated invariant while the router is
	// locked, so it must not call the router; nil means that violations are
	// only counted.
	OnViolation func(Violation)

	mu          sync.Mutex
	plan        Plan
	links       []table.Link
	teamWeights map[string]float64
	routes      map[string]*routeState
	violations  int
}

// routeState is the state of one route on this host.
type routeState struct {
	name    string
	service string
	// tableWeights are the weights of the table for the route, the same for
	// all entry hosts.
	tableWeights Weights
	// settled are the weights before the latest step. A request that goes to
	// another region than these weights say counts as moved.
	settled Weights
	// effective are the weights since the latest step.
	effective Weights
	// tracker counts the moves of the latest step.
	tracker stepTracker
	// stepHeld says that the latest step has been in force for StepHoldTime
	// on this host, or changes nothing here. The next plan may then settle
	// it.
	stepHeld bool
	// planSettled says that the settled weights of the plan in force equal
	// its effective ones.
	planSettled bool
	// hostSettled says that settled equals effective on this host.
	hostSettled bool
	demand      demandCounter
	// evacuations has an entry, by region, for each lost region and for each
	// region that is back but has not all of its traffic yet.
	evacuations map[string]*evacuation
}

// SetTable stores the links and the teams' weights of the table. The routes
// come from the plan ([Router.SetPlan]).
func (r *Router) SetTable(t table.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = t.Links
	r.teamWeights = make(map[string]float64, len(t.Teams))
	for _, team := range t.Teams {
		r.teamWeights[team.Name] = team.Weight
	}
}

// SetPlan puts a plan in force, unless the plan in force has the same or a
// later step number. Until a step has settled, the requests that it moves to
// another region count as moved. A step settles when it has held on this
// host, which means that it has been in force for StepHoldTime, and the next
// plan shows that it held on all hosts. A new host or a new route starts with
// the settled weights of the plan.
func (r *Router) SetPlan(plan Plan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if plan.Step <= r.plan.Step {
		return
	}
	now := r.now()
	routes := make(map[string]*routeState, len(plan.Routes))
	for _, routePlan := range plan.Routes {
		if routePlan.Origin != "" && routePlan.Origin != r.Region {
			continue
		}
		state := r.routes[routePlan.Route]
		if state == nil {
			state = &routeState{
				name:    routePlan.Route,
				settled: routePlan.Settled,
			}
		}
		state.applyPlan(routePlan, plan.Step == r.plan.Step+1, now)
		routes[routePlan.Route] = state
	}
	r.routes = routes
	r.plan = plan
}

// SetRegionLost tells the router whether the region is lost to the service.
// It starts or reverses the evacuation of the region for each route of the
// service. The caller decides from its view of the backend servers when a
// region is lost; the router does not.
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
			e = state.startEvacuation(region, r.teamWeights, now)
			e.takeStep(r.evacuationStepRate(state, e), now)
		}
		if e != nil {
			r.setReturning(state, e, !lost, now)
		}
	}
}

// setReturning changes the direction of an evacuation and takes its first
// step, unless it already goes that way.
func (r *Router) setReturning(s *routeState, e *evacuation, returning bool, now time.Time) {
	if e.returning == returning {
		return
	}
	e.reverse(returning, now)
	e.takeStep(r.evacuationStepRate(s, e), now)
}

// applyPlan applies the route's part of a plan. If the plan is the direct
// successor of the one in force and the latest step has held here, the host
// starts with the plan's settled weights. Otherwise it cannot tell what has
// settled and keeps its own settled weights.
func (s *routeState) applyPlan(routePlan RoutePlan, isNextStep bool, now time.Time) {
	s.updateStep(now)
	if s.stepHeld && isNextStep {
		s.settled = routePlan.Settled
	}
	s.service = routePlan.Service
	s.tableWeights = routePlan.TableWeights
	s.effective = routePlan.Effective
	s.planSettled = routePlan.Settled.Equal(routePlan.Effective)
	s.hostSettled = s.settled.Equal(s.effective)
	s.stepHeld = false
	s.tracker.restart(now)
	s.updateStep(now)
}

// updateStep sets stepHeld when StepHoldTime has passed. If the plan in force
// is itself settled, no further plan may come, so updateStep also settles the
// step on this host, in proportion to the granted moves.
func (s *routeState) updateStep(now time.Time) {
	s.stepHeld = s.stepHeld || s.hostSettled || s.tracker.isHoldTimeOver(now)
	if s.hostSettled || !s.planSettled || !s.tracker.isHoldTimeOver(now) {
		return
	}
	s.settled = s.settled.interpolate(s.effective, s.tracker.grantedShare())
	s.hostSettled = s.settled.Equal(s.effective)
	s.tracker.restart(now)
}

// startEvacuation begins to move the route's traffic out of the region.
func (s *routeState) startEvacuation(region string, teamWeights map[string]float64, now time.Time) *evacuation {
	demandByTeam := s.demand.rates(now)
	for team := range demandByTeam {
		demandByTeam[team] *= s.effective.Of(region)
	}
	e := &evacuation{
		region:       region,
		tableWeights: s.tableWeights,
		changedAt:    now,
		demandByTeam: demandByTeam,
		teamWeights:  teamWeights,
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

func (r *Router) reportViolation(v Violation) {
	r.violations++
	if r.OnViolation != nil {
		r.OnViolation(v)
	}
}
