package steer

import (
	"math"
	"time"

	"trefoilline.example/trefoilline/table"
)

// rateChange is the relative change of a rate that is worth a write.
const rateChange = 0.2

// advance settles the last step if it held and takes the next one.
func (p *Plan) advance(last Plan, t table.Table, measured sums, now time.Time) StepResult {
	wanted := p.targets()
	if p.reached(wanted) {
		return p.renewRates(measured, now)
	}
	if measured.missing != "" {
		return ReportMissing{
			Host: measured.missing,
		}
	}
	if mostLost(measured.reports) {
		return WaitingForLostRegion{}
	}
	if v := checkHeld(last, measured.reports); v != nil {
		return v
	}
	p.settle(measured)
	return p.takeStep(newChanges(p.Routes, p.targets()), t.Links, measured)
}

// checkHeld returns nil if the last step held on all hosts.
func checkHeld(last Plan, reports []Report) StepResult {
	for _, report := range reports {
		if report.Step != last.Step || !report.StepHeld {
			return StepHolding{
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

// renewRates notes the rates at rest, if they changed: at once if none is known,
// else now and then.
func (p *Plan) renewRates(measured sums, now time.Time) StepResult {
	known := false
	for _, r := range p.Routes {
		known = known || r.Rate > 0
	}
	if measured.missing != "" || known && now.Sub(p.WrittenAt) < RateRefreshInterval || !p.noteRates(measured) {
		return TargetReached{}
	}
	return PlanChanged{}
}

// noteRates takes the measured rates that differ much from the known, and
// reports whether any did.
func (p *Plan) noteRates(measured sums) bool {
	changed := false
	for i := range p.Routes {
		r := &p.Routes[i]
		found := measured.rate(*r)
		if found <= 0 || math.Abs(found-r.Rate) <= rateChange*r.Rate {
			continue
		}
		r.Rate = found
		changed = true
	}
	return changed
}

// settle takes as settled what the last step moved, and notes the rates. If its
// moves were denied in part, because the step was too large for the caps, it
// settles in part: what counts as settled is never more than what was moved.
func (p *Plan) settle(measured sums) {
	var h hold
	for _, report := range measured.reports {
		h.tried += report.MovesTried
		h.denied += report.MovesDenied
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		r.Settled = r.Settled.towards(r.Effective, h.granted())
	}
	p.noteRates(measured)
}

// takeStep moves each route as far as the caps and the free slots allow.
func (p *Plan) takeStep(changes changes, links []table.Link, measured sums) StepResult {
	verdict := StepResult(NoCapacity{})
	for i, c := range changes.list {
		part := min(changes.partUnderCaps(c, links), changes.partUnderRoom(c, measured))
		if part < leastStep {
			continue
		}
		p.Routes[i].Effective = c.settled.towards(c.target, part)
		verdict = PlanChanged{}
	}
	return verdict
}

// mostLost reports whether most hosts find a region lost.
func mostLost(reports []Report) bool {
	lost := 0
	for _, r := range reports {
		if r.RegionLost {
			lost++
		}
	}
	return 2*lost > len(reports)
}
