package steer

import (
	"math"
	"time"

	"trefoilline.example/trefoilline/table"
)

// rateChange is the relative change of a rate that is worth a write.
const rateChange = 0.2

// advance settles the last step if it held and takes the next one.
func (p *Plan) advance(last Plan, t table.Table, reports []Report, missing string, now time.Time) Verdict {
	wanted := targets(t, now)
	if p.reached(wanted) {
		return p.renewRates(reports, missing, now)
	}
	if missing != "" {
		return Unmeasured{
			Host: missing,
		}
	}
	if mostLost(reports) {
		return RegionLost{}
	}
	if v := checkHeld(last, reports); v != nil {
		return v
	}
	p.settle(reports)
	return p.takeStep(wanted, t.Links, reports)
}

// checkHeld returns nil if the last step held on all hosts.
func checkHeld(last Plan, reports []Report) Verdict {
	for _, report := range reports {
		if report.Step != last.Step || !report.Held {
			return Holding{
				Host: report.Host,
			}
		}
	}
	return nil
}

// reached reports whether nothing is left to move or to settle.
func (p *Plan) reached(wanted []Weights) bool {
	for i, r := range p.Routes {
		if !r.Settled.Equal(wanted[i]) || !r.Effective.Equal(wanted[i]) {
			return false
		}
	}
	return true
}

// renewRates notes the rates at rest, now and then and if they changed.
func (p *Plan) renewRates(reports []Report, missing string, now time.Time) Verdict {
	if missing != "" || now.Sub(p.Written) < RateLife {
		return Reached{}
	}
	changed := false
	for i := range p.Routes {
		r := &p.Routes[i]
		measured := rate(reports, r.Route)
		if measured <= 0 || math.Abs(measured-r.Rate) <= rateChange*r.Rate {
			continue
		}
		r.Rate = measured
		changed = true
	}
	if changed {
		return Stepped{}
	}
	return Reached{}
}

// settle takes as settled what the last step moved, and notes the rates. If its
// moves were denied in part, because the step was too large for the caps, it
// settles in part: what counts as settled is never more than what was moved.
func (p *Plan) settle(reports []Report) {
	var h hold
	for _, report := range reports {
		h.tried += report.Tried
		h.denied += report.Denied
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		r.Settled = r.Settled.towards(r.Effective, h.granted())
		if measured := rate(reports, r.Route); measured > 0 {
			r.Rate = measured
		}
	}
}

// takeStep moves each route as far as the caps and the free slots allow.
func (p *Plan) takeStep(wanted []Weights, links []table.Link, reports []Report) Verdict {
	changes := p.changes(wanted)
	verdict := Verdict(NoRoom{})
	for i := range p.Routes {
		r := &p.Routes[i]
		c := changes[i]
		part := min(c.partUnderCaps(changes, links), c.partUnderRoom(reports))
		if part < leastStep {
			continue
		}
		r.Effective = r.Settled.towards(wanted[i], part)
		verdict = Stepped{}
	}
	return verdict
}

func (p *Plan) changes(wanted []Weights) []change {
	changes := make([]change, 0, len(p.Routes))
	for i, r := range p.Routes {
		changes = append(changes, change{
			service: r.Service,
			settled: r.Settled,
			target:  wanted[i],
			rate:    r.Rate,
			parts:   movedParts(r.Settled, wanted[i]),
		})
	}
	return changes
}

// mostLost reports whether most hosts find a region lost.
func mostLost(reports []Report) bool {
	lost := 0
	for _, r := range reports {
		if r.Lost {
			lost++
		}
	}
	return 2*lost > len(reports)
}
