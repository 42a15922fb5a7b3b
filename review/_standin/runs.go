package main

import "sync"

// runs holds what servers did with each request.
type runs struct {
	mu   sync.Mutex
	byID map[string]map[string]bool
}

func newRuns() *runs { return &runs{byID: make(map[string]map[string]bool)} }

func (r *runs) add(id, what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID[id] == nil {
		r.byID[id] = make(map[string]bool)
	}
	r.byID[id][what] = true
}

func (r *runs) has(id, what string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id][what]
}
