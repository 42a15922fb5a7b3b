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
// lost region, on this host. Each step moves as much more as the shift caps
// allow. Each team may move its full rate up to a limit of the level times
// its weight, so teams share the refused traffic by weight. When the region
// is back, the level falls in the same way.
type evacuation struct {
	region string
	// regionWeights are the weights by which the traffic goes to other
	// regions.
	regionWeights Weights
	// returning says that the region is back and its traffic returns.
	returning bool
	// changedAt is when the region was last lost or came back.
	changedAt time.Time
	// demandByTeam is each team's requests per second for the region at the
	// time of the loss.
	demandByTeam map[string]float64
	teamWeights  map[string]float64
	// settledLevel and level are the levels before and with the last step, in
	// requests per second per weight.
	settledLevel float64
	level        float64
	tracker      stepTracker
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

// movedShare returns the share of the team's requests that moves at the
// level. A team that sent nothing before the loss counts as having no demand,
// so above level zero all of its requests move.
func (e *evacuation) movedShare(team string, level float64) float64 {
	demand := TeamDemand{
		Rate:   e.demandByTeam[team],
		Weight: e.teamWeights[team],
	}
	if level <= 0 {
		return 0
	}
	if demand.satisfiedLevel() <= level {
		return 1
	}
	return level / demand.satisfiedLevel()
}

// isMoved reports whether the request moves to another region at the level.
func (e *evacuation) isMoved(q Request, level float64) bool {
	return hashToUnitInterval(q.Hash, evacuationSalt) < e.movedShare(q.Team, level)
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

// advance settles the last step and takes the next one, which may move up to
// rate more requests per second on this host.
func (e *evacuation) advance(rate float64, now time.Time) {
	e.settle()
	e.takeStep(rate, now)
}

// settle settles the last step as far as its moves were granted.
func (e *evacuation) settle() {
	share := e.tracker.grantedShare()
	if share == 1 {
		e.settledLevel = e.level
		return
	}
	settledRate := e.movedRate(e.settledLevel)
	levelRate := e.movedRate(e.level)
	e.settledLevel = MaxMinFairRate(e.teamDemands(), settledRate+share*(levelRate-settledRate))
}

// takeStep sets the level that moves up to rate more requests per second, or
// fewer if the traffic returns. The rate is divided by the token cost of a
// request.
func (e *evacuation) takeStep(rate float64, now time.Time) {
	change := rate / e.tokenCost(now)
	if e.returning {
		change = -change
	}
	e.level = e.levelAfter(change)
	e.tracker.restart(now)
}

// movedRate returns the requests per second that move at the level.
func (e *evacuation) movedRate(level float64) float64 {
	sum := 0.0
	for _, d := range e.teamDemands() {
		sum += min(d.Rate, level*d.effectiveWeight())
	}
	return sum
}

// levelAfter returns the level that moves change more requests per second
// than the settled level. If no demand is known, either all requests move or
// none.
func (e *evacuation) levelAfter(change float64) float64 {
	totalDemand := sumRates(e.demandByTeam)
	if totalDemand == 0 && e.returning {
		return 0
	}
	if totalDemand == 0 {
		return 1
	}
	return MaxMinFairRate(e.teamDemands(), min(max(0, e.movedRate(e.settledLevel)+change), totalDemand))
}

// reverse changes the direction when the region is lost again or back. It
// settles what the last step moved, since moving it back takes tokens too.
func (e *evacuation) reverse(returning bool, now time.Time) {
	e.settle()
	e.returning = returning
	e.changedAt = now
}

// isDone reports whether the region has all of its traffic back.
func (e *evacuation) isDone() bool {
	return e.returning && e.settledLevel == 0 && e.level == 0
}
