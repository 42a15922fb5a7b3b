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
	// Limiter holds the fleet-wide shift and link limits; nil means that none
	// is enforced.
	Limiter Limiter
	// OnViolation is called for each broken invariant while the router is
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
	// settled are the weights before the step in force. A request that goes
	// elsewhere than by them counts as moved.
	settled Weights
	// effective are the weights with the step in force.
	effective Weights
	// tracker counts the moves of the step in force.
	tracker stepTracker
	// stepHeld says that the step in force has held on this host, so that a
	// next plan may settle it.
	stepHeld bool
	// planSettled says that the settled weights of the plan in force equal
	// its effective ones.
	planSettled bool
	// hostSettled says that settled equals effective on this host.
	hostSettled bool
	demand      demandCounter
	// evacuations has an entry, by region, for each lost region and for each
	// region that is back and still refills.
	evacuations map[string]*evacuation
}

// SetTable takes the links and the teams' weights from the table. The routes
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
// another region count as moved. A step settles when it has held on this host
// and the next plan shows that it held on all hosts. A new host or a new
// route takes the settled weights of the plan.
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

// SetRegionLost records whether the region is lost to the service, as this
// host observes it.
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

// applyPlan takes the route's part of a plan. If the plan is the direct
// successor of the one in force and the step in force has held here, the host
// takes the plan's settled weights. Otherwise it cannot tell what has settled
// and keeps its own.
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

// updateStep records that the step in force has held, once it has. A step
// usually settles with the next plan. If the plan in force is settled, no
// other plan may follow, so the host settles the step on its own, as far as
// its own moves were granted.
func (s *routeState) updateStep(now time.Time) {
	s.stepHeld = s.stepHeld || s.hostSettled || s.tracker.hasHeld(now)
	if s.hostSettled || !s.planSettled || !s.tracker.hasHeld(now) {
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
		region:        region,
		regionWeights: s.tableWeights,
		changedAt:     now,
		demandByTeam:  demandByTeam,
		teamWeights:   teamWeights,
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
