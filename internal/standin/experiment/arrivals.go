package experiment

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is one request that is due.
type Arrival struct {
	// At counts from the start of the run.
	At time.Duration
	// Team, Caller and Request are places in the plan's lists.
	TeamIndex    int
	CallerIndex  int
	RequestIndex int
}

// Arrivals returns the whole load of the plan in order of time. The gaps of
// each team are exponential. The same plan gives the same arrivals.
func (p *Plan) Arrivals() []Arrival {
	var all []Arrival
	for i := range p.Teams {
		// A source for each team keeps a team's load apart from edits to others.
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		all = append(all, p.teamArrivals(i, random)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

func (p *Plan) teamArrivals(team int, random *rand.Rand) []Arrival {
	var list []Arrival
	t := p.Teams[team]
	at := time.Duration(0)
	for {
		gap := random.ExpFloat64() / (t.Rate * t.factorAt(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= time.Duration(p.Duration) {
			return list
		}
		list = append(list, Arrival{
			At:           at,
			TeamIndex:    team,
			CallerIndex:  random.IntN(t.CallerCount),
			RequestIndex: p.pick(random),
		})
	}
}

// pick chooses a request by the parts of the traffic.
func (p *Plan) pick(random *rand.Rand) int {
	total := 0.0
	for _, r := range p.Requests {
		total += r.Weight
	}
	left := random.Float64() * total
	for i, r := range p.Requests {
		left -= r.Weight
		if left < 0 {
			return i
		}
	}
	return len(p.Requests) - 1
}
