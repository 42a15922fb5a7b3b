/*
Package meter counts how often things happen: a rate over the recent past, and a
bucket of tokens that bounds one. Neither is safe for concurrent use; their owners
lock. Both take the time, so that tests state it.

# Usage

	var asked meter.Rate
	asked.Add(now)
	perSecond := asked.At(now)

	bucket := meter.Bucket{
		Rate:  20,
		Burst: 5,
	}
	if !bucket.Take(now) {
		wait := bucket.Wait(now)
	}
*/
package meter

import (
	"math"
	"time"
)

// DefaultWindow is over how long a [Rate] tells.
const DefaultWindow = 500 * time.Millisecond

// Rate is how often something happens in a second, lately. The zero value is
// ready.
type Rate struct {
	// Window is over how long; [DefaultWindow] if zero.
	Window time.Duration

	perSecond float64
	counted   time.Time
}

// AddTokens counts one.
func (r *Rate) Add(now time.Time) {
	r.AddAmount(now, 1)
}

// AddAmount counts an amount.
func (r *Rate) AddAmount(now time.Time, amount float64) {
	r.perSecond = r.PerSecond(now) + amount/r.window().Seconds()
	r.counted = now
}

// PerSecond returns the rate per second.
func (r *Rate) PerSecond(now time.Time) float64 {
	if r.counted.IsZero() {
		return 0
	}
	return r.perSecond * math.Exp(-now.Sub(r.counted).Seconds()/r.window().Seconds())
}

func (r *Rate) window() time.Duration {
	if r.Window > 0 {
		return r.Window
	}
	return DefaultWindow
}

// Bucket lets a rate pass, and a burst on top. The zero value lets nothing pass,
// and a new bucket is empty.
type TokenBucket struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is how many tokens are saved at most.
	Burst float64

	tokens float64
	filled time.Time
}

// TakeToken takes a token, or reports false.
func (b *TokenBucket) TakeToken(now time.Time) bool {
	if !b.HasToken(now) {
		return false
	}
	b.tokens--
	return true
}

// HasToken tells whether there is a token.
func (b *TokenBucket) HasToken(now time.Time) bool {
	b.fill(now)
	return b.tokens >= 1
}

// Add puts tokens into the bucket, as far as they fit.
func (b *TokenBucket) AddTokens(tokens float64) {
	b.tokens = min(b.tokens+tokens, b.Burst)
}

// TimeUntilToken returns how long it takes until there is a token.
func (b *TokenBucket) TimeUntilToken(now time.Time) time.Duration {
	b.fill(now)
	if b.tokens >= 1 {
		return 0
	}
	if b.Rate <= 0 {
		return math.MaxInt64
	}
	return time.Duration((1-b.tokens)/b.Rate*float64(time.Second)) + 1
}

// Set changes the rate and the burst from now on. What was saved beyond the new
// burst is lost.
func (b *TokenBucket) SetRate(now time.Time, rate, burst float64) {
	b.fill(now)
	b.Rate = rate
	b.Burst = burst
	b.tokens = min(b.tokens, burst)
}

func (b *TokenBucket) fill(now time.Time) {
	if !b.filled.IsZero() && now.After(b.filled) {
		b.tokens = min(b.tokens+b.Rate*now.Sub(b.filled).Seconds(), b.Burst)
	}
	if now.After(b.filled) {
		b.filled = now
	}
}
