package objectstore

import (
	"context"
	"errors"
	"maps"
	"time"
)

// The settings of a follower that are not set.
const (
	DefaultWatchWait = 25 * time.Second
	DefaultGrace     = 2 * time.Second
)

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
// something alive that could not renew it. It is kept for a grace time.
type Follower struct {
	Source Source
	// Prefix is what the keys start with.
	Prefix string
	// Wait is how long one watch waits; [DefaultWatchWait] if zero.
	Wait time.Duration
	// Grace is how long objects are kept that went during an outage;
	// [DefaultGrace] if zero.
	Grace time.Duration
	// Changed is called with all objects by key, after the first list and after
	// each change. The map must not be kept.
	Changed func(objects map[string]Object)
	// Failed is called when calls begin to fail, Recovered when they work again.
	// Both may be nil.
	Failed    func(error)
	Recovered func()
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time

	objects map[string]Object
	// missing holds when the objects are dropped that the store lacks.
	missing map[string]time.Time
	// next is the version to watch from; zero before a list.
	next Version
	// failing is when calls began to fail, zero while they work.
	failing time.Time
	// returned is when the store was back after an outage.
	returned time.Time
	pause    time.Duration
}

// Run follows until the context ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			f.fail(ctx, err)
			continue
		}
		f.succeed()
	}
}

// step makes one call.
func (f *Follower) step(ctx context.Context) error {
	if f.next == 0 {
		found, err := f.Source.Snapshot(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.succeed()
		f.replace(found)
		return nil
	}
	seen, err := f.Source.Watch(ctx, f.Prefix, f.next, f.wait())
	var gone *HistoryGoneError
	if errors.As(err, &gone) {
		f.next = 0
		return nil
	}
	if err != nil {
		return err
	}
	f.succeed()
	f.apply(seen)
	return nil
}

// wait is how long the next watch waits: until an object is dropped, at most.
func (f *Follower) wait() time.Duration {
	wait := orDefault(f.Wait, DefaultWatchWait)
	for _, at := range f.missing {
		wait = min(wait, max(at.Sub(f.now()), time.Millisecond))
	}
	return wait
}

func orDefault(value, otherwise time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return otherwise
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
		case !isListed:
			f.remove(key)
		case o.Version < known.Version:
			listed[key] = known
		}
	}
	if f.objects == nil {
		f.objects = make(map[string]Object)
	}
	maps.Copy(f.objects, listed)
	for key := range listed {
		delete(f.missing, key)
	}
	f.next = max(found.Next, f.next, 1)
	f.Changed(f.objects)
}

// apply takes the changes of a watch.
func (f *Follower) apply(seen Changes) {
	f.next = max(f.next, seen.Next)
	changed := f.drop()
	for _, o := range seen.Objects {
		known, isKnown := f.objects[o.Key]
		if isKnown && o.Version < known.Version {
			continue
		}
		changed = true
		if o.Deleted {
			f.remove(o.Key)
			continue
		}
		f.objects[o.Key] = o
		delete(f.missing, o.Key)
	}
	if changed {
		f.Changed(f.objects)
	}
}

// remove drops an object that the store lacks, now or after the grace.
func (f *Follower) remove(key string) {
	grace := orDefault(f.Grace, DefaultGrace)
	if f.returned.IsZero() || f.now().Sub(f.returned) >= grace {
		delete(f.objects, key)
		return
	}
	if f.missing == nil {
		f.missing = make(map[string]time.Time)
	}
	if _, isMissing := f.missing[key]; !isMissing {
		f.missing[key] = f.returned.Add(grace)
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
	if ctx.Err() != nil {
		return
	}
	if f.failing.IsZero() {
		f.failing = f.now()
		if f.Failed != nil {
			f.Failed(err)
		}
	}
	f.pause = min(max(2*f.pause, firstPause), lastPause)
	timer := time.NewTimer(f.pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
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
	if f.Recovered != nil {
		f.Recovered()
	}
}
