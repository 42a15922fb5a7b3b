package steer

import (
	"time"

	"trefoilline.example/trefoilline/table"
)

// NextPlan returns the plan that follows. If the result is [PlanChanged], the
// holder of the plan's lease writes the plan, on the condition that the
// stored one is unchanged. With any other result the plan is returned as it
// was.
//
// While weights change, no further step is taken unless each entry host has
// a fresh report.
func NextPlan(plan Plan, t table.Table, m Measurements, now time.Time) (Plan, StepResult) {
	measured := m.totals(now)
	next, changed := planForTable(plan, t, measured, now)
	result := next.advance(plan, t, measured, now)
	if _, planChanged := result.(PlanChanged); !planChanged && !changed {
		return plan, result
	}
	next.Step = plan.Step + 1
	next.WrittenAt = now
	return next, PlanChanged{}
}

// planForTable returns the plan with the routes of the table, and whether
// that differs from the given plan. A new route starts with its target
// weights, since it has no traffic to move.
func planForTable(plan Plan, t table.Table, measured reportTotals, now time.Time) (Plan, bool) {
	next := Plan{
		Step:         plan.Step,
		TableVersion: t.Version,
		WrittenAt:    plan.WrittenAt,
	}
	changed := plan.Step == 0 || plan.TableVersion != t.Version
	for _, route := range t.Routes {
		weights := TableWeights(route, t.Drains, now)
		for _, origin := range originRegions(t) {
			routePlan, found := plan.RouteForOrigin(route.Name, origin)
			// The origin differs if the plan had one plan for all origins and the
			// table now lists regions: each origin starts from the common plan.
			if !found || routePlan.Origin != origin {
				routePlan.Route = route.Name
				routePlan.Origin = origin
				routePlan.Rate = measured.rate(routePlan)
				changed = true
			}
			changed = changed || routePlan.Service != route.Service
			routePlan.Service = route.Service
			routePlan.TableWeights = weights
			next.Routes = append(next.Routes, routePlan)
		}
	}
	next.initNewRoutes()
	return next, changed || len(next.Routes) != len(plan.Routes)
}

// originRegions returns the regions whose entry hosts have plans of their
// own, or one empty name if one plan serves the entry hosts of all regions.
func originRegions(t table.Table) []string {
	if len(t.Regions) == 0 {
		return []string{""}
	}
	names := make([]string, 0, len(t.Regions))
	for _, r := range t.Regions {
		names = append(names, r.Name)
	}
	return names
}

// initNewRoutes sets the weights of new routes to their targets.
func (p *Plan) initNewRoutes() {
	targets := p.targetWeights()
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.Effective == nil {
			r.Settled = targets[i]
			r.Effective = targets[i]
		}
	}
}

// targetWeights returns the final weights of each route plan, in order:
// requests stay in the region of their entry host as far as the table's
// weights allow.
func (p *Plan) targetWeights() []Weights {
	originRates := make(map[string]Weights)
	for _, r := range p.Routes {
		originRates[r.Route] = append(originRates[r.Route], table.Weight{
			Region: r.Origin,
			Weight: r.Rate,
		})
	}
	targets := make([]Weights, 0, len(p.Routes))
	for _, r := range p.Routes {
		targets = append(targets, localWeights(r, originRates[r.Route].normalized()))
	}
	return targets
}
