package share_test

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// memoryStore is the store of a fleet, with faults on command.
type memoryStore struct {
	objectstore.Store
	fleet  *fleet
	object objectstore.Object
	down   bool
	// lost is the chance that the reply of a write is lost, in which case the
	// write takes effect late or not at all.
	lost   float64
	reads  int
	writes int
	// unreached are the hosts that can't reach the store.
	unreached map[string]bool
}

func newMemoryStore(f *fleet) *memoryStore {
	return &memoryStore{
		fleet:     f,
		unreached: make(map[string]bool),
	}
}

// hostStore is the store as one host reaches it.
type hostStore struct {
	*memoryStore
	host string
}

type unreachable struct{}

func (unreachable) Error() string { return "connection refused" }

func (s *hostStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.reads++
	if s.down || s.unreached[s.host] {
		return objectstore.Object{}, &objectstore.UnavailableError{
			Key:   key,
			Cause: unreachable{},
		}
	}
	if s.object.Version == 0 {
		return objectstore.Object{}, &objectstore.NotFoundError{
			Key: key,
		}
	}
	return s.object, nil
}

func (s *hostStore) Put(_ context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	s.writes++
	if s.down || s.unreached[s.host] {
		return 0, &objectstore.UnavailableError{
			Key:   key,
			Cause: unreachable{},
		}
	}
	if s.lost > 0 && s.fleet.chance.Float64() < s.lost {
		late := time.Duration(s.fleet.chance.Int64N(int64(30 * time.Second)))
		s.fleet.after(late, func() { _, _ = s.put(key, value, condition) })
		return 0, &objectstore.UnknownOutcomeError{
			Key:   key,
			Cause: context.DeadlineExceeded,
		}
	}
	return s.put(key, value, condition)
}

func (s *memoryStore) put(key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	var expected objectstore.Version
	if c, ok := condition.(objectstore.IfVersion); ok {
		expected = c.Version
	}
	if s.object.Version != expected {
		return 0, &objectstore.ConflictError{
			Key:            key,
			CurrentVersion: s.object.Version,
		}
	}
	s.object = objectstore.Object{
		Key:     key,
		Value:   value,
		Version: s.object.Version + 1,
	}
	return s.object.Version, nil
}
