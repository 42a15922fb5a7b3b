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

// write checks, waits, applies, and answers or loses the answer.
func (m *Memory) write(ctx context.Context, object objectstore.Object, condition objectstore.Condition) (objectstore.Version, error) {
	if err := m.checkUp(object.Key); err != nil {
		return 0, err
	}
	if err := checkSize(object); err != nil {
		return 0, err
	}
	half := m.Faults().Delay / 2
	if err := sleep(ctx, half); err != nil {
		return 0, unknownOutcome(object.Key, err)
	}
	version, lost, err := m.apply(object, condition)
	if err != nil {
		return 0, err
	}
	if lost {
		return 0, unknownOutcome(object.Key, &lostReplyError{})
	}
	if err := sleep(ctx, half); err != nil {
		return 0, unknownOutcome(object.Key, err)
	}
	return version, nil
}

// apply writes the object if the condition holds, and tells whether the reply
// is to be lost.
func (m *Memory) apply(object objectstore.Object, condition objectstore.Condition) (version objectstore.Version, lost bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	found, exists := m.objects[object.Key]
	exists = exists && !found.Deleted
	if !holds(condition, found.Version, exists) {
		return 0, false, conflict(object.Key, found.Version, exists)
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
	m.announce()
	return object.Version, m.loseReply(), nil
}

// holds tells whether the condition allows a write over what was found.
func holds(condition objectstore.Condition, found objectstore.Version, exists bool) bool {
	switch condition := condition.(type) {
	case objectstore.IfAbsent:
		return !exists
	case objectstore.IfVersion:
		return exists && found == condition.Version
	case objectstore.Always, nil:
		return true
	}
	return false
}

func conflict(key string, found objectstore.Version, exists bool) error {
	if !exists {
		found = 0
	}
	return &objectstore.ConflictError{
		Key:            key,
		CurrentVersion: found,
	}
}

func checkSize(object objectstore.Object) error {
	if len(object.Value) <= objectstore.MaxValueSize {
		return nil
	}
	return &objectstore.RefusedError{
		Key:    object.Key,
		Reason: "value is larger than a megabyte",
		Status: http.StatusRequestEntityTooLarge,
	}
}
