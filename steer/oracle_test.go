package steer_test

import (
	"time"

	"trefoilline.example/trefoilline/steer"
)

// averaged is the time, in seconds, over which the oracle averages a flow. It
// ends so long after the time that the flow is taken for.
const averaged = 2

// meter is the oracle of one direction between two regions. It knows nothing of
// plans and tokens: it counts the requests whose point was at home in the one
// region and that were sent to the other. What was moved for Hold is settled, so
// the cap allows the flow of Hold ago, averaged, and the cap's rate on top.
type meter struct {
	rate  float64
	burst float64
	start time.Time
	// counts has the requests of each second since the start.
	counts []int
	// settled is the largest average flow up to Hold ago.
	settled float64
	used    float64
	last    time.Time
	over    int
}

// count notes one request.
func (m *meter) count(now time.Time) {
	m.used = max(0, m.used-(m.rate+m.settled)*now.Sub(m.last).Seconds()) + 1
	m.last = now
	second := int(now.Sub(m.start) / time.Second)
	for len(m.counts) <= second {
		m.counts = append(m.counts, 0)
		m.settle(len(m.counts) - int(steer.StepHoldTime/time.Second) + averaged)
	}
	m.counts[second]++
	if m.used > m.burst*(1+m.settled/m.rate)+1 {
		m.over++
	}
}

// settle takes the average up to the second as settled, if it is larger.
func (m *meter) settle(second int) {
	if second < averaged {
		return
	}
	sum := 0
	for _, n := range m.counts[second-averaged : second] {
		sum += n
	}
	m.settled = max(m.settled, float64(sum)/averaged)
}

// settleHomes notes the home of each point at the entry hosts of each region.
func (f *fleet) settleHomes() {
	seen := make(map[string]bool)
	for _, e := range f.entries {
		if seen[e.region] {
			continue
		}
		seen[e.region] = true
		for _, route := range f.table.Routes {
			for number := range points {
				f.settleHome(e, request(route, number))
			}
		}
	}
}

func (f *fleet) settleHome(e *entry, q steer.Request) {
	d, err := e.router.Decide(q)
	if err == nil {
		f.homes[originOf(e, q)] = d.Region
	}
}

// overCap returns how many moves were above a cap.
func (f *fleet) overCap() int {
	over := 0
	for _, m := range f.meters {
		over += m.over
	}
	return over
}
