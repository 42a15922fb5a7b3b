package table

import (
	"sync"
	"sync/atomic"
)

// SnapshotTracker keeps the highest version that it was offered, from whatever
// source, and never goes back. The zero value is ready and safe for concurrent
// use.
type SnapshotTracker struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// OnDuplicateVersion is called for each [DuplicateVersion], if set before the first offer.
	OnDuplicateVersion func(DuplicateVersion)
	ignored            atomic.Int64
	violations         atomic.Int64
}

// DuplicateVersion is a broken promise of the table: two tables under one version.
type DuplicateVersion struct {
	Version Version
	Held    Hash
	Offered Hash
}

// Update takes the snapshot if it is newer than the one held, and says whether
// it did.
func (f *SnapshotTracker) Update(s *Snapshot) bool {
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
	if s.Head.ManifestHash != held.Head.ManifestHash {
		f.violate(DuplicateVersion{
			Version: held.Head.Version,
			Held:    held.Head.ManifestHash,
			Offered: s.Head.ManifestHash,
		})
	}
	return false
}

func (f *SnapshotTracker) violate(v DuplicateVersion) {
	f.violations.Add(1)
	if f.OnDuplicateVersion != nil {
		f.OnDuplicateVersion(v)
	}
}

// Current returns the snapshot in force, nil if there is none yet.
func (f *SnapshotTracker) Current() *Snapshot { return f.current.Load() }

// Version returns the version in force, zero if there is none yet.
func (f *SnapshotTracker) Version() Version {
	if s := f.current.Load(); s != nil {
		return s.Head.Version
	}
	return 0
}

// IgnoredCount returns how many lower versions were offered; a lagging source is no
// fault.
func (f *SnapshotTracker) IgnoredCount() int64 { return f.ignored.Load() }

// DuplicateVersionCount returns how many violations were seen.
func (f *SnapshotTracker) DuplicateVersionCount() int64 { return f.violations.Load() }
