package table

import (
	"sync"
	"sync/atomic"
)

// SnapshotTracker keeps the snapshot with the highest version that it has received
// from any source; it never returns to a lower version. The zero value is ready to
// use. A SnapshotTracker is safe for concurrent use.
type SnapshotTracker struct {
	mu      sync.Mutex
	current atomic.Pointer[Snapshot]
	// OnDuplicateVersion is called for each [DuplicateVersion]. It must be set before
	// the first call of Update. It is called while the tracker is locked, so it must
	// not call Update.
	OnDuplicateVersion    func(DuplicateVersion)
	ignoredCount          atomic.Int64
	duplicateVersionCount atomic.Int64
}

// DuplicateVersion reports a violated invariant: two different tables have the same
// version. Held is the manifest hash of the snapshot that the tracker keeps, Offered
// that of the snapshot that it rejected. The field names are part of the log format.
type DuplicateVersion struct {
	Version Version
	Held    Hash
	Offered Hash
}

// Update stores the snapshot if its version is higher than the current one, and
// reports whether it did.
func (t *SnapshotTracker) Update(s *Snapshot) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	current := t.current.Load()
	if current == nil || s.Head.Version > current.Head.Version {
		t.current.Store(s)
		return true
	}
	if s.Head.Version < current.Head.Version {
		t.ignoredCount.Add(1)
		return false
	}
	if s.Head.ManifestHash != current.Head.ManifestHash {
		t.reportDuplicateVersion(DuplicateVersion{
			Version: current.Head.Version,
			Held:    current.Head.ManifestHash,
			Offered: s.Head.ManifestHash,
		})
	}
	return false
}

func (t *SnapshotTracker) reportDuplicateVersion(v DuplicateVersion) {
	t.duplicateVersionCount.Add(1)
	if t.OnDuplicateVersion != nil {
		t.OnDuplicateVersion(v)
	}
}

// Current returns the current snapshot, or nil if there is none yet.
func (t *SnapshotTracker) Current() *Snapshot { return t.current.Load() }

// Version returns the current version, or 0 if there is none yet.
func (t *SnapshotTracker) Version() Version {
	if s := t.current.Load(); s != nil {
		return s.Head.Version
	}
	return 0
}

// IgnoredCount returns the number of snapshots that were ignored because their
// version was lower than the current one. They are not errors: they come from sources
// that lag behind.
func (t *SnapshotTracker) IgnoredCount() int64 { return t.ignoredCount.Load() }

// DuplicateVersionCount returns the number of duplicate versions that were detected.
func (t *SnapshotTracker) DuplicateVersionCount() int64 { return t.duplicateVersionCount.Load() }
