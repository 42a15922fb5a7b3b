package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// CallCounts returns the number of calls received so far, including failed ones.
func (m *Memory) CallCounts() objectstore.CallCounts { return m.calls.Counts() }

// Get implements [objectstore.Store].
func (m *Memory) Get(ctx context.Context, key string) (objectstore.Object, error) {
	m.calls.Add(objectstore.GetCall)
	if err := m.beginRead(ctx, key); err != nil {
		return objectstore.Object{}, err
	}
	m.mu.Lock()
	object, ok := m.objectsFor(m.faults.StaleReads)[key]
	m.mu.Unlock()
	if !ok || object.Deleted {
		return objectstore.Object{}, &objectstore.NotFoundError{
			Key: key,
		}
	}
	return object, nil
}

// List implements [objectstore.Store].
func (m *Memory) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	m.calls.Add(objectstore.ListCall)
	if err := m.beginRead(ctx, prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []objectstore.Object
	for key, object := range m.objectsFor(m.faults.StaleReads) {
		if strings.HasPrefix(key, prefix) && !object.Deleted {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b objectstore.Object) int { return cmp.Compare(a.Key, b.Key) })
	return list, nil
}

// Watch implements [objectstore.Store]. It fails at once if the store goes down
// while it waits.
func (m *Memory) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.VersionedObjects, error) {
	m.calls.Add(objectstore.WatchCall)
	if err := m.beginRead(ctx, prefix); err != nil {
		return objectstore.VersionedObjects{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed := m.changesAfter(prefix, after)
		if err := m.checkStoreUp(prefix); err != nil {
			return objectstore.VersionedObjects{}, err
		}
		if len(found.Objects) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return found, nil
		case <-ctx.Done():
			return objectstore.VersionedObjects{}, unavailableError(prefix, ctx.Err())
		}
	}
}

// beginRead fails if the store is down, and otherwise waits for the simulated
// delay. Every read calls it first.
func (m *Memory) beginRead(ctx context.Context, key string) error {
	if err := m.checkStoreUp(key); err != nil {
		return err
	}
	if err := sleep(ctx, m.Faults().Delay); err != nil {
		return unavailableError(key, err)
	}
	return nil
}

// changesAfter returns the changes that a watch currently sees, and a channel
// that is closed at the next write or change of faults.
func (m *Memory) changesAfter(prefix string, after objectstore.Version) (objectstore.VersionedObjects, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := objectstore.VersionedObjects{
		Next: m.version,
	}
	if m.faults.StaleWatch {
		found.Next = m.snapshotVersion
	}
	for key, object := range m.objectsFor(m.faults.StaleWatch) {
		if object.Version > after && strings.HasPrefix(key, prefix) {
			found.Objects = append(found.Objects, object)
		}
	}
	slices.SortFunc(found.Objects, func(a, b objectstore.Object) int { return cmp.Compare(a.Version, b.Version) })
	return found, m.changeSignal()
}

// objectsFor returns the snapshot for stale calls and the current objects for
// all others. The caller holds m.mu.
func (m *Memory) objectsFor(stale bool) map[string]objectstore.Object {
	if stale {
		return m.snapshot
	}
	return m.objects
}
