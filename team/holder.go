package team

import (
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// KeySet keeps a host's view of the keys. The zero value is ready and safe for
// concurrent use; reading takes no lock.
type KeySet struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	// OnViolation is called for each [Violation], if set before the first use.
	OnViolation func(Violation)
	violations  atomic.Int64
}

// Violation is a broken promise of the keys: a withdrawn one became good.
type Violation struct {
	Hash Hash
	Team string
}

// View returns the view in force.
func (h *KeySet) View() View {
	if v := h.current.Load(); v != nil {
		return *v
	}
	return View{}
}

// ApplyChanges takes in the changes of a watch; see [View.ApplyChanges].
func (h *KeySet) ApplyChanges(changes objectstore.Changes, confirmed time.Time) {
	h.replace(func(v View) View { return v.ApplyChanges(changes, confirmed) })
}

// ApplyList takes in a full list; see [View.ApplyList].
func (h *KeySet) ApplyList(objects []objectstore.Object, confirmed time.Time) {
	h.replace(func(v View) View { return v.ApplyList(objects, confirmed) })
}

// Merge takes in a peer's view; see [View.Merge].
func (h *KeySet) Merge(other View) {
	h.replace(func(v View) View { return v.Merge(other) })
}

// Violations returns how many violations were seen.
func (h *KeySet) Violations() int64 { return h.violations.Load() }

func (h *KeySet) replace(next func(View) View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.View()
	after := next(before)
	h.check(before, after)
	h.current.Store(&after)
}

// check asserts that every withdrawal of the view before still holds.
func (h *KeySet) check(before, after View) {
	for hash, s := range before.standings {
		if !s.Withdrawn || after.standings[hash].Withdrawn {
			continue
		}
		h.violations.Add(1)
		if h.OnViolation != nil {
			h.OnViolation(Violation{
				Hash: hash,
				Team: s.Team,
			})
		}
	}
}
