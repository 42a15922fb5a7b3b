package intake

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// RetryBudget limits the retries for each service over all entry hosts: in any period
// they send at most Ratio retries per request, plus Slack retries. Each host uses its
// share of the Slack. A nil budget allows no retries. It is safe for concurrent use.
type RetryBudget struct {
	// Ratio is the number of retries that each request pays for.
	Ratio float64
	// Burst is the number of retries that are allowed besides.
	Burst float64
	// HostCount returns the number of entry hosts that share the Slack.
	HostCount func() int
	// Clock returns the current time; nil means [time.Now].
	Clock func() time.Time

	mu      sync.Mutex
	buckets map[string]*meter.Bucket
}

// usedFraction is the fraction of the Ratio and the Slack that is used. It leaves a
// margin, because hosts learn late of hosts that start or stop, and so their shares
// may add up to more than the whole.
const usedFraction = 0.7

// SetLimits changes the Ratio and the Slack.
func (b *RetryBudget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio = ratio
	b.Burst = slack
}

// RecordRequest counts a request, which pays for a part of a retry.
func (b *RetryBudget) RecordRequest(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service).Add(usedFraction * b.Ratio)
}

// AllowRetry takes one retry from the budget of the service. It returns false if the
// budget does not allow a retry.
func (b *RetryBudget) AllowRetry(service string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).Take(b.now())
}

// bucket returns the token bucket of a service, with its capacity set for the current
// number of hosts. A new bucket is full. Only requests refill it, not time.
func (b *RetryBudget) bucket(service string) *meter.Bucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*meter.Bucket)
	}
	capacity := max(usedFraction*b.Burst/float64(max(b.HostCount(), 1)), 1)
	bucket, found := b.buckets[service]
	if !found {
		bucket = &meter.Bucket{}
		b.buckets[service] = bucket
	}
	bucket.Set(b.now(), 0, capacity)
	if !found {
		bucket.Add(capacity)
	}
	return bucket
}

func (b *RetryBudget) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock()
}
