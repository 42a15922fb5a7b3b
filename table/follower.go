package table

import (
	"sync"
	"sync/atomic"
)

// Follower keeps the highest version that it was offered, from whatever
// source, and never goes back. The zero value is ready and safe for concurrent
// use.
type Follower struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// OnViolation is called for each [Violation], if set before the first offer.
	OnViolation func(Violation)
	ignored     atomic.Int64
	violations  atomic.Int64
}

// Violation is a broken promise of the table: two tables under one version.
type Violation struct {
	Version Version
	Held    Sum
	Offered Sum
}

// Offer takes the snapshot if it is newer than the one held, and says whether
// it did.
func (f *Follower) Offer(s *Snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	held := f.current.Load()
	if held == nil || s.Head.Version > held.Head.Version {
		f.current.Store(s)
		return true
	}
	if s.Head.Version < held.Head.Version {
		f.ignored.Add(1)
		return false
	}
	if s.Head.Manifest != held.Head.Manifest {
		f.violate(Violation{
			Version: held.Head.Version,
			Held:    held.Head.Manifest,
			Offered: s.Head.Manifest,
		})
	}
	return false
}

func (f *Follower) violate(v Violation) {
	f.violations.Add(1)
	if f.OnViolation != nil {
		f.OnViolation(v)
	}
}

// Current returns the snapshot in force, nil if there is none yet.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Version returns the version in force, zero if there is none yet.
func (f *Follower) Version() Version {
	if s := f.current.Load(); s != nil {
		return s.Head.Version
	}
	return 0
}

// Ignored returns how many lower versions were offered; a lagging source is no
// fault.
func (f *Follower) Ignored() int64 { return f.ignored.Load() }

// Violations returns how many violations were seen.
func (f *Follower) Violations() int64 { return f.violations.Load() }
