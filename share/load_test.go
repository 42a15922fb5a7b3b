package share_test

import (
	"fmt"
	"time"

	"trefoilline.example/trefoilline/share"
)

func (f *fleet) giveBack(p *process, grant share.Grant, at time.Time) {
	if p.dead || p.frozen {
		return
	}
	returned := p.holder.ReturnGrant(grant)
	if returned > 0 {
		f.ledger.Add(share.GrantRecord{
			Limit: grant.Limit,
			Host:  p.name,
			Time:  at,
			Count: -returned,
		})
	}
}

// callers sends requests of a team to the hosts, as a Poisson process or evenly.
type callers struct {
	limit string
	// perSecond is the rate of all callers together.
	perSecond float64
	// hosts are where they send, in equal parts.
	hosts   []string
	sent    int
	refused int
	stopped bool
	// even keeps a team within its rate at all times; a Poisson process at nine
	// tenths of the rate leaves its burst now and then.
	even bool
	// wrong counts refusals of requests that one bucket for the whole fleet
	// would have granted.
	wrong int
	level float64
	last  time.Time
}

func (f *fleet) start(c *callers) *callers {
	f.after(f.pause(c), func() { f.call(c) })
	return c
}

func (f *fleet) pause(c *callers) time.Duration {
	if c.even {
		return time.Duration(float64(time.Second) / c.perSecond)
	}
	return time.Duration(f.chance.ExpFloat64() / c.perSecond * float64(time.Second))
}

func (f *fleet) call(c *callers) {
	if c.stopped {
		return
	}
	f.after(f.pause(c), func() { f.call(c) })
	for _, p := range f.hosts[c.hosts[f.chance.IntN(len(c.hosts))]] {
		if p.frozen || p.dead {
			continue
		}
		c.sent++
		ideal := f.ideal(c)
		if !f.take(p, c.limit) {
			c.refused++
			if ideal {
				c.wrong++
			}
		}
		return
	}
}

// ideal asks one bucket for the whole fleet.
func (f *fleet) ideal(c *callers) bool {
	rate := c.rate(f.limits)
	c.level = min(rate.Burst, c.level+f.now.Sub(c.last).Seconds()*rate.PerSecond)
	c.last = f.now
	if c.level < 1 {
		return false
	}
	c.level--
	return true
}

func (c *callers) rate(limits []share.Limit) share.Rate {
	for _, limit := range limits {
		if rate, ok := limit.Kind.(share.Rate); ok && limit.Name == c.limit {
			return rate
		}
	}
	return share.Rate{}
}

// reset starts a new count and returns the share that was refused.
func (c *callers) reset() float64 {
	part := 0.0
	if c.sent > 0 {
		part = float64(c.refused) / float64(c.sent)
	}
	c.sent = 0
	c.refused = 0
	c.wrong = 0
	return part
}

// teamLimits are rates of teams, a few large, as our users have them.
func teamLimits(number int) []share.Limit {
	limits := make([]share.Limit, number)
	for place := range limits {
		rate := 12.0
		if place%4 == 0 {
			rate = 60
		}
		limits[place] = share.Limit{
			Name: fmt.Sprintf("team/%03d", place),
			Kind: share.Rate{
				PerSecond: rate,
				Burst:     2 * rate,
			},
		}
	}
	return limits
}
