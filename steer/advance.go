package steer

import (
	"math"
	"time"

	"trefoilline.example/trefoilline/table"
)

// minRateChange is the relative change of a rate from which the new rate is
// written to the plan.
const minRateChange = 0.2

// advance settles the latest step if it held on all hosts, and takes the next
// one. The previous plan is the one in force.
func (p *Plan) advance(previous Plan, t table.Table, measured reportTotals, now time.Time) StepResult {
	targets := p.targetWeights()
	if p.isAtTargets(targets) {
		return p.refreshRates(measured, now)
	}
	if measured.missingHost != "" {
		return ReportMissing{
			Host: measured.missingHost,
		}
	}
	if majorityReportsLostRegion(measured.reports) {
		return WaitingForLostRegion{}
	}
	if waiting := firstHoldingHost(previous, measured.reports); waiting != nil {
		return waiting
	}
	p.settleLatestStep(measured)
	// The targets may differ from those above, since settling updates the rates.
	return p.takeStep(newRouteChanges(p.Routes, p.targetWeights()), t.Links, measured)
}

// firstHoldingHost returns a StepHolding with the first host that does not
// have the previous plan in force, or on which its step has not held. It
// returns nil if there is none.
func firstHoldingHost(previous Plan, reports []Report) StepResult {
	for _, report := range reports {
		if report.Step != previous.Step || !report.StepHeld {
			return StepHolding{
				Host: report.Host,
			}
		}
	}
	return nil
}

// isAtTargets reports whether all weights, settled and effective, equal the
// targets.
func (p *Plan) isAtTargets(targets []Weights) bool {
	for i, r := range p.Routes {
		if !r.Settled.Equal(targets[i]) || !r.Effective.Equal(targets[i]) {
			return false
		}
	}
	return true
}

// refreshRates updates the rates while no weights change: at once if no rate
// is known, and otherwise at most every RateRefreshInterval.
func (p *Plan) refreshRates(measured reportTotals, now time.Time) StepResult {
	known := false
	for _, r := range p.Routes {
		known = known || r.Rate > 0
	}
	if measured.missingHost != "" || known && now.Sub(p.WrittenAt) < RateRefreshInterval || !p.updateRates(measured) {
		return TargetReached{}
	}
	return PlanChanged{}
}

// updateRates copies the measured rates that differ by more than
// minRateChange from the known ones into the plan, and reports whether there
// are any.
func (p *Plan) updateRates(measured reportTotals) bool {
	changed := false
	for i := range p.Routes {
		r := &p.Routes[i]
		measuredRate := measured.rate(*r)
		if measuredRate <= 0 || math.Abs(measuredRate-r.Rate) <= minRateChange*r.Rate {
			continue
		}
		r.Rate = measuredRate
		changed = true
	}
	return changed
}

// settleLatestStep settles the latest step and updates the rates. If more
// than MaxDeniedShare of the moves were denied because the step was too large
// for the shift caps or the free slots, only the granted share settles, so
// that no more counts as settled than was moved.
func (p *Plan) settleLatestStep(measured reportTotals) {
	var tracker stepTracker
	for _, report := range measured.reports {
		tracker.movesTried += report.MovesTried
		tracker.movesDenied += report.MovesRejected
	}
	for i := range p.Routes {
		r := &p.Routes[i]
		r.Settled = r.Settled.interpolate(r.Effective, tracker.grantedShare())
	}
	p.updateRates(measured)
}

// takeStep changes the effective weights of each route as far as the caps and
// the free slots allow.
func (p *Plan) takeStep(changes routeChanges, links []table.Link, measured reportTotals) StepResult {
	result := StepResult(NoCapacity{})
	for i, change := range changes.changes {
		share := min(changes.stepShareUnderCaps(change, links), changes.stepShareUnderFreeSlots(change, measured))
		if share < minStepShare {
			continue
		}
		p.Routes[i].Effective = change.settled.interpolate(change.target, share)
		result = PlanChanged{}
	}
	return result
}

// majorityReportsLostRegion reports whether more than half of the hosts
// report a lost region.
func majorityReportsLostRegion(reports []Report) bool {
	lost := 0
	for _, r := range reports {
		if r.RegionLost {
			lost++
		}
	}
	return 2*lost > len(reports)
}
