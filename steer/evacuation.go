package steer

import "time"

const (
	// ColdCacheTime is how long requests that move because of a lost region,
	// or of its return, cost more tokens, since they meet cold caches.
	ColdCacheTime = 30 * time.Second
	// initialColdCost is the tokens that such a request costs at first.
	initialColdCost = 4.0
)

// evacuation tracks how much of a route's traffic has been moved out of a
// lost region, on this host. A team may move up to its weight times the fair
// rate (requests per second per unit of weight). So the traffic that can move
// is divided among the teams by weighted max-min fairness; the rest is
// rejected. Each step raises the fair rate as far as the shift caps allow.
// When the region is back, steps lower it in the same way.
type evacuation struct {
	region string
	// tableWeights are the route's table weights at the time of the loss. The
	// traffic goes to other regions by them.
	tableWeights Weights
	// returning says that the region is back and its traffic returns.
	returning bool
	// changedAt is when the region was last lost or came back.
	changedAt time.Time
	// demandByTeam is each team's requests per second for the region at the
	// time of the loss.
	demandByTeam map[string]float64
	teamWeights  map[string]float64
	// settledFairRate is the fair rate before the latest step, and fairRate
	// is the one since that step.
	settledFairRate float64
	fairRate        float64
	tracker         stepTracker
}

func (e *evacuation) teamDemands() []TeamDemand {
	demands := make([]TeamDemand, 0, len(e.demandByTeam))
	for team, rate := range e.demandByTeam {
		demands = append(demands, TeamDemand{
			Rate:   rate,
			Weight: e.teamWeights[team],
		})
	}
	return demands
}

// movedTeamShare returns the share of the team's requests that moves at the
// fair rate. A team that sent nothing before the loss counts as having no
// demand, so above a fair rate of zero all of its requests move.
func (e *evacuation) movedTeamShare(team string, fairRate float64) float64 {
	demand := TeamDemand{
		Rate:   e.demandByTeam[team],
		Weight: e.teamWeights[team],
	}
	if fairRate <= 0 {
		return 0
	}
	if demand.saturationRate() <= fairRate {
		return 1
	}
	return fairRate / demand.saturationRate()
}

// isMoved reports whether the request moves to another region at the fair
// rate.
func (e *evacuation) isMoved(q Request, fairRate float64) bool {
	return hashToUnitInterval(q.Hash, evacuationSalt) < e.movedTeamShare(q.Team, fairRate)
}

// evacuationSalt makes the order in which request hashes move independent of
// the regions that they are mapped to.
const evacuationSalt = "evacuation"

// tokenCost returns the tokens that the move of one request costs. It falls
// from initialColdCost to 1 over ColdCacheTime.
func (e *evacuation) tokenCost(now time.Time) float64 {
	age := float64(now.Sub(e.changedAt)) / float64(ColdCacheTime)
	return max(1, initialColdCost-(initialColdCost-1)*age)
}

// advance settles the latest step and takes the next one, which may move up
// to rate more requests per second on this host.
func (e *evacuation) advance(rate float64, now time.Time) {
	e.settle()
	e.takeStep(rate, now)
}

// settle settles the latest step as far as its moves were granted.
func (e *evacuation) settle() {
	share := e.tracker.grantedShare()
	if share == 1 {
		e.settledFairRate = e.fairRate
		return
	}
	settledRate := e.movedRate(e.settledFairRate)
	currentRate := e.movedRate(e.fairRate)
	e.settledFairRate = MaxMinFairRate(e.teamDemands(), settledRate+share*(currentRate-settledRate))
}

// takeStep sets the fair rate that moves up to rate more requests per second,
// or up to rate fewer while the traffic returns. The rate is divided by the
// token cost of a request.
func (e *evacuation) takeStep(rate float64, now time.Time) {
	delta := rate / e.tokenCost(now)
	if e.returning {
		delta = -delta
	}
	e.fairRate = e.fairRateAfter(delta)
	e.tracker.restart(now)
}

// movedRate returns the requests per second that move at the fair rate.
func (e *evacuation) movedRate(fairRate float64) float64 {
	sum := 0.0
	for _, d := range e.teamDemands() {
		sum += min(d.Rate, fairRate*d.effectiveWeight())
	}
	return sum
}

// fairRateAfter returns the fair rate at which the moved rate is that of
// settledFairRate plus delta, in requests per second. If no demand is known,
// either all requests move or none.
func (e *evacuation) fairRateAfter(delta float64) float64 {
	totalDemand := sumRates(e.demandByTeam)
	if totalDemand == 0 && e.returning {
		return 0
	}
	if totalDemand == 0 {
		return 1
	}
	return MaxMinFairRate(e.teamDemands(), min(max(0, e.movedRate(e.settledFairRate)+delta), totalDemand))
}

// reverse changes the direction when the region is lost again or back. It
// settles what the latest step moved, since moving it back takes tokens too.
func (e *evacuation) reverse(returning bool, now time.Time) {
	e.settle()
	e.returning = returning
	e.changedAt = now
}

// isDone reports whether the region has all of its traffic back.
func (e *evacuation) isDone() bool {
	return e.returning && e.settledFairRate == 0 && e.fairRate == 0
}
