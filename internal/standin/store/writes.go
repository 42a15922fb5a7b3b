package store

import (
	"context"
	"net/http"
	"slices"

	"trefoilline.example/trefoilline/objectstore"
)

// Put implements [objectstore.Store].
func (m *Memory) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	m.calls.Add(objectstore.PutCall)
	return m.write(ctx, objectstore.Object{
		Key:   key,
		Value: slices.Clone(value),
	}, condition)
}

// Delete implements [objectstore.Store].
func (m *Memory) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	m.calls.Add(objectstore.DeleteCall)
	_, err := m.write(ctx, objectstore.Object{
		Key:     key,
		Deleted: true,
	}, condition)
	return err
}

// write applies the object after half of the simulated delay, and returns after
// the other half. If the reply is to be dropped it returns an
// [objectstore.UnknownOutcomeError] although the write took effect.
func (m *Memory) write(ctx context.Context, object objectstore.Object, condition objectstore.Condition) (objectstore.Version, error) {
	if err := m.checkStoreUp(object.Key); err != nil {
		return 0, err
	}
	if err := checkSize(object); err != nil {
		return 0, err
	}
	halfDelay := m.Faults().Delay / 2
	if err := sleep(ctx, halfDelay); err != nil {
		return 0, unknownOutcomeError(object.Key, err)
	}
	version, dropReply, err := m.apply(object, condition)
	if err != nil {
		return 0, err
	}
	if dropReply {
		return 0, unknownOutcomeError(object.Key, &lostReplyError{})
	}
	if err := sleep(ctx, halfDelay); err != nil {
		return 0, unknownOutcomeError(object.Key, err)
	}
	return version, nil
}

// apply stores the object if the condition holds, and reports whether the reply
// is to be dropped.
func (m *Memory) apply(object objectstore.Object, condition objectstore.Condition) (version objectstore.Version, dropReply bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	existing, exists := m.objects[object.Key]
	exists = exists && !existing.Deleted
	if !conditionHolds(condition, existing.Version, exists) {
		return 0, false, conflictError(object.Key, existing.Version, exists)
	}
	if object.Deleted && !exists {
		return 0, false, &objectstore.NotFoundError{
			Key: object.Key,
		}
	}
	m.version++
	object.Version = m.version
	if m.objects == nil {
		m.objects = make(map[string]objectstore.Object)
	}
	m.objects[object.Key] = object
	m.notifyWatches()
	return object.Version, m.consumeReplyDrop(), nil
}

// conditionHolds reports whether the condition allows a write, given the
// existing object's version and whether it exists.
func conditionHolds(condition objectstore.Condition, existing objectstore.Version, exists bool) bool {
	switch condition := condition.(type) {
	case objectstore.IfAbsent:
		return !exists
	case objectstore.IfVersion:
		return exists && existing == condition.Version
	case objectstore.Always, nil:
		return true
	}
	return false
}

func conflictError(key string, existing objectstore.Version, exists bool) error {
	if !exists {
		existing = 0
	}
	return &objectstore.ConflictError{
		Key:            key,
		CurrentVersion: existing,
	}
}

func checkSize(object objectstore.Object) error {
	if len(object.Value) <= objectstore.MaxValueSize {
		return nil
	}
	return &objectstore.RefusedError{
		Key:    object.Key,
		Reason: "the value is larger than one megabyte",
		Status: http.StatusRequestEntityTooLarge,
	}
}
