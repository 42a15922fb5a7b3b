package steer

import (
	"time"

	"trefoilline.example/trefoilline/table"
)

// Next returns the plan that follows. If the verdict is [Stepped], the holder
// of the lease writes it on the condition that the last is unchanged; with any
// other verdict the plan is returned as it was.
//
// Without a fresh report of each listed host a plan on its way stands still.
func Next(plan Plan, t table.Table, m Measurements, now time.Time) (Plan, Verdict) {
	next, changed := follow(plan, t, now)
	reports, missing := m.fresh(now)
	verdict := next.advance(plan, t, reports, missing, now)
	if _, stepped := verdict.(Stepped); !stepped && !changed {
		return plan, verdict
	}
	next.Step = plan.Step + 1
	next.Written = now
	return next, Stepped{}
}

// follow returns the plan with the routes of the table, and whether that
// changed anything. A new route starts with the table's weights, since it has
// no traffic to move.
func follow(plan Plan, t table.Table, now time.Time) (Plan, bool) {
	next := Plan{
		Step:    plan.Step,
		Table:   t.Version,
		Written: plan.Written,
	}
	changed := plan.Step == 0 || plan.Table != t.Version || len(plan.Routes) != len(t.Routes)
	for _, route := range t.Routes {
		r, found := plan.Route(route.Name)
		if !found {
			w := TableWeights(route, t.Drains, now)
			r.Route = route.Name
			r.Settled = w
			r.Effective = w
		}
		changed = changed || !found || r.Service != route.Service
		r.Service = route.Service
		next.Routes = append(next.Routes, r)
	}
	return next, changed
}

// targets returns the weights that each route should have in the end.
func targets(t table.Table, now time.Time) []Weights {
	wanted := make([]Weights, 0, len(t.Routes))
	for _, route := range t.Routes {
		wanted = append(wanted, TableWeights(route, t.Drains, now))
	}
	return wanted
}
