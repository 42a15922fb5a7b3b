package retry

import "sync"

// retryCost is how many first tries pay for one retry. Eleven, because retries
// stay under a tenth of first tries.
const retryCost = 11

// maxSaved bounds what a quiet time saves up for a burst of retries, in first
// tries.
const maxSaved = 20 * retryCost

// Budget lets retries happen in proportion to first tries: at any time fewer
// than a tenth of them. Each host has one for each route. It starts empty, the
// zero value is ready, and a nil one allows none. It is safe for concurrent
// use.
type Budget struct {
	mu      sync.Mutex
	saved   int
	first   int64
	retries int64
	refused int64
}

// Counts is what a budget has counted.
type Counts struct {
	Requests int64 `json:"first"`
	Retries  int64 `json:"retries"`
	// Denied is how many retries the budget did not allow.
	Denied int64 `json:"refused"`
}

// RecordRequest notes a first try.
func (b *Budget) RecordRequest() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first++
	b.saved = min(b.saved+1, maxSaved)
}

// AllowRetry takes a retry from the budget, or reports false.
func (b *Budget) AllowRetry() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.saved < retryCost {
		b.refused++
		return false
	}
	b.saved -= retryCost
	b.retries++
	return true
}

// Counts returns what was counted so far.
func (b *Budget) Counts() Counts {
	if b == nil {
		return Counts{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{
		Requests: b.first,
		Retries:  b.retries,
		Denied:   b.refused,
	}
}
