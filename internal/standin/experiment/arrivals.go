package experiment

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Arrival is one request and the time at which it is due.
type Arrival struct {
	// At is the offset from the start of the run.
	At time.Duration
	// TeamIndex and RequestIndex are indexes into the plan's Teams and Requests.
	// CallerIndex counts the callers of the team from zero.
	TeamIndex    int
	CallerIndex  int
	RequestIndex int
}

// Arrivals returns all requests of the plan in order of time. The gaps between a
// team's requests are exponentially distributed. The same plan gives the same
// arrivals.
func (p *Plan) Arrivals() []Arrival {
	var arrivals []Arrival
	for i := range p.Teams {
		// Each team has its own random source, so that editing one team of a
		// plan leaves the arrivals of the others unchanged.
		random := rand.New(rand.NewPCG(p.Seed, uint64(i)))
		arrivals = append(arrivals, p.teamArrivals(i, random)...)
	}
	sort.SliceStable(arrivals, func(i, j int) bool { return arrivals[i].At < arrivals[j].At })
	return arrivals
}

func (p *Plan) teamArrivals(teamIndex int, random *rand.Rand) []Arrival {
	var list []Arrival
	t := p.Teams[teamIndex]
	at := time.Duration(0)
	for {
		gap := random.ExpFloat64() / (t.Rate * t.rateFactorAt(at))
		at += time.Duration(gap * float64(time.Second))
		if at >= time.Duration(p.Duration) {
			return list
		}
		list = append(list, Arrival{
			At:           at,
			TeamIndex:    teamIndex,
			CallerIndex:  random.IntN(t.CallerCount),
			RequestIndex: p.pickRequest(random),
		})
	}
}

// pickRequest picks a request at random by weight and returns its index.
func (p *Plan) pickRequest(random *rand.Rand) int {
	total := 0.0
	for _, r := range p.Requests {
		total += r.Weight
	}
	remaining := random.Float64() * total
	for i, r := range p.Requests {
		remaining -= r.Weight
		if remaining < 0 {
			return i
		}
	}
	return len(p.Requests) - 1
}
