package retry

import "sync"

// retryCost is how many requests pay for one retry. It is 11 and not 10, because
// there must always be fewer retries than a tenth of the requests.
const retryCost = 11

// maxSavedRequests is the most requests that a budget saves up, so that a quiet
// period pays for at most 20 retries in a row.
const maxSavedRequests = 20 * retryCost

// Budget limits retries in proportion to requests: at any time the retries are
// fewer than a tenth of the requests so far. Each entry host keeps one budget for
// each route. A budget starts empty. The zero value is ready for use, and a nil
// budget allows no retries. It is safe for concurrent use.
type Budget struct {
	mu            sync.Mutex
	savedRequests int
	requests      int64
	retries       int64
	refused       int64
}

// Counts holds what a budget has counted since it was created.
type Counts struct {
	// Requests is the number of requests, each counted once however often it was
	// sent.
	Requests int64 `json:"first"`
	Retries  int64 `json:"retries"`
	// Denied is the number of retries that the budget did not allow.
	Denied int64 `json:"refused"`
}

// RecordRequest counts a request, which pays for a part of a retry.
func (b *Budget) RecordRequest() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests++
	b.savedRequests = min(b.savedRequests+1, maxSavedRequests)
}

// AllowRetry takes one retry from the budget. It returns false if the budget does
// not allow a retry.
func (b *Budget) AllowRetry() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.savedRequests < retryCost {
		b.refused++
		return false
	}
	b.savedRequests -= retryCost
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
		Denied:   b.refused,
	}
}
