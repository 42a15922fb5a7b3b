package objectstore

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

// RestorePolicy tells a [Follower] what to believe of a store that came back from an older copy
// of its objects. Those who wrote an object write it again, but only after a while. The zero
// value believes the copy at once.
type RestorePolicy struct {
	// MissingFor is how long an object is kept that the copy lacks.
	MissingFor time.Duration
	// ReturnedFor is how long an object is left out that was removed before and is in the
	// copy again.
	ReturnedFor time.Duration
	// Order compares two states of an object by what they say: it is negative if a is the
	// older one, positive if it is the newer one, and zero if that is not known. A state that
	// is older than the known one is never taken. It may be nil.
	Order func(a, b Object) int
}

// removalMemory is how long a follower remembers an object that was removed, for the case that
// the store is restored from a copy that has it.
const removalMemory = time.Minute

// maxRemovedBytes is how many bytes the objects have together that a follower remembers in this way. Those of the longest ago are
// forgotten first.
const maxRemovedBytes = 4 << 20

// restoreState is what a follower remembers for and of a restore of the store.
type restoreState struct {
	// removed holds the last states of the objects that were removed, by key.
	removed map[string]removedObject
	// version is the version of the first list after the last restore; zero if there was
	// none.
	version Version
	// at is when that list was received.
	at time.Time
	// listAgainAt is when objects that were left out are listed again; zero if there are
	// none.
	listAgainAt time.Time
}

type removedObject struct {
	last Object
	at   time.Time
}

// isSince reports whether the store was restored less than the duration ago.
func (s *restoreState) isSince(now time.Time, duration time.Duration) bool {
	return s.version > 0 && now.Sub(s.at) < duration
}

// rememberRemoved remembers an object that is removed, and forgets those of long ago.
func (s *restoreState) rememberRemoved(o Object, now time.Time) {
	if s.removed == nil {
		s.removed = make(map[string]removedObject)
	}
	for key, r := range s.removed {
		if now.Sub(r.at) > removalMemory {
			delete(s.removed, key)
		}
	}
	s.removed[o.Key] = removedObject{
		last: o,
		at:   now,
	}
	s.forgetExcess()
}

// forgetExcess forgets the objects of the longest ago that exceed maxRemovedBytes.
func (s *restoreState) forgetExcess() {
	size := 0
	for _, r := range s.removed {
		size += r.last.size()
	}
	if size <= maxRemovedBytes {
		return
	}
	keys := slices.SortedFunc(maps.Keys(s.removed), func(a, b string) int { return s.removed[a].at.Compare(s.removed[b].at) })
	for _, key := range keys {
		if size <= maxRemovedBytes {
			return
		}
		size -= s.removed[key].last.size()
		delete(s.removed, key)
	}
}

// noteRestore records that a list is the first one after a restore, if it is.
func (f *Follower) noteRestore(list VersionedObjects) {
	if f.nextVersion == 0 || list.Next.Era() <= f.nextVersion.Era() {
		return
	}
	f.restore.version, f.restore.at = list.Next, f.now()
	f.restore.listAgainAt = time.Time{}
}

// isOlderState reports whether an object tells an older state than the known one, although its
// version is newer. That can be only after a restore of the store.
func (f *Follower) isOlderState(o, known Object) bool {
	if f.restore.version == 0 || f.Restore.Order == nil {
		return false
	}
	isSame := bytes.Equal(o.Value, known.Value) && bytes.Equal(o.Status, known.Status)
	return !isSame && f.Restore.Order(o, known) < 0
}

// isReturned reports whether a listed object was removed before the store was restored, so that
// it may be in the copy only. If so, the objects are listed again when it is believed.
func (f *Follower) isReturned(o Object) bool {
	removed, wasRemoved := f.restore.removed[o.Key]
	now := f.now()
	if !wasRemoved || o.Version > f.restore.version || !f.restore.isSince(now, f.Restore.ReturnedFor) || !removed.at.Before(f.restore.at) {
		return false
	}
	if f.Restore.Order != nil && f.Restore.Order(o, removed.last) > 0 {
		return false
	}
	f.restore.listAgainAt = f.restore.at.Add(f.Restore.ReturnedFor)
	return true
}

// mustListAgain reports whether objects that were left out are to be listed again now.
func (f *Follower) mustListAgain() bool {
	at := f.restore.listAgainAt
	return !at.IsZero() && !f.now().Before(at)
}
