package table_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"trefoilline.example/trefoilline/platform"
)

// objects is the content of the store that several clients share.
type objects struct {
	mu      sync.Mutex
	version platform.Version
	held    map[string]platform.Object
	puts    int
	gets    int
	written int
}

// client is one caller's way to the store. With a random source it delays each
// call, loses some on the way there and some on the way back.
type client struct {
	store  *objects
	random *rand.Rand
	mu     sync.Mutex
	// lost is the share of calls whose answer is lost, unreached of those that do
	// not arrive.
	lost      float64
	unreached float64
}

func newStore() *client {
	return &client{
		store: &objects{
			held: make(map[string]platform.Object),
		},
	}
}

func (c *client) draw() (delay time.Duration, lost, unreached bool) {
	if c.random == nil {
		return 0, false, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delay = time.Duration(c.random.Int64N(int64(20 * time.Millisecond)))
	return delay, c.random.Float64() < c.lost, c.random.Float64() < c.unreached
}

// call runs a call that takes effect between two delays.
func (c *client) call(key string, effect func() error) error {
	delay, lost, unreached := c.draw()
	time.Sleep(delay)
	if unreached {
		return &platform.UnreachedError{
			Key: key,
		}
	}
	c.store.mu.Lock()
	err := effect()
	c.store.mu.Unlock()
	delay, _, _ = c.draw()
	time.Sleep(delay)
	if lost {
		return &platform.UnknownOutcomeError{
			Key:   key,
			Cause: context.DeadlineExceeded,
		}
	}
	return err
}

func (c *client) Get(_ context.Context, key string) (platform.Object, error) {
	var object platform.Object
	err := c.call(key, func() error {
		var found bool
		c.store.gets++
		if object, found = c.store.held[key]; !found {
			return &platform.NotFoundError{
				Key: key,
			}
		}
		return nil
	})
	return object, err
}

func (c *client) Put(_ context.Context, key string, value []byte, condition platform.Condition) (platform.Version, error) {
	var version platform.Version
	err := c.call(key, func() error {
		held, found := c.store.held[key]
		c.store.puts++
		if !holds(condition, held, found) {
			return &platform.ConflictError{
				Key:   key,
				Found: held.Version,
			}
		}
		if len(value) > platform.MaxValueSize {
			return &platform.RefusedError{
				Key:    key,
				Reason: "too large",
			}
		}
		c.store.version++
		c.store.written += len(value)
		version = c.store.version
		c.store.held[key] = platform.Object{
			Key:     key,
			Value:   slices.Clone(value),
			Version: version,
		}
		return nil
	})
	return version, err
}

func holds(condition platform.Condition, held platform.Object, found bool) bool {
	switch wanted := condition.(type) {
	case platform.IfAbsent:
		return !found
	case platform.IfVersion:
		return found && held.Version == wanted.Version
	}
	return true
}

func (c *client) Delete(_ context.Context, key string, _ platform.Condition) error {
	return c.call(key, func() error {
		delete(c.store.held, key)
		return nil
	})
}

func (c *client) List(_ context.Context, prefix string) ([]platform.Object, error) {
	var found []platform.Object
	err := c.call(prefix, func() error {
		for key, object := range c.store.held {
			if strings.HasPrefix(key, prefix) {
				found = append(found, object)
			}
		}
		slices.SortFunc(found, func(a, b platform.Object) int { return strings.Compare(a.Key, b.Key) })
		return nil
	})
	return found, err
}

func (c *client) Watch(context.Context, string, platform.Version, time.Duration) (platform.Changes, error) {
	return platform.Changes{}, &platform.RefusedError{
		Reason: "not in this test",
	}
}
