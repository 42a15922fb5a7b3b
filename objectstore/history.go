package objectstore

import (
	"cmp"
	"context"
	"slices"
	"time"
)

const (
	// maxRemovals is how many removals a follower keeps for the hosts that watch it. Beyond that number the older half is dropped.
	maxRemovals = 2048
	// removalTime is for how long it keeps them at least, as long as there are not too many. A host that watches it asks at least
	// every [DefaultWatchWait].
	removalTime = time.Minute
)

// changeHistory holds the recent changes of a follower, for other hosts that watch this follower instead of the store: of each object
// the last one, since those before it have no effect after it. The states of objects are those of the follower's copy, so they take
// no memory of their own, however often the objects change.
type changeHistory struct {
	latest map[string]change
	// removals is the number of objects in latest that were removed, and droppedAt when the old ones of them were dropped last.
	removals  int
	droppedAt time.Time
	// The changes are complete after startVersion up to and including endVersion.
	startVersion Version
	endVersion   Version
	// updated is closed when a change is added, when the history is reset, and when
	// calls to the store begin to fail. It is nil if nothing waits for it.
	updated chan struct{}
}

// change is a change of an object that was received at a time.
type change struct {
	Object
	at time.Time
}

func (h *changeHistory) add(o Object, now time.Time) {
	if h.latest == nil {
		h.latest = make(map[string]change)
	}
	if h.latest[o.Key].Deleted {
		h.removals--
	}
	h.latest[o.Key] = change{
		Object: o,
		at:     now,
	}
	if o.Deleted {
		h.removals++
		if h.removals > maxRemovals || now.Sub(h.droppedAt) > removalTime {
			h.dropRemovals(now)
		}
	}
	h.notifyWaiters()
}

// dropRemovals drops the removals of long ago, and the older half if there are too many. The history then starts after them.
func (h *changeHistory) dropRemovals(now time.Time) {
	h.droppedAt = now
	var removals []change
	for _, c := range h.latest {
		if c.Deleted {
			removals = append(removals, c)
		}
	}
	slices.SortFunc(removals, func(a, b change) int { return cmp.Compare(a.Version, b.Version) })
	excess := 0
	if len(removals) > maxRemovals {
		excess = len(removals) / 2
	}
	for i, c := range removals {
		if i >= excess && now.Sub(c.at) <= removalTime {
			break
		}
		delete(h.latest, c.Key)
		h.removals--
		h.startVersion = max(h.startVersion, c.Version)
	}
}

// advance records that the changes are complete up to the version.
func (h *changeHistory) advance(version Version) {
	h.endVersion = max(h.endVersion, version)
}

// reset drops all changes; the history starts after the version.
func (h *changeHistory) reset(version Version) {
	h.latest, h.removals = nil, 0
	h.startVersion, h.endVersion = version, version
	h.notifyWaiters()
}

func (h *changeHistory) notifyWaiters() {
	if h.updated != nil {
		close(h.updated)
		h.updated = nil
	}
}

// since returns the changes after the version, the oldest first, or false if the history does not hold
// all of them.
func (h *changeHistory) since(after Version) (VersionedObjects, bool) {
	if after < h.startVersion || h.endVersion == 0 {
		return VersionedObjects{}, false
	}
	found := VersionedObjects{
		Next: max(after, h.endVersion),
	}
	for _, c := range h.latest {
		if c.Version > after {
			found.Objects = append(found.Objects, c.Object)
		}
	}
	slices.SortFunc(found.Objects, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return found, true
}

// StaleError reports that the copy of a follower may be out of date because its calls
// to the store fail or are not answered, because it has not listed the objects yet, or because
// the caller's context ended.
type StaleError struct {
	Prefix string
}

func (e *StaleError) Error() string {
	return "the copy of " + e.Prefix + " may be out of date"
}

// WaitForChanges works as [Store.Watch], on the follower's copy: it waits until there
// is a change after the version or the wait time is over, and returns the changes. It
// returns a [HistoryGoneError] if the history does not hold all changes after the
// version, and a [StaleError] while calls to the store fail or when the context ends.
func (f *Follower) WaitForChanges(ctx context.Context, after Version, wait time.Duration) (VersionedObjects, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, updated, err := f.changesSince(after)
		if err != nil || len(found.Objects) > 0 {
			return found, err
		}
		select {
		case <-updated:
		case <-timer.C:
			found, _, err = f.changesSince(after)
			return found, err
		case <-ctx.Done():
			return VersionedObjects{}, &StaleError{
				Prefix: f.Prefix,
			}
		}
	}
}

// changesSince returns the changes after the version and a channel that is closed
// when the history changes.
func (f *Follower) changesSince(after Version) (VersionedObjects, chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isCurrent() {
		return VersionedObjects{}, nil, &StaleError{
			Prefix: f.Prefix,
		}
	}
	found, isKnown := f.history.since(after)
	if !isKnown {
		return VersionedObjects{}, nil, &HistoryGoneError{
			Prefix: f.Prefix,
		}
	}
	if f.history.updated == nil {
		f.history.updated = make(chan struct{})
	}
	return found, f.history.updated, nil
}
