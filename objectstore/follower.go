package objectstore

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"
)

// DefaultWatchTimeout is how long a watch waits unless a follower says otherwise.
const DefaultWatchTimeout = 25 * time.Second

// The pause after a call that failed doubles from the first to the last.
const (
	firstPause = 100 * time.Millisecond
	lastPause  = 800 * time.Millisecond
)

// Follower keeps a copy of the objects of a prefix: it lists them once and then
// watches. What is known stays known while the store does not answer, and no
// object steps back to an older version.
//
// An object that is gone when the store is back after an outage may belong to
// something alive that could not renew it. It is kept for the grace time, if there
// is one.
//
// A watch may fall silent or miss changes without an error. Followers of several
// hosts make up for each other: tell each what the others know with
// [Follower.PlanCatchUp], and have it ask again with [Follower.Refresh], or take over
// their copy with [Follower.ReplaceIfNewer], as it says.
type Follower struct {
	Source SnapshotWatcher
	// Prefix is what the keys start with.
	Prefix string
	// WatchTimeout returns how long the next watch waits; [DefaultWatchTimeout] if nil.
	WatchTimeout func() time.Duration
	// BatchDelay returns how long the follower rests after a watch that told changes, so
	// that one call tells many; not at all if nil.
	BatchDelay func() time.Duration
	// GracePeriod is how long objects are kept that went during an outage, where their
	// writers must renew them; zero drops them at once.
	GracePeriod time.Duration
	// OnChange is called with all objects by key, after the first list and after
	// each change. The map must not be kept.
	OnChange func(objects map[string]Object)
	// OnFailure is called when calls begin to fail, Recovered when they work again.
	// Both may be nil.
	OnFailure  func(error)
	OnRecovery func()
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	mu      sync.Mutex
	objects map[string]Object
	// missing holds when the objects are dropped that the store lacks.
	missing map[string]time.Time
	// next is the version to watch from; zero before a list.
	next Version
	// changed is the version of the last change that was seen.
	changed Version
	// relist tells that the next call lists.
	relist bool
	// awaited is the first change that others know and this one does not, zero if
	// there is none; patient is until when nothing more is done about it, and
	// hasAsked tells that the store was asked.
	awaited  Version
	patient  time.Time
	hasAsked bool
	// failing is when calls began to fail, zero while they work.
	failing time.Time
	// returned is when the store was back after an outage.
	returned time.Time
	pause    time.Duration
	// wake ends the current call or pause.
	wake context.CancelFunc
	log  changeLog
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err != nil && ctx.Err() == nil {
			f.fail(ctx, err)
		}
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	call, end := context.WithCancel(ctx)
	defer end()
	f.mu.Lock()
	f.wake = end
	after, lists, wait := f.next, f.next == 0 || f.relist, f.wait()
	f.mu.Unlock()
	if lists {
		found, err := f.Source.Snapshot(call, f.Prefix)
		return f.take(call, found, err, f.replace)
	}
	seen, err := f.Source.Watch(call, f.Prefix, after, wait)
	err = f.take(call, seen, err, f.apply)
	if err == nil && len(seen.Objects) > 0 {
		f.rest(call)
	}
	return err
}

// rest lets changes gather.
func (f *Follower) rest(call context.Context) {
	if f.BatchDelay == nil {
		return
	}
	timer := time.NewTimer(f.BatchDelay())
	defer timer.Stop()
	select {
	case <-call.Done():
	case <-timer.C:
	}
}

// take takes the answer of a call. A call that was ended to ask again is no
// failure.
func (f *Follower) take(call context.Context, answer Changes, err error, use func(Changes)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var gone *HistoryGoneError
	switch {
	case err == nil:
		f.succeed()
		use(answer)
	case errors.As(err, &gone):
		f.succeed()
		f.relist = true
	case call.Err() != nil:
		return nil
	}
	if gone != nil {
		return nil
	}
	return err
}

// LastChangeVersion returns the version of the last change that is known.
func (f *Follower) LastChangeVersion() Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// CatchUpAction is what a follower does about a change that others know.
type CatchUpAction int

// The steps.
const (
	// UpToDate: the change is known.
	UpToDate CatchUpAction = iota
	// Asking: a call is under way that may bring it.
	FetchPending
	// AskStore: the store is to be asked anew.
	RefreshFromStore
	// AskOther: the store did not bring it; the other's copy is to be taken.
	CopyFromPeer
)

// askTime is how long a call may take before another way is tried.
const askTime = 600 * time.Millisecond

// PlanCatchUp tells what to do about a change that another follower knows. It is
// called often, and lets each call have its time. The patience is how long the
// change may be on its way here by itself.
func (f *Follower) PlanCatchUp(changed Version, patience time.Duration) CatchUpAction {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.awaited <= f.next {
		f.awaited = 0
	}
	switch {
	case changed <= f.next:
		return UpToDate
	case f.awaited == 0:
		f.awaited = changed
		f.patient = now.Add(patience)
		f.hasAsked = false
	}
	if now.Before(f.patient) {
		return FetchPending
	}
	f.patient = now.Add(askTime)
	if !f.hasAsked && f.failing.IsZero() && f.next > 0 {
		f.hasAsked = true
		return RefreshFromStore
	}
	return CopyFromPeer
}

// Refresh asks the store again at once.
func (f *Follower) Refresh() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wake != nil {
		f.wake()
	}
}

// IsFailing tells whether the store does not answer, or has not yet.
func (f *Follower) IsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failing.IsZero() || f.next == 0
}

// Copy returns all objects and the version up to which they are known.
func (f *Follower) Copy() Changes {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := Changes{
		Next: f.next,
	}
	for key, o := range f.objects {
		_, o.RemovedDuringOutage = f.missing[key]
		found.Objects = append(found.Objects, o)
	}
	return found
}

// ReplaceIfNewer takes another follower's copy if it is newer.
func (f *Follower) ReplaceIfNewer(theirs Changes) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if theirs.Next > f.next {
		f.replace(theirs)
	}
}

// wait is how long the next watch waits: until an object is dropped, at most.
func (f *Follower) wait() time.Duration {
	wait := DefaultWatchTimeout
	if f.WatchTimeout != nil {
		wait = f.WatchTimeout()
	}
	for _, at := range f.missing {
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

// replace takes a whole list.
func (f *Follower) replace(found Changes) {
	listed := make(map[string]Object, len(found.Objects))
	for _, o := range found.Objects {
		listed[o.Key] = o
	}
	for key, known := range f.objects {
		o, isListed := listed[key]
		switch {
		case !isListed && known.Version <= found.Next:
			f.remove(known, false)
		case isListed && o.Version < known.Version:
			listed[key] = known
		}
	}
	if f.objects == nil {
		f.objects = make(map[string]Object)
	}
	maps.Copy(f.objects, listed)
	for key, o := range listed {
		delete(f.missing, key)
		f.changed = max(f.changed, o.Version)
		if o.RemovedDuringOutage {
			f.remove(o, true)
		}
	}
	f.next = max(found.Next, f.next, 1)
	f.relist = false
	// What a list lacks is not told one by one.
	f.log.restart(f.next)
	f.OnChange(f.objects)
}

// apply takes the changes of a watch.
func (f *Follower) apply(seen Changes) {
	f.next = max(f.next, seen.Next)
	changed := f.drop()
	for _, o := range seen.Objects {
		f.changed = max(f.changed, o.Version)
		known, isKnown := f.objects[o.Key]
		if isKnown && o.Version < known.Version {
			continue
		}
		changed = true
		if o.Deleted {
			f.remove(o, o.RemovedDuringOutage)
			continue
		}
		f.objects[o.Key] = o
		delete(f.missing, o.Key)
		f.log.add(o)
	}
	f.log.reach(f.next)
	if changed {
		f.OnChange(f.objects)
	}
}

// remove drops an object that the store lacks, now or, if it may have lapsed in an
// outage, after the grace.
func (f *Follower) remove(o Object, lapsed bool) {
	sinceReturn := f.now().Sub(f.returned)
	left := f.GracePeriod
	if !lapsed {
		left -= sinceReturn
		lapsed = !f.returned.IsZero() && left > 0
	}
	lapsed = lapsed && left > 0
	f.log.add(Object{
		Key:                 o.Key,
		Version:             o.Version,
		Deleted:             true,
		RemovedDuringOutage: lapsed,
	})
	if !lapsed {
		delete(f.objects, o.Key)
		delete(f.missing, o.Key)
		return
	}
	if f.missing == nil {
		f.missing = make(map[string]time.Time)
	}
	if _, isMissing := f.missing[o.Key]; !isMissing {
		f.missing[o.Key] = f.now().Add(left)
	}
}

// drop removes the objects whose grace is over.
func (f *Follower) drop() bool {
	dropped := false
	for key, at := range f.missing {
		if f.now().Before(at) {
			continue
		}
		delete(f.missing, key)
		delete(f.objects, key)
		dropped = true
	}
	return dropped
}

// fail notes a failed call and pauses.
func (f *Follower) fail(ctx context.Context, err error) {
	rest, end := context.WithCancel(ctx)
	defer end()
	f.mu.Lock()
	if f.failing.IsZero() {
		f.failing = f.now()
		f.log.wake()
		if f.OnFailure != nil {
			f.OnFailure(err)
		}
	}
	f.pause = min(max(2*f.pause, firstPause), lastPause)
	f.wake = end
	timer := time.NewTimer(f.pause)
	f.mu.Unlock()
	defer timer.Stop()
	select {
	case <-rest.Done():
	case <-timer.C:
	}
}

// succeed notes that the store answers.
func (f *Follower) succeed() {
	f.pause = 0
	if f.failing.IsZero() {
		return
	}
	f.failing = time.Time{}
	f.returned = f.now()
	if f.OnRecovery != nil {
		f.OnRecovery()
	}
}
