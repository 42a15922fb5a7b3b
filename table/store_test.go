package table_test

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

// sharedObjects is the content of a store that several clients share. It also counts the
// calls and the bytes written.
type sharedObjects struct {
	mu           sync.Mutex
	version      objectstore.Version
	byKey        map[string]objectstore.Object
	puts         int
	gets         int
	writtenBytes int
}

// storeClient is one client of the store. With a seed, it delays each call,
// and drops some calls and some responses. What happens to a call depends only on the
// seed, the key and the number of earlier calls with that key, not on the order of
// simultaneous calls.
type storeClient struct {
	shared *sharedObjects
	seed   uint64
	mu     sync.Mutex
	calls  map[string]uint64
	// lostResponseProbability is the probability that the response of a write is lost,
	// lateWriteProbability that a write takes effect only after the client has returned
	// an error, and unreachedProbability that a call does not reach the store.
	lostResponseProbability float64
	lateWriteProbability    float64
	unreachedProbability    float64
	// beforePut, if set, is called before each write.
	beforePut func(key string)
	// hideRecentEdits removes the recent edits from the head when it is read.
	hideRecentEdits bool
}

func newStore() *storeClient {
	return &storeClient{
		shared: &sharedObjects{
			byKey: make(map[string]objectstore.Object),
		},
	}
}

// nextRandom returns the random source for the next call with the key, or nil if the
// client has no seed.
func (c *storeClient) nextRandom(key string) *rand.Rand {
	if c.seed == 0 {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == nil {
		c.calls = make(map[string]uint64)
	}
	c.calls[key]++
	return rand.New(rand.NewPCG(c.seed^xxhash.Sum64String(key), c.calls[key]))
}

func sleepRandom(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

// simulateCall runs a call that takes effect between two delays. The caller's context
// may end before the call takes effect, or before the response arrives.
func (c *storeClient) simulateCall(ctx context.Context, key string, write bool, effect func() error) error {
	locked := func() error {
		c.shared.mu.Lock()
		defer c.shared.mu.Unlock()
		return effect()
	}
	random := c.nextRandom(key)
	if random == nil {
		return locked()
	}
	sleepRandom(random, 20*time.Millisecond)
	if random.Float64() < c.unreachedProbability || ctx.Err() != nil {
		return &objectstore.UnavailableError{
			Key: key,
		}
	}
	unknown := &objectstore.UnknownOutcomeError{
		Key:   key,
		Cause: context.DeadlineExceeded,
	}
	if write && random.Float64() < c.lateWriteProbability {
		go func() {
			sleepRandom(random, time.Second)
			_ = locked()
		}()
		return unknown
	}
	err := locked()
	sleepRandom(random, 20*time.Millisecond)
	if write && (random.Float64() < c.lostResponseProbability || ctx.Err() != nil) {
		return unknown
	}
	return err
}

func (c *storeClient) Get(ctx context.Context, key string) (objectstore.Object, error) {
	var object objectstore.Object
	err := c.simulateCall(ctx, key, false, func() error {
		var found bool
		c.shared.gets++
		if object, found = c.shared.byKey[key]; !found {
			return &objectstore.NotFoundError{
				Key: key,
			}
		}
		return nil
	})
	if c.hideRecentEdits && key == table.HeadKey && err == nil {
		object.Value, err = removeRecentEdits(object.Value)
	}
	return object, err
}

func removeRecentEdits(content []byte) ([]byte, error) {
	head, err := table.DecodeHead(content)
	if err != nil {
		return nil, err
	}
	head.RecentEdits = nil
	return json.Marshal(head)
}

func (c *storeClient) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	if c.beforePut != nil {
		c.beforePut(key)
	}
	err := c.simulateCall(ctx, key, true, func() error {
		current, found := c.shared.byKey[key]
		c.shared.puts++
		if !conditionHolds(condition, current, found) {
			return &objectstore.ConflictError{
				Key:            key,
				CurrentVersion: current.Version,
			}
		}
		if len(value) > objectstore.MaxValueSize {
			return &objectstore.RefusedError{
				Key:    key,
				Reason: "too large",
			}
		}
		c.shared.version++
		c.shared.writtenBytes += len(value)
		c.shared.byKey[key] = objectstore.Object{
			Key:     key,
			Value:   slices.Clone(value),
			Version: c.shared.version,
		}
		return nil
	})
	// The publisher does not use the version.
	return 0, err
}

func conditionHolds(condition objectstore.Condition, current objectstore.Object, found bool) bool {
	switch wanted := condition.(type) {
	case objectstore.IfAbsent:
		return !found
	case objectstore.IfVersion:
		return found && current.Version == wanted.Version
	}
	return true
}

func (c *storeClient) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	return c.simulateCall(ctx, key, true, func() error {
		current, found := c.shared.byKey[key]
		if !conditionHolds(condition, current, found) {
			return &objectstore.ConflictError{
				Key:            key,
				CurrentVersion: current.Version,
			}
		}
		c.shared.version++
		delete(c.shared.byKey, key)
		return nil
	})
}

func (c *storeClient) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	var found []objectstore.Object
	err := c.simulateCall(ctx, prefix, false, func() error {
		for key, object := range c.shared.byKey {
			if strings.HasPrefix(key, prefix) {
				found = append(found, object)
			}
		}
		slices.SortFunc(found, func(a, b objectstore.Object) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return found, err
}

func (c *storeClient) Watch(context.Context, string, objectstore.Version, time.Duration) (objectstore.VersionedObjects, error) {
	return objectstore.VersionedObjects{}, &objectstore.RefusedError{
		Reason: "watch is not supported in this test",
	}
}
