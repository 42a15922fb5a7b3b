package peer

import (
	"container/list"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"trefoilline.example/trefoilline/fleet"
	"trefoilline.example/trefoilline/objectstore"
)

// ObjectsPath is the URL path under which a host serves immutable objects of
// the store to other hosts. The object's key follows it.
const ObjectsPath = "/trefoilline/objects/"

const (
	// DefaultMaxCacheBytes is the default of [ObjectCache.MaxBytes].
	DefaultMaxCacheBytes = 32 << 20
	// maxHops is the maximum number of hosts that forward a request for an object.
	// Two hosts may each take the other for their parent for a while.
	maxHops = 4
	// hopsHeader is the header with the number of hosts that the request has
	// passed.
	hopsHeader = "Fleet-Hops"
)

// ObjectCache is an [objectstore.Store] that gets immutable objects from its
// cache, then from the hosts that the node polls, and only then from the store.
// The store thereby serves them to the store readers of each zone instead of to
// all hosts. All other calls go to the store. As an [http.Handler] it serves
// [ObjectsPath].
//
// Exported fields are set before first use. An ObjectCache is safe for
// concurrent use.
type ObjectCache struct {
	objectstore.Store
	Node *fleet.Node
	// IsImmutable reports whether the object under the key never changes after it
	// was written.
	IsImmutable func(key string) bool
	// MaxBytes is the maximum total size of cached values in bytes. Zero means
	// [DefaultMaxCacheBytes]. The most recent value is cached whatever its size.
	MaxBytes int
	// HTTPClient sends the requests to other hosts. Nil means a client that the
	// package shares.
	HTTPClient *http.Client

	fetches singleflight.Group

	mu        sync.Mutex
	entries   map[string]*list.Element
	recency   list.List
	usedBytes int
}

// Get implements [objectstore.Store].
func (c *ObjectCache) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if !c.IsImmutable(key) {
		return c.Store.Get(ctx, key)
	}
	return c.getOrFetch(ctx, key, 0)
}

// getOrFetch returns the object from the cache or fetches it. Concurrent calls
// for the same key share one fetch.
func (c *ObjectCache) getOrFetch(ctx context.Context, key string, hops int) (objectstore.Object, error) {
	if object, ok := c.cached(key); ok {
		return object, nil
	}
	result, err, _ := c.fetches.Do(key, func() (any, error) {
		// One caller's cancellation must not fail the others that wait for the fetch.
		return c.fetch(context.WithoutCancel(ctx), key, hops)
	})
	object, _ := result.(objectstore.Object)
	return object, err
}

// fetch gets the object from a peer, or from the store if no peer returns it.
func (c *ObjectCache) fetch(ctx context.Context, key string, hops int) (objectstore.Object, error) {
	if hops < maxHops {
		for _, host := range c.Node.FeedSources() {
			if object, err := c.fetchFromPeer(ctx, host, key, hops); err == nil {
				c.addToCache(object)
				return object, nil
			}
		}
	}
	object, err := c.Store.Get(ctx, key)
	if err == nil {
		c.addToCache(object)
	}
	return object, err
}

// fetchFromPeer gets the object from one peer.
func (c *ObjectCache) fetchFromPeer(ctx context.Context, host fleet.Host, key string, hops int) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := "http://" + host.Address.String() + ObjectsPath + key
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return objectstore.Object{}, err
	}
	request.Header.Set(hopsHeader, strconv.Itoa(hops+1))
	response, err := c.client().Do(request)
	if err != nil {
		return objectstore.Object{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return objectstore.Object{}, &StatusError{
			Status: response.StatusCode,
		}
	}
	var object objectstore.Object
	err = json.NewDecoder(io.LimitReader(response.Body, maxBodyBytes)).Decode(&object)
	if err == nil && object.Key != key {
		err = &WrongObjectError{
			RequestedKey: key,
			ReceivedKey:  object.Key,
		}
	}
	return object, err
}

func (c *ObjectCache) client() *http.Client {
	if c.HTTPClient != nil {
		return c.HTTPClient
	}
	return defaultClient
}

// ServeHTTP responds to another host with an immutable object.
func (c *ObjectCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, ObjectsPath)
	hops, err := strconv.Atoi(r.Header.Get(hopsHeader))
	if err != nil || !c.IsImmutable(key) {
		http.Error(w, "not an immutable object, or no valid hop count", http.StatusBadRequest)
		return
	}
	object, err := c.getOrFetch(r.Context(), key, hops)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// If the response is lost, the requesting host tries its next source or the
	// store.
	_ = json.NewEncoder(w).Encode(object)
}

// cached returns an object from the cache.
func (c *ObjectCache) cached(key string) (objectstore.Object, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.entries[key]
	if element == nil {
		return objectstore.Object{}, false
	}
	c.recency.MoveToFront(element)
	return element.Value.(objectstore.Object), true
}

// addToCache adds an object to the cache and evicts the least recently used
// ones beyond its maximum size.
func (c *ObjectCache) addToCache(object objectstore.Object) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.entries == nil {
		c.entries = make(map[string]*list.Element)
	}
	if c.entries[object.Key] != nil {
		return
	}
	c.entries[object.Key] = c.recency.PushFront(object)
	c.usedBytes += len(object.Value)
	limit := c.MaxBytes
	if limit <= 0 {
		limit = DefaultMaxCacheBytes
	}
	for c.usedBytes > limit && c.recency.Len() > 1 {
		last := c.recency.Remove(c.recency.Back()).(objectstore.Object)
		delete(c.entries, last.Key)
		c.usedBytes -= len(last.Value)
	}
}
