package globallimit_test

import (
	"fmt"
	"time"

	"trefoilline.example/trefoilline/globallimit"
)

func (f *fleet) returnGrant(p *process, grant globallimit.Grant, grantedAt time.Time) {
	if p.dead || p.frozen {
		return
	}
	returned := p.limiter.ReturnGrant(grant)
	if returned > 0 {
		f.checker.Add(globallimit.GrantRecord{
			Limit: grant.Limit,
			Host:  p.name,
			Time:  grantedAt,
			Count: -returned,
		})
	}
}

// callers sends the requests of a team to hosts, as a Poisson process or evenly
// spaced.
type callers struct {
	limit string
	// perSecond is the rate of all callers together, in requests per second.
	perSecond float64
	// hosts are the hosts that requests are sent to, in equal parts.
	hosts    []string
	sent     int
	rejected int
	// stopped ends the requests.
	stopped bool
	// evenlySpaced keeps the team within its rate at all times. A Poisson
	// process at nine tenths of the rate exceeds the burst occasionally.
	evenlySpaced bool
	// wrongRejections counts rejected requests that a single bucket for the whole
	// fleet would have granted. The ideal fields are the state of that bucket.
	wrongRejections int
	idealTokens     float64
	idealRefilledAt time.Time
}

func (f *fleet) startCallers(c *callers) *callers {
	f.schedule(f.nextPause(c), func() { f.sendRequest(c) })
	return c
}

func (f *fleet) nextPause(c *callers) time.Duration {
	if c.evenlySpaced {
		return time.Duration(float64(time.Second) / c.perSecond)
	}
	return time.Duration(f.rand.ExpFloat64() / c.perSecond * float64(time.Second))
}

func (f *fleet) sendRequest(c *callers) {
	if c.stopped {
		return
	}
	f.schedule(f.nextPause(c), func() { f.sendRequest(c) })
	for _, p := range f.hosts[c.hosts[f.rand.IntN(len(c.hosts))]] {
		if p.frozen || p.dead {
			continue
		}
		c.sent++
		idealGrants := f.idealBucketGrants(c)
		if !f.acquireOne(p, c.limit) {
			c.rejected++
			if idealGrants {
				c.wrongRejections++
			}
		}
		return
	}
}

// idealBucketGrants reports whether a single bucket for the whole fleet grants
// the request.
func (f *fleet) idealBucketGrants(c *callers) bool {
	rate := c.limitRate(f.limits)
	c.idealTokens = min(rate.Burst, c.idealTokens+f.now.Sub(c.idealRefilledAt).Seconds()*rate.PerSecond)
	c.idealRefilledAt = f.now
	if c.idealTokens < 1 {
		return false
	}
	c.idealTokens--
	return true
}

func (c *callers) limitRate(limits []globallimit.Limit) globallimit.Rate {
	for _, limit := range limits {
		if rate, ok := limit.Kind.(globallimit.Rate); ok && limit.Name == c.limit {
			return rate
		}
	}
	return globallimit.Rate{}
}

// rejectedFractionSinceReset returns the fraction of requests that was rejected
// since the last call, and clears the counts.
func (c *callers) rejectedFractionSinceReset() float64 {
	rejectedFraction := 0.0
	if c.sent > 0 {
		rejectedFraction = float64(c.rejected) / float64(c.sent)
	}
	c.sent = 0
	c.rejected = 0
	c.wrongRejections = 0
	return rejectedFraction
}

// teamLimits returns rate limits of teams. Every fourth is five times as large
// as the others, because our users have a few large teams.
func teamLimits(count int) []globallimit.Limit {
	limits := make([]globallimit.Limit, count)
	for i := range limits {
		rate := 12.0
		if i%4 == 0 {
			rate = 60
		}
		limits[i] = globallimit.Limit{
			Name: fmt.Sprintf("team/%03d", i),
			Kind: globallimit.Rate{
				PerSecond: rate,
				Burst:     2 * rate,
			},
		}
	}
	return limits
}
