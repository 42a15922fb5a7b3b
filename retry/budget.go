package retry

import "sync"

// retryCost is the number of tokens that a retry takes, where each request adds one
// token. It is 11 and not 10, because there must always be fewer retries than a tenth
// of the requests.
const retryCost = 11

// maxTokens is the capacity of the token bucket. It allows at most 20 retries in a row
// after a period without retries.
const maxTokens = 20 * retryCost

// Budget limits retries in proportion to requests: at any time the retries are
// fewer than a tenth of the requests so far. It is a token bucket that requests fill:
// each request adds one token, and each retry takes 11. Package entry keeps one budget
// for each route on each host. A budget starts empty. The zero value is ready for use,
// and a nil budget denies every retry. It is safe for concurrent use.
//
// Package intake has a different budget, intake.RetryBudget, whose ratio and burst are
// settings and apply to all hosts together.
type Budget struct {
	mu       sync.Mutex
	tokens   int
	requests int64
	retries  int64
	denied   int64
}

// Counts holds what a budget has counted since it was created.
type Counts struct {
	// Requests is the number of requests, each counted once however often it was
	// sent.
	Requests int64 `json:"first"`
	Retries  int64 `json:"retries"`
	// Denied is the number of retries that the budget denied.
	Denied int64 `json:"refused"`
}

// RecordRequest counts a request and adds one token.
func (b *Budget) RecordRequest() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.tokens = min(b.tokens+1, maxTokens)
}

// AllowRetry takes the tokens for one retry. If there are too few, it denies the retry
// and returns false.
func (b *Budget) AllowRetry() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < retryCost {
		b.denied++
		return false
	}
	b.tokens -= retryCost
	b.retries++
	return true
}

// Counts returns what the budget has counted so far.
func (b *Budget) Counts() Counts {
	if b == nil {
		return Counts{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{
		Requests: b.requests,
		Retries:  b.retries,
		Denied:   b.denied,
	}
}
