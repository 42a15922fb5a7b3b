package intake

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// RetryBudget bounds the sends beyond the first of each request, by service, over all
// hosts: a share of the requests and a fixed number in a window. Each host uses its
// part. A nil budget allows none.
type RetryBudget struct {
	// Ratio is how many sends each request pays for.
	Ratio float64
	// Burst is how many more there may be in a window.
	Burst float64
	// HostCount returns how many hosts share the slack.
	HostCount func() int
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu      sync.Mutex
	buckets map[string]*meter.TokenBucket
}

// safety is the part of the budget that is used, since hosts that come and go
// count each other late.
const safety = 0.7

// SetLimits changes how many sends beyond the first there may be.
func (b *RetryBudget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio = ratio
	b.Burst = slack
}

// RecordRequest notes a request.
func (b *RetryBudget) RecordRequest(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service).AddTokens(safety * b.Ratio)
}

// AllowRetry pays for one more send, or reports false.
func (b *RetryBudget) AllowRetry(service string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).TakeToken(b.now())
}

func (b *RetryBudget) bucket(service string) *meter.TokenBucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*meter.TokenBucket)
	}
	burst := max(safety*b.Burst/float64(max(b.HostCount(), 1)), 1)
	k, known := b.buckets[service]
	if !known {
		k = &meter.TokenBucket{}
		b.buckets[service] = k
	}
	k.SetRate(b.now(), 0, burst)
	if !known {
		k.AddTokens(burst)
	}
	return k
}

func (b *RetryBudget) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock()
}
