package placement

import (
	"maps"
	"math"
	"time"
)

// Parameters of [RegionPlan].
const (
	// minTransientLead is how far the expected utilization of a region must exceed that of all
	// regions together before it exports more than its long-run mean requires. A smaller gain does
	// not pay for keys that are cold on their new servers for as long as a wave lasts.
	minTransientLead = 0.05
	// minWeight is the smallest weight of a destination relative to its slots, so that it is used
	// if the others fail.
	minWeight = 0.02
	// shareTolerance is by how much the planned share may exceed the share in force before that
	// grows. It is more than the noise of the demand of a few hundred requests per second.
	shareTolerance = 0.02
	// shareReturnPerSecond limits how fast the remote share shrinks. With 0.01 or more the share
	// follows a wave down, and keys move twice in each period: in the model of region_model_test.go
	// the small region lost 1% of its value at 0.8 of the capacity and 2% at 1.0.
	shareReturnPerSecond = 0.003
	// destinationChangePerSecond limits the change of the weights of destinations.
	destinationChangePerSecond = 0.02
)

// Parameters of the correction of a plan by measured utilization.
const (
	correctionPerSecond = 0.01
	maxCorrection       = 0.25
	// correctionTimeConstant is the time constant with which a correction is forgotten.
	correctionTimeConstant = 40 * time.Second
)

// retainDemandTime is how long the last known demand of a region is kept without reports.
const retainDemandTime = 20 * time.Second

// RegionReport is what is known of one service in one region.
type RegionReport struct {
	// Slots is the number of slots of the servers that accept requests and are not cold.
	Slots float64
	// Demand is the mean number of slots that the requests of the region's callers occupy if
	// their affinity keys are cached. It is zero if IsDemandKnown is false.
	Demand        float64
	IsDemandKnown bool
	// BoundDemand is the same of requests that may not leave the region.
	BoundDemand float64
}

// RegionReports is what is known of one service, by region.
type RegionReports map[string]RegionReport

// RegionPlan is how one region distributes the load of one service. The zero value serves all
// of it in the region. A plan must not be changed once it was passed on; [RegionPlan.Next]
// returns a new one.
type RegionPlan struct {
	// RemoteShare is the fraction of the region's load that other regions serve.
	RemoteShare float64
	// Destinations are the weights of the regions that serve the remote share. They add up
	// to 1. An empty map means in proportion to slots.
	Destinations map[string]float64
	// Target is the remote share that follows from the reports alone, and Correction what
	// measured utilization adds to it.
	Target     float64
	Correction float64
	// IsPlanned is false if demand is unknown, so that the share follows measured
	// utilization alone.
	IsPlanned bool

	demand map[string]demandTrend
	// bound is the demand that may not leave its region.
	bound map[string]demandTrend
}

// PlanInput is what the next plan of a service follows from.
type PlanInput struct {
	Service string
	Region  string
	Reports RegionReports
	// Utilization is as measured.
	Utilization RegionUtilization
	// Elapsed is the time since the plan before.
	Elapsed time.Duration
	// MaxShift is the largest fraction of the region's requests that may change their region from
	// one 2 s window to the next; zero if only MaxShareChangePerSecond limits the change.
	MaxShift float64
}

// Next returns the plan that follows the given one.
//
// NextShare reacts when servers are full already. The plan acts before, because demand and
// its slope are known earlier than the queues that they cause.
func (p RegionPlan) Next(in PlanInput) RegionPlan {
	next := p
	next.demand = nextDemand(p.demand, in, func(r RegionReport) float64 { return r.Demand })
	next.bound = nextDemand(p.bound, in, func(r RegionReport) float64 { return r.BoundDemand })
	reactive := RemoteShares{in.Service: p.RemoteShare}.NextShare(in.Service, in.Region, in.Utilization, in.Elapsed)
	loads, isKnown := next.predictedLoads(in.Reports)
	if !isKnown {
		next.RemoteShare, next.IsPlanned, next.Correction = reactive, false, 0
		return next
	}
	target := planTarget(in.Region, loads)
	next.IsPlanned = true
	next.Target = target.share
	next.Correction = p.nextCorrection(reactive, in)
	limit := ShareChangePerSecond(in.MaxShift) * in.Elapsed.Seconds()
	next.RemoteShare = p.stepShare(clamp(target.share+next.Correction, 0, 1), limit, loads[in.Region], in)
	// What the share leaves of the limit is for the destinations.
	rest := max(0, limit-math.Abs(next.RemoteShare-p.RemoteShare)) / max(next.RemoteShare, minWeight)
	next.Destinations = stepWeights(p.Destinations, target.destinations, min(rest, destinationChangePerSecond*in.Elapsed.Seconds()))
	return next
}

// Demand returns the expected demand by region, in slots. It includes what may not leave its region.
func (p RegionPlan) Demand() map[string]float64 {
	demand := make(map[string]float64, len(p.demand))
	for region, trend := range p.demand {
		demand[region] = trend.predicted() + p.bound[region].predicted()
	}
	return demand
}

// regionLoad is the capacity and the demand of a region, in slots: as expected, and its long-run mean.
type regionLoad struct{ slots, demand, meanDemand, bound, meanBound float64 }

// predictedLoads returns the expected load by region. It reports false if the plan can't be
// computed: no demand is known, or there are no slots.
func (p RegionPlan) predictedLoads(reports RegionReports) (map[string]regionLoad, bool) {
	loads := make(map[string]regionLoad)
	slots, demand := 0.0, 0.0
	for region, report := range reports {
		load := regionLoad{
			slots:      report.Slots,
			demand:     p.demand[region].predicted(),
			meanDemand: p.demand[region].mean,
			bound:      p.bound[region].predicted(),
			meanBound:  p.bound[region].mean,
		}
		loads[region] = load
		slots += load.slots
		demand += load.demand
	}
	return loads, slots > 0 && demand > 0
}

// targetPlan is a plan without regard to the one in force.
type targetPlan struct {
	share        float64
	destinations map[string]float64
}

// planTarget returns what a region exports. That is what exceeds the planned utilization, or
// that of all regions together if it is higher, since a move relieves only regions that are
// busier than the rest. Regions export for long what their long-run mean of demand requires. The
// present demand, with what other regions so export, counts only by what exceeds a lead.
func planTarget(region string, loads map[string]regionLoad) targetPlan {
	total := regionLoad{}
	for _, l := range loads {
		total.slots += l.slots
		total.demand += l.demand + l.bound
		total.meanDemand += l.meanDemand + l.meanBound
	}
	level := max(overloadThreshold, total.meanDemand/total.slots)
	persistent := func(l regionLoad) float64 { return excessFraction(l.meanDemand, level*l.slots-l.meanBound) }
	own := loads[region]
	load := own.demand + own.bound
	for name, l := range loads {
		if name != region {
			load += persistent(l) * l.demand * destinationWeights(name, loads, total)[region]
		}
	}
	excess := load - max(overloadThreshold, total.demand/total.slots+minTransientLead)*own.slots
	transient := clamp(excess/max(own.demand, math.SmallestNonzeroFloat64), 0, 1)
	return targetPlan{
		share:        max(persistent(own), transient),
		destinations: destinationWeights(region, loads, total),
	}
}

// destinationWeights returns the weights of the regions that serve what a region exports: their
// slots, but less for a region with more than the mean demand for its slots, down to nearly none
// if it has twice that.
func destinationWeights(region string, loads map[string]regionLoad, total regionLoad) map[string]float64 {
	weights := make(map[string]float64)
	sum := 0.0
	for name, l := range loads {
		if name == region || l.slots == 0 {
			continue
		}
		relative := (l.meanDemand + l.meanBound) / max(l.slots*total.meanDemand/total.slots, math.SmallestNonzeroFloat64)
		weights[name] = l.slots * clamp(2-relative, minWeight, 1)
		sum += weights[name]
	}
	for name := range weights {
		weights[name] /= sum
	}
	return weights
}

// excessFraction returns the fraction of the demand that exceeds the capacity.
func excessFraction(demand, capacity float64) float64 {
	if demand <= capacity || demand == 0 {
		return 0
	}
	return 1 - max(0, capacity)/demand
}

// stepShare moves the remote share toward the wanted one by no more than the limit, which is a
// fraction of the requests that are served: up at once, down slowly.
func (p RegionPlan) stepShare(wanted, limit float64, own regionLoad, in PlanInput) float64 {
	utilization := max(in.Utilization[in.Region], (own.bound+own.demand*(1-p.RemoteShare))/max(own.slots, 1))
	step := limit / max(1, servedShareDerivative(p.RemoteShare, utilization))
	if wanted > p.RemoteShare {
		return max(p.RemoteShare, min(wanted-shareTolerance, p.RemoteShare+step))
	}
	return max(wanted, p.RemoteShare-min(step, shareReturnPerSecond*in.Elapsed.Seconds()))
}

// nextCorrection moves the correction in the direction in which measured utilization alone
// would move the share.
func (p RegionPlan) nextCorrection(reactive float64, in PlanInput) float64 {
	if in.Elapsed <= 0 {
		return p.Correction
	}
	correction := p.Correction * math.Exp(-in.Elapsed.Seconds()/correctionTimeConstant.Seconds())
	correction += (reactive - p.RemoteShare) * correctionPerSecond / MaxShareChangePerSecond
	return clamp(correction, 0, maxCorrection)
}

// stepWeights moves weights toward the wanted ones so that no more than the given fraction of
// them changes place. Without weights in force, the wanted ones apply at once.
func stepWeights(current, wanted map[string]float64, limit float64) map[string]float64 {
	if len(current) == 0 || len(wanted) == 0 {
		return maps.Clone(wanted)
	}
	moved := 0.0
	for region, weight := range wanted {
		moved += max(0, weight-current[region])
	}
	fraction := 1.0
	if moved > limit {
		fraction = limit / moved
	}
	next := make(map[string]float64, len(wanted))
	for region, weight := range current {
		next[region] = weight * (1 - fraction)
	}
	for region, weight := range wanted {
		next[region] += weight * fraction
	}
	maps.DeleteFunc(next, func(region string, weight float64) bool {
		_, isWanted := wanted[region]
		return !isWanted && weight < minWeight
	})
	return next
}

func clamp(value, low, high float64) float64 { return max(low, min(high, value)) }
