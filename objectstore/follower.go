package objectstore

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"
)

// DefaultWatchWait is how long a watch waits for changes if [Follower.WatchWait] is
// nil.
const DefaultWatchWait = 25 * time.Second

// Follower keeps a local copy of the objects with a prefix, like an informer of
// Kubernetes: it lists them once and then watches for changes. The copy stays
// available while the store does not respond, and no object goes back to an older
// version.
//
// An object that is missing when the store comes back after an outage may belong to
// a live process that could not renew it. It is kept for GracePeriod.
//
// A call that is not answered in time is left running and another one is made, since an answer
// may be lost for good. While no call succeeds, [Follower.IsFailing] and
// [Follower.WaitForChanges] say that the copy may be out of date.
//
// A watch may stop delivering changes, or miss some, without an error. The followers
// of several hosts therefore compare their versions: pass the version that another
// host has seen to [Follower.NextCatchUpAction] and do what it returns, which is to call
// [Follower.Refresh], or to fetch the copy of the other host and pass it to
// [Follower.ReplaceIfNewer].
type Follower struct {
	// Source is called again while earlier calls are still running, if these are late.
	Source SnapshotWatcher
	// Prefix is the prefix of the keys to follow.
	Prefix string
	// WatchWait returns how long the next watch waits for changes; if nil, it is
	// [DefaultWatchWait].
	WatchWait func() time.Duration
	// BatchDelay returns how long the follower waits after a watch that returned
	// changes, so that the next watch returns several changes at once. If nil, it
	// does not wait.
	BatchDelay func() time.Duration
	// GracePeriod is how long an object is kept whose removal may be due to an outage.
	// Set it for objects that expire unless their writers renew them. Zero drops the
	// objects at once.
	GracePeriod time.Duration
	// Restore tells what to believe after the store came back from an older copy.
	Restore RestorePolicy
	// OnChange is called with all objects by key after each list, after
	// ReplaceIfNewer, and after each watch in which an object changed or its grace
	// period ended. It must be set, must not retain the map, and must not call the
	// follower, which is locked.
	OnChange func(objects map[string]Object)
	// OnFailure is called when calls begin to fail, OnRecovery when they succeed again.
	// Both may be nil, and must not call the follower, which is locked.
	OnFailure  func(error)
	OnRecovery func()
	// Clock returns the current time; nil means [time.Now].
	Clock func() time.Time

	mu      sync.Mutex
	objects map[string]Object
	// removalTimes holds, by key, when an object that the store no longer has, but
	// that may be alive, is dropped from the copy.
	removalTimes map[string]time.Time
	// nextVersion is the version to watch from; zero before the first list.
	nextVersion Version
	// lastChange is the version of the last change that was received.
	lastChange Version
	// mustList is true if the next call must be a list.
	mustList bool
	// awaitedVersion is the version of the first report of a change that another
	// follower has seen and this one has not, zero if there is none. No action is
	// returned for it before awaitDeadline; refreshReturned is true once
	// RefreshFromStore was.
	awaitedVersion  Version
	awaitDeadline   time.Time
	refreshReturned bool
	// failingSince is when calls began to fail, zero while they succeed.
	failingSince time.Time
	// nextWait is how long the next watch waits for changes. If no call succeeds until
	// currentUntil, the copy may be out of date.
	nextWait     time.Duration
	currentUntil time.Time
	// suspectsOutage is true if something since the last call that succeeded in time makes an
	// outage possible, and recoveredAt is when calls succeeded again after the last outage.
	suspectsOutage bool
	recoveredAt    time.Time
	retryDelay     time.Duration
	// nextListDelay is how long to wait before the next list if the history for a watch is
	// gone again; zero unless it was for the last watch.
	nextListDelay time.Duration
	// interrupt cancels the current call or delay.
	interrupt context.CancelFunc
	history   changeHistory
	restore   restoreState
}

// LastChangeVersion returns the version of the last change that was received.
func (f *Follower) LastChangeVersion() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastChange
}

// Refresh cancels the current call or delay and calls the store again at once.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// IsFailing reports whether the copy may be out of date: calls to the source fail or have not
// ended in time, or the follower has no copy yet.
func (f *Follower) IsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.isCurrent()
}

// Snapshot returns all objects and the version to watch from for later changes.
func (f *Follower) Snapshot() VersionedObjects {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := VersionedObjects{
		Next: f.nextVersion,
	}
	for key, o := range f.objects {
		_, o.MayBeAlive = f.removalTimes[key]
		all.Objects = append(all.Objects, o)
	}
	return all
}

// Bytes returns how many bytes the copy takes, and what is remembered of objects that were removed.
func (f *Follower) Bytes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	size := 0
	for _, o := range f.objects {
		size += o.size()
	}
	for _, r := range f.restore.removed {
		size += r.last.size()
	}
	return size
}

// ReplaceIfNewer replaces the objects with another follower's copy if that is newer.
func (f *Follower) ReplaceIfNewer(other VersionedObjects) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if other.Next > f.nextVersion {
		f.applyList(other)
	}
}

// watchWait returns how long a watch waits for changes.
func (f *Follower) watchWait() time.Duration {
	if f.WatchWait == nil {
		return DefaultWatchWait
	}
	return f.WatchWait()
}

// timeUntilExpiry returns how long a watch may wait at most: until the next object is dropped
// because its grace period is over.
func (f *Follower) timeUntilExpiry() time.Duration {
	wait := time.Duration(math.MaxInt64)
	for _, removeAt := range f.removalTimes {
		wait = min(wait, max(removeAt.Sub(f.now()), time.Millisecond))
	}
	if at := f.restore.listAgainAt; !at.IsZero() {
		wait = min(wait, max(at.Sub(f.now()), time.Millisecond))
	}
	return wait
}

func (f *Follower) now() time.Time {
	if f.Clock == nil {
		return time.Now()
	}
	return f.Clock()
}

// applyList replaces the objects with those of a list. It keeps an object whose known
// version is newer than the list.
func (f *Follower) applyList(list VersionedObjects) {
	f.noteRestore(list)
	if f.mustListAgain() {
		f.restore.listAgainAt = time.Time{}
	}
	listed := make(map[string]Object, len(list.Objects))
	for _, o := range list.Objects {
		if _, isKnown := f.objects[o.Key]; isKnown || !f.isReturned(o) {
			listed[o.Key] = o
		}
	}
	for key, known := range f.objects {
		o, isListed := listed[key]
		switch {
		case !isListed && known.Version <= list.Next:
			f.removeOrSchedule(known, f.restore.isSince(f.now(), f.Restore.MissingFor))
		case isListed && o.Version < known.Version:
			listed[key] = known
		case isListed && f.isOlderState(o, known):
			// Other followers, which may not know the newer state, get it from this one.
			known.Version = o.Version
			listed[key] = known
		}
	}
	if f.objects == nil {
		f.objects = make(map[string]Object)
	}
	maps.Copy(f.objects, listed)
	for key, o := range listed {
		delete(f.removalTimes, key)
		f.lastChange = max(f.lastChange, o.Version)
		if o.MayBeAlive {
			f.removeOrSchedule(o, true)
		}
	}
	f.nextVersion = max(list.Next, f.nextVersion, 1)
	f.mustList = false
	// A list does not tell when objects were removed, so the earlier history is
	// incomplete.
	f.history.reset(f.nextVersion)
	f.OnChange(f.objects)
}

// applyChanges applies the changes of a watch. It ignores changes to versions older
// than the known one.
func (f *Follower) applyChanges(changes VersionedObjects) {
	f.nextVersion = max(f.nextVersion, changes.Next)
	changed := f.dropExpired()
	for _, o := range changes.Objects {
		f.lastChange = max(f.lastChange, o.Version)
		known, isKnown := f.objects[o.Key]
		if isKnown && (o.Version < known.Version || !o.Deleted && f.isOlderState(o, known)) {
			continue
		}
		changed = true
		if o.Deleted {
			f.removeOrSchedule(o, o.MayBeAlive)
			continue
		}
		f.objects[o.Key] = o
		delete(f.removalTimes, o.Key)
		f.history.add(o, f.now())
	}
	f.history.advance(f.nextVersion)
	if changed {
		f.OnChange(f.objects)
	}
}

// removeOrSchedule drops an object that the store no longer has, or schedules it to be
// dropped after the grace period if it may be alive: the source says so, or the removal
// was received in an outage or within GracePeriod after it, so that the outage may have kept its
// writer from renewing it.
func (f *Follower) removeOrSchedule(o Object, mayBeAlive bool) {
	remaining := max(f.GracePeriod, f.Restore.MissingFor)
	if !mayBeAlive {
		remaining = f.remainingGrace()
	}
	mayBeAlive = remaining > 0
	f.history.add(Object{
		Key:        o.Key,
		Version:    o.Version,
		Deleted:    true,
		MayBeAlive: mayBeAlive,
	}, f.now())
	if !mayBeAlive {
		f.drop(o.Key)
		return
	}
	if f.removalTimes == nil {
		f.removalTimes = make(map[string]time.Time)
	}
	if _, isScheduled := f.removalTimes[o.Key]; !isScheduled {
		f.removalTimes[o.Key] = f.now().Add(remaining)
	}
}

// remainingGrace returns how long an object whose removal is received now is kept.
func (f *Follower) remainingGrace() time.Duration {
	now := f.now()
	switch {
	case f.isOutage(now):
		return f.GracePeriod
	case f.recoveredAt.IsZero():
		return 0
	}
	return f.GracePeriod - now.Sub(f.recoveredAt)
}

// dropExpired drops the objects whose grace period is over and reports whether there
// were any.
func (f *Follower) dropExpired() bool {
	dropped := false
	for key, removeAt := range f.removalTimes {
		if f.now().Before(removeAt) {
			continue
		}
		f.drop(key)
		dropped = true
	}
	return dropped
}

// drop removes an object from the copy.
func (f *Follower) drop(key string) {
	if known, isKnown := f.objects[key]; isKnown {
		f.restore.rememberRemoved(known, f.now())
	}
	delete(f.removalTimes, key)
	delete(f.objects, key)
}
