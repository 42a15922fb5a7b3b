package team

import (
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// KeySet holds a host's current [View] of the API keys. The zero value is
// ready to use and safe for concurrent use. Reads take no lock.
type KeySet struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	// OnViolation is called for each [Violation]. Set it before the first use.
	OnViolation func(Violation)
	violations  atomic.Int64
}

// Violation reports a broken invariant: a withdrawn API key became valid again.
type Violation struct {
	Hash Hash
	Team string
}

// View returns the current view.
func (c *KeySet) View() View {
	if v := c.current.Load(); v != nil {
		return *v
	}
	return View{}
}

// ApplyChanges applies the changes that a watch returned; see
// [View.ApplyChanges].
func (c *KeySet) ApplyChanges(changes objectstore.Changes, confirmedAt time.Time) {
	c.replace(func(v View) View { return v.ApplyChanges(changes, confirmedAt) })
}

// ApplyList applies a full list of the store's records; see [View.ApplyList].
func (c *KeySet) ApplyList(objects []objectstore.Object, confirmedAt time.Time) {
	c.replace(func(v View) View { return v.ApplyList(objects, confirmedAt) })
}

// Merge merges the view of another host; see [View.Merge].
func (c *KeySet) Merge(other View) {
	c.replace(func(v View) View { return v.Merge(other) })
}

// Violations returns the number of violations so far.
func (c *KeySet) Violations() int64 { return c.violations.Load() }

func (c *KeySet) replace(next func(View) View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.View()
	after := next(before)
	c.checkWithdrawals(before, after)
	c.current.Store(&after)
}

// checkWithdrawals reports a violation for each API key that is withdrawn in the
// view before and valid in the view after.
func (c *KeySet) checkWithdrawals(before, after View) {
	for hash, s := range before.states {
		if !s.Withdrawn || after.states[hash].Withdrawn {
			continue
		}
		c.violations.Add(1)
		if c.OnViolation != nil {
			c.OnViolation(Violation{
				Hash: hash,
				Team: s.Team,
			})
		}
	}
}
