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

// objects is the content of the store that several clients share.
type objects struct {
	mu      sync.Mutex
	version objectstore.Version
	held    map[string]objectstore.Object
	puts    int
	gets    int
	written int
}

// client is one caller's way to the store. With a seed it delays each call,
// loses some on the way there and some answers on the way back. The fate of a
// call depends on the seed, its key and how often the key was called, and not on
// the order of calls at one moment.
type client struct {
	store *objects
	seed  uint64
	mu    sync.Mutex
	calls map[string]uint64
	// lost is the share of calls whose answer is lost, late of those that take
	// effect only after the caller gave up, unreached of those that do not arrive.
	lost      float64
	late      float64
	unreached float64
	// beforePut is called before each write, if set.
	beforePut func(key string)
	// forget hides the edits that the head remembers.
	forget bool
}

func newStore() *client {
	return &client{
		store: &objects{
			held: make(map[string]objectstore.Object),
		},
	}
}

// draw returns the random source of the next call of the key, nil for a client
// without a seed.
func (c *client) draw(key string) *rand.Rand {
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

func delay(random *rand.Rand, most time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(most))))
}

// call runs a call that takes effect between two delays. Its caller may give up
// before it takes effect, or before the answer.
func (c *client) call(ctx context.Context, key string, write bool, effect func() error) error {
	locked := func() error {
		c.store.mu.Lock()
		defer c.store.mu.Unlock()
		return effect()
	}
	random := c.draw(key)
	if random == nil {
		return locked()
	}
	delay(random, 20*time.Millisecond)
	if random.Float64() < c.unreached || ctx.Err() != nil {
		return &objectstore.UnavailableError{
			Key: key,
		}
	}
	unknown := &objectstore.UnknownOutcomeError{
		Key:   key,
		Cause: context.DeadlineExceeded,
	}
	if write && random.Float64() < c.late {
		go func() {
			delay(random, time.Second)
			_ = locked()
		}()
		return unknown
	}
	err := locked()
	delay(random, 20*time.Millisecond)
	if write && (random.Float64() < c.lost || ctx.Err() != nil) {
		return unknown
	}
	return err
}

func (c *client) Get(ctx context.Context, key string) (objectstore.Object, error) {
	var object objectstore.Object
	err := c.call(ctx, key, false, func() error {
		var found bool
		c.store.gets++
		if object, found = c.store.held[key]; !found {
			return &objectstore.NotFoundError{
				Key: key,
			}
		}
		return nil
	})
	if c.forget && key == table.HeadKey && err == nil {
		object.Value, err = forgetEdits(object.Value)
	}
	return object, err
}

func forgetEdits(content []byte) ([]byte, error) {
	head, err := table.ParseHead(content)
	if err != nil {
		return nil, err
	}
	head.RecentEdits = nil
	return json.Marshal(head)
}

func (c *client) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	if c.beforePut != nil {
		c.beforePut(key)
	}
	err := c.call(ctx, key, true, func() error {
		held, found := c.store.held[key]
		c.store.puts++
		if !holds(condition, held, found) {
			return &objectstore.ConflictError{
				Key:            key,
				CurrentVersion: held.Version,
			}
		}
		if len(value) > objectstore.MaxValueSize {
			return &objectstore.RefusedError{
				Key:    key,
				Reason: "too large",
			}
		}
		c.store.version++
		c.store.written += len(value)
		c.store.held[key] = objectstore.Object{
			Key:     key,
			Value:   slices.Clone(value),
			Version: c.store.version,
		}
		return nil
	})
	// A publisher has no use for the version.
	return 0, err
}

func holds(condition objectstore.Condition, held objectstore.Object, found bool) bool {
	switch wanted := condition.(type) {
	case objectstore.IfAbsent:
		return !found
	case objectstore.IfVersion:
		return found && held.Version == wanted.Version
	}
	return true
}

func (c *client) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	return c.call(ctx, key, true, func() error {
		held, found := c.store.held[key]
		if !holds(condition, held, found) {
			return &objectstore.ConflictError{
				Key:            key,
				CurrentVersion: held.Version,
			}
		}
		c.store.version++
		delete(c.store.held, key)
		return nil
	})
}

func (c *client) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	var found []objectstore.Object
	err := c.call(ctx, prefix, false, func() error {
		for key, object := range c.store.held {
			if strings.HasPrefix(key, prefix) {
				found = append(found, object)
			}
		}
		slices.SortFunc(found, func(a, b objectstore.Object) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return found, err
}

func (c *client) Watch(context.Context, string, objectstore.Version, time.Duration) (objectstore.Changes, error) {
	return objectstore.Changes{}, &objectstore.RefusedError{
		Reason: "not in this test",
	}
}
