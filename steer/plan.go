package steer

import (
	"time"

	"trefoilline.example/trefoilline/table"
)

const (
	// StepHoldTime is how long a step must be in force before it settles.
	// Until then the requests that it moves count as moved between regions.
	StepHoldTime = 10 * time.Second
	// RateRefreshInterval is the shortest time between two updates of a
	// plan's known rates while no weights change.
	RateRefreshInterval = 30 * time.Second
	// ShiftBurstTime sets the burst of a shift limit: the tokens that its
	// rate adds in this time.
	ShiftBurstTime = time.Second
	// MaxFreeSlotShare is the share of a region's free slots that one step
	// may fill.
	MaxFreeSlotShare = 0.8
	// MaxRejectedShare is the share of a step's moves that may be denied while
	// the whole step still settles. If more are denied, only the granted
	// share settles.
	MaxRejectedShare = 0.02
)

const (
	// unknownRateStepShare is the part of a change, or of a lost region's
	// traffic, that one step moves if the rate is not known. The tokens alone
	// then enforce the shift cap.
	unknownRateStepShare = 1.0 / 16
	// minStepShare is the part of a change below which no step is taken.
	minStepShare = 1.0 / 1000
)

// Plan holds the weights in force for each route on all hosts. After a change
// of the table, steps bring them to the table's weights. The plan is stored
// as one object. The holder of the plan's lease writes each step by an update
// on the condition that the previous step is unchanged.
type Plan struct {
	// Step counts the plans written. Zero means that there is no plan yet.
	Step uint64 `json:"step"`
	// TableVersion is the version of the table that the plan moves towards.
	TableVersion table.Version `json:"table"`
	// WrittenAt is when the step was decided.
	WrittenAt time.Time   `json:"written"`
	Routes    []RoutePlan `json:"routes"`
}

// RoutePlan holds the weights of one route for the entry hosts of one region.
type RoutePlan struct {
	Route   string `json:"route"`
	Service string `json:"service"`
	// Origin is the region of the entry hosts; empty if one plan serves the
	// entry hosts of all regions, as for tables that list no regions.
	Origin string `json:"origin,omitempty"`
	// TableWeights are the route's weights of the table without drained
	// regions, the same for all origins. The traffic of a lost region is
	// distributed by them.
	TableWeights Weights `json:"share"`
	// Settled are the weights before the latest step.
	Settled Weights `json:"settled"`
	// Effective are the weights since the latest step.
	Effective Weights `json:"effective"`
	// Rate is the last known rate of the route at these hosts, in requests
	// per second. Hosts use it where they must act without a new plan, as in
	// the loss of a region.
	Rate float64 `json:"rate"`
}

// RouteForOrigin returns the route's plan for the entry hosts of the region,
// and whether there is one.
func (p Plan) RouteForOrigin(name, origin string) (RoutePlan, bool) {
	for _, r := range p.Routes {
		if r.Route == name && (r.Origin == origin || r.Origin == "") {
			return r, true
		}
	}
	return RoutePlan{}, false
}

// RouteForAllOrigins returns the route's plan over the entry hosts of all
// regions, and whether there is one. The weights are means weighted by the
// known rates.
func (p Plan) RouteForAllOrigins(name string) (RoutePlan, bool) {
	var sum RoutePlan
	for _, r := range p.Routes {
		if r.Route != name {
			continue
		}
		sum.Route = name
		sum.Service = r.Service
		sum.TableWeights = r.TableWeights
		sum.Settled = sum.Settled.addScaled(r.Settled, r.Rate)
		sum.Effective = sum.Effective.addScaled(r.Effective, r.Rate)
		sum.Rate += r.Rate
	}
	sum.Settled = sum.Settled.normalized()
	sum.Effective = sum.Effective.normalized()
	return sum, sum.Route != ""
}
