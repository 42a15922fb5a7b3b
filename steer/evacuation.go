package steer

import "time"

const (
	// ColdCacheTime is how long requests that a loss moves cost more tokens, since
	// they meet cold caches.
	ColdCacheTime = 30 * time.Second
	// coldCost is what such a request costs at first.
	coldCost = 4.0
)

// evacuation is how far a route's traffic has left a lost region, on this
// host. It grows in steps that the shift caps allow. Each team gets what it
// wants up to a level times its weight, so what is refused is shared by
// weight. When the region is back, it shrinks in the same way.
type evacuation struct {
	region string
	// share is the weights by which the traffic goes elsewhere.
	share Weights
	// back says that the region is no longer lost.
	back  bool
	since time.Time
	// demand is each team's requests per second for the region when it was
	// lost.
	demand  map[string]float64
	weights map[string]float64
	// settled and level are the levels before and with the last step.
	settled float64
	level   float64
	hold    hold
}

func (e *evacuation) demands() []TeamDemand {
	demands := make([]TeamDemand, 0, len(e.demand))
	for team, rate := range e.demand {
		demands = append(demands, TeamDemand{
			Rate:   rate,
			Weight: e.weights[team],
		})
	}
	return demands
}

// part returns the part of the team's requests that goes over at the level. A
// team that sent nothing before the loss is taken to want little.
func (e *evacuation) part(team string, level float64) float64 {
	want := TeamDemand{
		Rate:   e.demand[team],
		Weight: e.weights[team],
	}
	if level <= 0 {
		return 0
	}
	if want.full() <= level {
		return 1
	}
	return level / want.full()
}

// over reports whether the request goes over at the level.
func (e *evacuation) over(q Request, level float64) bool {
	return unit(q.Hash, evacuationSalt) < e.part(q.Team, level)
}

// evacuationSalt makes the order in which points leave independent of where
// they are placed.
const evacuationSalt = "evacuation"

// cost returns the tokens that a moved request costs.
func (e *evacuation) cost(now time.Time) float64 {
	age := float64(now.Sub(e.since)) / float64(ColdCacheTime)
	return max(1, coldCost-(coldCost-1)*age)
}

// advance settles what the last step moved and takes the next one, which may
// move up to rate requests per second more from this host.
func (e *evacuation) advance(rate float64, now time.Time) {
	e.settle()
	e.step(rate, now)
}

// settle takes as settled what the last step moved.
func (e *evacuation) settle() {
	granted := e.hold.granted()
	if granted == 1 {
		e.settled = e.level
		return
	}
	before := e.moved(e.settled)
	after := e.moved(e.level)
	e.settled = MaxMinFairRate(e.demands(), before+granted*(after-before))
}

// step takes the next step.
func (e *evacuation) step(rate float64, now time.Time) {
	step := rate / e.cost(now)
	if e.back {
		step = -step
	}
	e.level = e.levelFor(step)
	e.hold.restart(now)
}

// moved returns the requests per second that go over at the level.
func (e *evacuation) moved(level float64) float64 {
	sum := 0.0
	for _, d := range e.demands() {
		sum += min(d.Rate, level*d.weight())
	}
	return sum
}

// levelFor returns the level that moves step requests per second more than the
// settled one. Without known demand it is all or nothing.
func (e *evacuation) levelFor(step float64) float64 {
	all := total(e.demand)
	if all == 0 && e.back {
		return 0
	}
	if all == 0 {
		return 1
	}
	return MaxMinFairRate(e.demands(), min(max(0, e.moved(e.settled)+step), all))
}

// turn changes the direction when the region is lost again or back. What moved
// of late counts as settled, since it takes tokens to move back.
func (e *evacuation) turn(back bool, now time.Time) {
	e.settle()
	e.back = back
	e.since = now
}

// done reports whether the region has all of its traffic back.
func (e *evacuation) done() bool {
	return e.back && e.settled == 0 && e.level == 0
}
