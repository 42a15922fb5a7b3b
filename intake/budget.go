package intake

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/meter"
)

// RetryBudget limits the retries for each service over all entry hosts: in any period
// they send at most Ratio retries per request, plus Burst retries. Each service has a
// token bucket on each host, which holds the host's share of the Burst, but at least one
// token; so with very many hosts there can be more than Burst retries. The bucket is full
// at first; requests refill it, and each retry takes a token. A nil budget denies every
// retry. It is safe for concurrent use.
//
// Package entry uses a different budget, [retry.Budget], which belongs to one host and
// allows retries for less than a tenth of the requests.
type RetryBudget struct {
	// Ratio is the number of tokens that each request adds to its service's bucket.
	Ratio float64
	// Burst is the number of retries, over all hosts, that are allowed in addition.
	Burst float64
	// HostCount returns the number of entry hosts that share the Burst.
	HostCount func() int
	// Clock returns the current time; nil means [time.Now].
	Clock func() time.Time

	mu      sync.Mutex
	buckets map[string]*meter.TokenBucket
}

// usedFraction is the fraction of the Burst and the Ratio that is used. It leaves a
// margin, because hosts learn late of hosts that start or stop, so that their shares of
// the Burst may add up to more than the whole. The Ratio is reduced by the same fraction,
// although it is not divided among the hosts.
const usedFraction = 0.7

// SetLimits changes the Ratio and the Burst.
func (b *RetryBudget) SetLimits(ratio, burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Ratio = ratio
	b.Burst = burst
}

// RecordRequest adds the tokens for one request to the bucket of the service.
func (b *RetryBudget) RecordRequest(service string) {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service).AddTokens(usedFraction * b.Ratio)
}

// AllowRetry takes a token for one retry from the bucket of the service. If there is
// none, it denies the retry and returns false.
func (b *RetryBudget) AllowRetry(service string) bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).TakeToken(b.now())
}

// bucket returns the token bucket of a service, with its capacity set for the current
// number of hosts. A new bucket is full. It is refilled by requests and not over time.
func (b *RetryBudget) bucket(service string) *meter.TokenBucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*meter.TokenBucket)
	}
	capacity := max(usedFraction*b.Burst/float64(max(b.HostCount(), 1)), 1)
	bucket, found := b.buckets[service]
	if !found {
		bucket = &meter.TokenBucket{}
		b.buckets[service] = bucket
	}
	bucket.SetRate(b.now(), 0, capacity)
	if !found {
		bucket.AddTokens(capacity)
	}
	return bucket
}

func (b *RetryBudget) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock()
}
