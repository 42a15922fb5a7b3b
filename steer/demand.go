package steer

import "time"

// demandWindow is the length of a window in which requests are counted.
const demandWindow = 10 * time.Second

// demandCounter counts requests by team in windows of demandWindow.
type demandCounter struct {
	windowStart   time.Time
	currentCounts map[string]int
	lastCounts    map[string]int
}

func (d *demandCounter) countRequest(team string, now time.Time) {
	d.rollWindow(now)
	if d.currentCounts == nil {
		d.currentCounts = make(map[string]int)
	}
	d.currentCounts[team]++
}

// rollWindow starts a new window if the current one is over.
func (d *demandCounter) rollWindow(now time.Time) {
	age := now.Sub(d.windowStart)
	if age < demandWindow {
		return
	}
	d.lastCounts = d.currentCounts
	if age >= 2*demandWindow {
		d.lastCounts = nil
	}
	d.currentCounts = nil
	d.windowStart = now
}

// rates returns each team's requests per second over the last whole window,
// or over the current one if no whole window has counts.
func (d *demandCounter) rates(now time.Time) map[string]float64 {
	d.rollWindow(now)
	counts, duration := d.lastCounts, demandWindow
	if counts == nil {
		counts, duration = d.currentCounts, max(now.Sub(d.windowStart), time.Second)
	}
	rates := make(map[string]float64, len(counts))
	for team, count := range counts {
		rates[team] = float64(count) / duration.Seconds()
	}
	return rates
}

func sumRates(rates map[string]float64) float64 {
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	return sum
}
