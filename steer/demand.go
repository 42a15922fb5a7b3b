package steer

import "time"

// demandWindow is the time over which traffic is counted.
const demandWindow = 10 * time.Second

// demand counts requests by team in windows.
type demand struct {
	start   time.Time
	current map[string]int
	last    map[string]int
}

// count notes a request of the team.
func (d *demand) count(team string, now time.Time) {
	d.roll(now)
	if d.current == nil {
		d.current = make(map[string]int)
	}
	d.current[team]++
}

// roll starts a new window when the current one is over.
func (d *demand) roll(now time.Time) {
	age := now.Sub(d.start)
	if age < demandWindow {
		return
	}
	d.last = d.current
	if age >= 2*demandWindow {
		d.last = nil
	}
	d.current = nil
	d.start = now
}

// rates returns each team's requests per second over the last whole window, or
// over the current one if there is none.
func (d *demand) rates(now time.Time) map[string]float64 {
	d.roll(now)
	counts, over := d.last, demandWindow
	if counts == nil {
		counts, over = d.current, max(now.Sub(d.start), time.Second)
	}
	rates := make(map[string]float64, len(counts))
	for team, n := range counts {
		rates[team] = float64(n) / over.Seconds()
	}
	return rates
}

func total(rates map[string]float64) float64 {
	sum := 0.0
	for _, r := range rates {
		sum += r
	}
	return sum
}
