package steer

import (
	"time"

	"trefoilline.example/trefoilline/table"
)

const (
	// StepHoldTime is how long a step must be in force before it settles. Until then its
	// requests count as moved between regions.
	StepHoldTime = 10 * time.Second
	// RateRefreshInterval is how long the rates of a plan stand before they are renewed.
	RateRefreshInterval = 30 * time.Second
	// ShiftBurstTime is the burst of a shift limit, as the time over which its rate
	// adds up to it.
	ShiftBurstTime = time.Second
	// MaxFreeSlotShare is the part of a region's free slots that a step may fill.
	MaxFreeSlotShare = 0.8
	// MaxDeniedShare is the part of a step's moves, over all hosts, that may be
	// denied for the whole step to settle; if more are, only the part that was
	// granted settles.
	MaxDeniedShare = 0.02
)

const (
	// blindStep is the part of a route's traffic that one step moves if its
	// rate is not known; the tokens alone then keep the cap.
	blindStep = 1.0 / 16
	// leastStep is the part of the way below which a step is not worth while.
	leastStep = 1.0 / 1000
)

// Plan is the weights in force on all hosts, on their way to the table's. It
// is one object of the store; the holder of the plan's lease writes each step
// by a conditional update of the last.
type Plan struct {
	// Step numbers the plans. Zero is "none yet".
	Step uint64 `json:"step"`
	// TableVersion is the version that the plan moves towards.
	TableVersion table.Version `json:"table"`
	// WrittenAt is when the step was decided.
	WrittenAt time.Time   `json:"written"`
	Routes    []RoutePlan `json:"routes"`
}

// RoutePlan is the weights of one route for the entry hosts of one region.
type RoutePlan struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Origin is the region of the entry hosts; empty if the plan is the same for
	// all, which is so for tables that list no regions.
	Origin string `json:"origin,omitempty"`
	// TableWeights is the route's weights over the entry hosts of all regions. What a
	// lost region leaves goes by them.
	TableWeights Weights `json:"share"`
	// Settled is where the traffic went before the last step.
	Settled Weights `json:"settled"`
	// Effective is where it goes with the last step.
	Effective Weights `json:"effective"`
	// Rate is the requests per second of the route at these hosts when it was
	// last known, for hosts that must act without a new plan.
	Rate float64 `json:"rate"`
}

// RouteForOrigin returns the route's plan for the entry hosts of the region, or false.
func (p Plan) RouteForOrigin(name, origin string) (RoutePlan, bool) {
	for _, r := range p.Routes {
		if r.Route == name && (r.Origin == origin || r.Origin == "") {
			return r, true
		}
	}
	return RoutePlan{}, false
}

// RouteForAllOrigins returns the route's plan over the entry hosts of all regions, or false.
// The weights are means by the known rates.
func (p Plan) RouteForAllOrigins(name string) (RoutePlan, bool) {
	var sum RoutePlan
	for _, r := range p.Routes {
		if r.Route != name {
			continue
		}
		sum.Route = name
		sum.Service = r.Service
		sum.TableWeights = r.TableWeights
		sum.Settled = sum.Settled.plus(r.Settled, r.Rate)
		sum.Effective = sum.Effective.plus(r.Effective, r.Rate)
		sum.Rate += r.Rate
	}
	sum.Settled = sum.Settled.normal()
	sum.Effective = sum.Effective.normal()
	return sum, sum.Route != ""
}
