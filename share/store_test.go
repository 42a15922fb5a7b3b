package share_test

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// memoryStore is the store of a simulated fleet. Tests set its fields to inject
// faults.
type memoryStore struct {
	objectstore.Store
	fleet  *fleet
	object objectstore.Object
	down   bool
	// replyLossProbability is the probability that the reply to a write is
	// lost. Such a write takes effect late or not at all.
	replyLossProbability float64
	reads                int
	writes               int
	// unreachableFrom has the hosts that can't reach the store.
	unreachableFrom map[string]bool
}

func newMemoryStore(f *fleet) *memoryStore {
	return &memoryStore{
		fleet:           f,
		unreachableFrom: make(map[string]bool),
	}
}

// hostStore is the store as seen from one host.
type hostStore struct {
	*memoryStore
	host string
}

type connectionRefused struct{}

func (connectionRefused) Error() string { return "connection refused" }

func (s *hostStore) Get(_ context.Context, key string) (objectstore.Object, error) {
	s.reads++
	if s.down || s.unreachableFrom[s.host] {
		return objectstore.Object{}, &objectstore.UnavailableError{
			Key:   key,
			Cause: connectionRefused{},
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
	if s.down || s.unreachableFrom[s.host] {
		return 0, &objectstore.UnavailableError{
			Key:   key,
			Cause: connectionRefused{},
		}
	}
	if s.replyLossProbability > 0 && s.fleet.rand.Float64() < s.replyLossProbability {
		delay := time.Duration(s.fleet.rand.Int64N(int64(30 * time.Second)))
		s.fleet.schedule(delay, func() { _, _ = s.put(key, value, condition) })
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
