/*
Package meter measures and limits rates: [Rate] is a moving average of how often
something happens, and [TokenBucket] is a token bucket. Neither is safe for concurrent
use; their owners lock. Both take the current time as a parameter, so that tests can
set it.

# Usage

	var requests meter.Rate
	requests.Add(now)
	perSecond := requests.PerSecond(now)

	bucket := meter.TokenBucket{
		Rate:  20,
		Burst: 5,
	}
	if !bucket.TakeToken(now) {
		wait := bucket.TimeUntilToken(now)
	}
*/
package meter

import (
	"math"
	"time"
)

// DefaultTimeConstant is the time constant of a [Rate] that sets none.
const DefaultTimeConstant = 500 * time.Millisecond

// Rate is an exponentially weighted moving average of how often something happens. The
// zero value is ready for use.
type Rate struct {
	// TimeConstant is the time after which the weight of an event has fallen to 1/e.
	// Zero means [DefaultTimeConstant].
	TimeConstant time.Duration

	ratePerSecond float64
	updatedAt     time.Time
}

// Add counts one event.
func (r *Rate) Add(now time.Time) {
	r.AddN(now, 1)
}

// AddN counts n events; n need not be an integer.
func (r *Rate) AddN(now time.Time, n float64) {
	r.ratePerSecond = r.PerSecond(now) + n/r.timeConstant().Seconds()
	r.updatedAt = now
}

// PerSecond returns the average rate per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.updatedAt.IsZero() {
		return 0
	}
	return r.ratePerSecond * math.Exp(-now.Sub(r.updatedAt).Seconds()/r.timeConstant().Seconds())
}

func (r *Rate) timeConstant() time.Duration {
	if r.TimeConstant > 0 {
		return r.TimeConstant
	}
	return DefaultTimeConstant
}

// TokenBucket limits how often something may happen to a rate and a burst. A new bucket
// is empty and begins to fill with the first call that passes a time. The zero value
// never holds a token.
type TokenBucket struct {
	// Rate is how many tokens are added per second.
	Rate float64
	// Burst is how many tokens the bucket holds at most.
	Burst float64

	tokens     float64
	refilledAt time.Time
}

// TakeToken removes a token and returns true, or returns false if there is none.
func (b *TokenBucket) TakeToken(now time.Time) bool {
	if !b.HasToken(now) {
		return false
	}
	b.tokens--
	return true
}

// HasToken reports whether there is a token.
func (b *TokenBucket) HasToken(now time.Time) bool {
	b.refill(now)
	return b.tokens >= 1
}

// TakeAbove removes the tokens beyond a burst and returns how many there were.
func (b *TokenBucket) TakeAbove(now time.Time, burst float64) float64 {
	b.refill(now)
	excess := max(0, b.tokens-burst)
	b.tokens -= excess
	return excess
}

// AddTokens adds tokens up to the burst.
func (b *TokenBucket) AddTokens(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.Burst)
}

// TimeUntilToken returns the time until there is a token, zero if there is one. The
// result is rounded up by a nanosecond, and is the maximum duration if the rate is zero or so low that
// the time is longer.
func (b *TokenBucket) TimeUntilToken(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	nanoseconds := (1 - b.tokens) / b.Rate * float64(time.Second)
	if b.Rate <= 0 || nanoseconds >= math.MaxInt64 {
		return math.MaxInt64
	}
	return time.Duration(nanoseconds) + 1
}

// SetRate changes the rate and the burst from now on. Tokens beyond the new burst are
// dropped.
func (b *TokenBucket) SetRate(now time.Time, rate, burst float64) {
	b.refill(now)
	b.Rate = rate
	b.Burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *TokenBucket) refill(now time.Time) {
	if !b.refilledAt.IsZero() && now.After(b.refilledAt) {
		b.tokens = min(b.tokens+b.Rate*now.Sub(b.refilledAt).Seconds(), b.Burst)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
}
