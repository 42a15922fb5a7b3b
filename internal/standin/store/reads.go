package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Calls returns the calls received so far, refused ones included.
func (m *Memory) Calls() objectstore.CallCounts { return m.calls.Counts() }

// Get implements [objectstore.Store].
func (m *Memory) Get(ctx context.Context, key string) (objectstore.Object, error) {
	m.calls.Add(objectstore.GetCall)
	if err := m.enter(ctx, key); err != nil {
		return objectstore.Object{}, err
	}
	m.mu.Lock()
	object, ok := m.visible(m.faults.StaleReads)[key]
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
	if err := m.enter(ctx, prefix); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []objectstore.Object
	for key, object := range m.visible(m.faults.StaleReads) {
		if strings.HasPrefix(key, prefix) && !object.Deleted {
			list = append(list, object)
		}
	}
	slices.SortFunc(list, func(a, b objectstore.Object) int { return cmp.Compare(a.Key, b.Key) })
	return list, nil
}

// Watch implements [objectstore.Store]. A store that goes down ends its watches.
func (m *Memory) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.Changes, error) {
	m.calls.Add(objectstore.WatchCall)
	if err := m.enter(ctx, prefix); err != nil {
		return objectstore.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		found, changed := m.changesAfter(prefix, after)
		if err := m.checkUp(prefix); err != nil {
			return objectstore.Changes{}, err
		}
		if len(found.Objects) > 0 {
			return found, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return found, nil
		case <-ctx.Done():
			return objectstore.Changes{}, unreached(prefix, ctx.Err())
		}
	}
}

// enter is what every read meets first: a store that is down or slow.
func (m *Memory) enter(ctx context.Context, key string) error {
	if err := m.checkUp(key); err != nil {
		return err
	}
	if err := sleep(ctx, m.Faults().Delay); err != nil {
		return unreached(key, err)
	}
	return nil
}

// changesAfter returns what a watch sees now and a channel that closes at the
// next change.
func (m *Memory) changesAfter(prefix string, after objectstore.Version) (objectstore.Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := objectstore.Changes{
		Next: m.version,
	}
	if m.faults.StaleWatch {
		found.Next = m.pastVersion
	}
	for key, object := range m.visible(m.faults.StaleWatch) {
		if object.Version > after && strings.HasPrefix(key, prefix) {
			found.Objects = append(found.Objects, object)
		}
	}
	slices.SortFunc(found.Objects, func(a, b objectstore.Object) int { return cmp.Compare(a.Version, b.Version) })
	return found, m.changes()
}

// visible is the present or, for stale calls, the past. The caller holds the
// lock.
func (m *Memory) visible(stale bool) map[string]objectstore.Object {
	if stale {
		return m.past
	}
	return m.objects
}
