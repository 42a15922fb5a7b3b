package apikey

import (
	"sync"
	"sync/atomic"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// KeySet holds a host's current [View] of the API keys. The zero value is ready to
// use and safe for concurrent use. Reads take no lock.
type KeySet struct {
	mu      sync.Mutex
	current atomic.Pointer[View]
	// OnViolation is called for each [Violation]. Set it before the first use. It
	// is called while changes are locked out, so it must not change the set. The
	// new view is applied nevertheless.
	OnViolation func(Violation)
	violations  atomic.Int64
}

// Violation reports a broken invariant: a withdrawn API key became valid again.
type Violation struct {
	Hash Hash
	Team string
}

// View returns the current view.
func (s *KeySet) View() View {
	if v := s.current.Load(); v != nil {
		return *v
	}
	return View{}
}

// ApplyChanges applies the changes that a watch returned; see
// [View.ApplyChanges].
func (s *KeySet) ApplyChanges(changes objectstore.VersionedObjects, confirmedAt time.Time) {
	s.update(func(v View) View { return v.ApplyChanges(changes, confirmedAt) })
}

// ApplyList applies a full list of the store's records; see [View.ApplyList].
func (s *KeySet) ApplyList(objects []objectstore.Object, confirmedAt time.Time) {
	s.update(func(v View) View { return v.ApplyList(objects, confirmedAt) })
}

// Merge merges the view of another host; see [View.Merge].
func (s *KeySet) Merge(other View) {
	s.update(func(v View) View { return v.Merge(other) })
}

// ViolationCount returns the number of violations so far.
func (s *KeySet) ViolationCount() int64 { return s.violations.Load() }

func (s *KeySet) update(change func(View) View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.View()
	after := change(before)
	s.checkWithdrawals(before, after)
	s.current.Store(&after)
}

// checkWithdrawals reports a violation for each API key that is withdrawn in the
// view before and valid in the view after.
func (s *KeySet) checkWithdrawals(before, after View) {
	for hash, state := range before.states {
		if !state.Withdrawn || after.states[hash].Withdrawn {
			continue
		}
		s.violations.Add(1)
		if s.OnViolation != nil {
			s.OnViolation(Violation{
				Hash: hash,
				Team: state.Team,
			})
		}
	}
}
