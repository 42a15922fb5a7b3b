package steer

import "time"

const (
	// ColdTime is how long requests that a loss moves cost more tokens, since
	// they meet cold caches.
	ColdTime = 30 * time.Second
	// coldCost is what such a request costs at first.
	coldCost = 4.0
)

// evacuation is how far a route's traffic has left a lost region, on this
// host. It grows in steps that the shift caps allow. Each team gets what it
// wants up to a level times its weight, so what is refused is shared by
// weight. When the region is back, it shrinks in the same way.
type evacuation struct {
	region string
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
	pace    float64
	hold    hold
}

func (e *evacuation) demands() []Demand {
	demands := make([]Demand, 0, len(e.demand))
	for team, rate := range e.demand {
		demands = append(demands, Demand{
			Rate:   rate,
			Weight: e.weights[team],
		})
	}
	return demands
}

// part returns the part of the team's requests that goes over at the level. A
// team that sent nothing before the loss is taken to want little.
func (e *evacuation) part(team string, level float64) float64 {
	want := Demand{
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
	return unit(q.Point, evacuationSalt) < e.part(q.Team, level)
}

// evacuationSalt makes the order in which points leave independent of where
// they are placed.
const evacuationSalt = "evacuation"

// cost returns the tokens that a moved request costs.
func (e *evacuation) cost(now time.Time) float64 {
	age := float64(now.Sub(e.since)) / float64(ColdTime)
	return max(1, coldCost-(coldCost-1)*age)
}

// advance settles the last step if it held and takes the next one, which may
// move up to rate requests per second more from this host.
func (e *evacuation) advance(rate float64, now time.Time) {
	if !e.hold.settled(now) {
		e.slow()
		return
	}
	e.settled = e.level
	e.pace = min(1, e.pace*paceUp)
	e.step(rate, now)
}

// slow takes back half of a step that did not hold.
func (e *evacuation) slow() {
	if !e.hold.failed {
		return
	}
	e.hold.failed = false
	e.pace = max(leastPace, e.pace*paceDown)
	e.level = (e.settled + e.level) / 2
}

// step takes the next step.
func (e *evacuation) step(rate float64, now time.Time) {
	step := e.pace * rate / e.cost(now)
	if e.back {
		step = -step
	}
	e.level = e.levelFor(step)
	e.hold.restart(now)
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
	moved := 0.0
	for _, d := range e.demands() {
		moved += min(d.Rate, e.settled*d.weight())
	}
	return FairLevel(e.demands(), min(max(0, moved+step), all))
}

// turn changes the direction when the region is lost again or back.
func (e *evacuation) turn(back bool, rate float64, now time.Time) {
	if e.back == back {
		return
	}
	e.back = back
	e.since = now
	e.step(rate, now)
}

// done reports whether the region has all of its traffic back.
func (e *evacuation) done() bool {
	return e.back && e.settled == 0 && e.level == 0
}
