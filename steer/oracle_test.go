package steer_test

import (
	"time"

	"trefoilline.example/trefoilline/steer"
)

// averagingSeconds is the length of the intervals over which shiftMeter
// averages the rate of moves.
const averagingSeconds = 2

// shiftMeter checks the moves from one region to another against the shift
// cap, independently of plans and tokens. It counts the requests that were
// sent to the second region although the original region of their hash is the
// first. The allowed rate is the cap plus the largest rate, averaged over
// averagingSeconds, of moves that are old enough to have settled, with
// averagingSeconds of tolerance.
type shiftMeter struct {
	rate  float64
	burst float64
	start time.Time
	// counts are the moves in each second since the start.
	counts []int
	// settledRate is the largest average rate of moves that are old enough to
	// have settled.
	settledRate float64
	// used is the level of a leaky bucket with the allowed rate.
	used float64
	last time.Time
	// overCount is the number of moves above the allowed rate and burst.
	overCount int
}

// count counts one move.
func (m *shiftMeter) count(now time.Time) {
	m.used = max(0, m.used-(m.rate+m.settledRate)*now.Sub(m.last).Seconds()) + 1
	m.last = now
	second := int(now.Sub(m.start) / time.Second)
	for len(m.counts) <= second {
		m.counts = append(m.counts, 0)
		m.settle(len(m.counts) - int(steer.StepHoldTime/time.Second) + averagingSeconds)
	}
	m.counts[second]++
	if m.used > m.burst*(1+m.settledRate/m.rate)+1 {
		m.overCount++
	}
}

// settle raises settledRate to the average rate before the given second, if
// that is larger.
func (m *shiftMeter) settle(second int) {
	if second < averagingSeconds {
		return
	}
	sum := 0
	for _, n := range m.counts[second-averagingSeconds : second] {
		sum += n
	}
	m.settledRate = max(m.settledRate, float64(sum)/averagingSeconds)
}

// recordOriginalRegions records the region of each request hash at the entry
// hosts of each region, before any fault.
func (f *fleet) recordOriginalRegions() {
	seen := make(map[string]bool)
	for _, e := range f.entryHosts {
		if seen[e.region] {
			continue
		}
		seen[e.region] = true
		for _, route := range f.table.Routes {
			for number := range requestHashCount {
				f.recordOriginalRegion(e, newRequest(route, number))
			}
		}
	}
}

func (f *fleet) recordOriginalRegion(e *entryHost, q steer.Request) {
	d, err := e.router.Decide(q)
	if err == nil {
		f.originalRegions[trafficKeyOf(e, q)] = d.Region
	}
}

// movesOverCap returns the number of moves above a shift cap, in all
// directions.
func (f *fleet) movesOverCap() int {
	over := 0
	for _, m := range f.shiftMeters {
		over += m.overCount
	}
	return over
}
