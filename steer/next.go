package steer

import (
	"time"

	"trefoilline.example/trefoilline/table"
)

// NextPlan returns the plan that follows. If the verdict is [PlanChanged], the holder
// of the lease writes it on the condition that the last is unchanged; with any
// other verdict the plan is returned as it was.
//
// Without a fresh report of each listed host a plan on its way stands still.
func NextPlan(plan Plan, t table.Table, m Measurements, now time.Time) (Plan, StepResult) {
	measured := m.sum(now)
	next, changed := follow(plan, t, measured, now)
	verdict := next.advance(plan, t, measured, now)
	if _, stepped := verdict.(PlanChanged); !stepped && !changed {
		return plan, verdict
	}
	next.Step = plan.Step + 1
	next.WrittenAt = now
	return next, PlanChanged{}
}

// follow returns the plan with the routes of the table, and whether that
// changed anything. A new route starts with the weights that it should have,
// since it has no traffic to move.
func follow(plan Plan, t table.Table, measured sums, now time.Time) (Plan, bool) {
	next := Plan{
		Step:         plan.Step,
		TableVersion: t.Version,
		WrittenAt:    plan.WrittenAt,
	}
	changed := plan.Step == 0 || plan.TableVersion != t.Version
	for _, route := range t.Routes {
		share := TableWeights(route, t.Drains, now)
		for _, origin := range origins(t) {
			r, found := plan.RouteForOrigin(route.Name, origin)
			if !found || r.Origin != origin {
				r.Route = route.Name
				r.Origin = origin
				r.Rate = measured.rate(r)
				changed = true
			}
			changed = changed || r.Service != route.Service
			r.Service = route.Service
			r.TableWeights = share
			next.Routes = append(next.Routes, r)
		}
	}
	next.startNew()
	return next, changed || len(next.Routes) != len(plan.Routes)
}

// origins returns the regions whose entry hosts have plans of their own.
func origins(t table.Table) []string {
	if len(t.Regions) == 0 {
		return []string{""}
	}
	names := make([]string, 0, len(t.Regions))
	for _, r := range t.Regions {
		names = append(names, r.Name)
	}
	return names
}

// startNew gives new routes the weights that they should have.
func (p *Plan) startNew() {
	wanted := p.targets()
	for i := range p.Routes {
		r := &p.Routes[i]
		if r.Effective == nil {
			r.Settled = wanted[i]
			r.Effective = wanted[i]
		}
	}
}

// targets returns the weights that each route should have in the end: as near
// to the entry hosts as the table's weights allow.
func (p *Plan) targets() []Weights {
	flows := make(map[string]Weights)
	for _, r := range p.Routes {
		flows[r.Route] = append(flows[r.Route], table.Weight{
			Region: r.Origin,
			Weight: r.Rate,
		})
	}
	wanted := make([]Weights, 0, len(p.Routes))
	for _, r := range p.Routes {
		wanted = append(wanted, localWeights(r, flows[r.Route].normal()))
	}
	return wanted
}
