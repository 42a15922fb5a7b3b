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

// ObjectsPath is where hosts give each other immutable objects, by key.
const ObjectsPath = "/trefoilline/objects/"

const (
	// DefaultMaxCacheBytes is the bytes of values that [ObjectCache] keeps if none is
	// set.
	DefaultMaxCacheBytes = 32 << 20
	// maxHops bounds how many hosts one question passes through, as two hosts
	// may each take the other for its parent for a while.
	maxHops = 4
	// hopsHeader counts them.
	hopsHeader = "Fleet-Hops"
)

// ObjectCache is a [objectstore.Store] that gets immutable objects from the hosts that
// the node learns from, and from the store only if they don't have them, so
// that the store is read by each zone's readers and not by each host. All other
// calls go to the store. Its handler serves [ObjectsPath].
//
// Store, Node and Immutable are set before first use; it is safe for
// concurrent use.
type ObjectCache struct {
	objectstore.Store
	Node *fleet.Node
	// IsImmutable tells whether the object under the key never changes once it is
	// written.
	IsImmutable func(key string) bool
	// MaxBytes is how many bytes of values are kept; zero means [DefaultMaxCacheBytes].
	MaxBytes int
	// HTTP carries the questions; nil means a client of its own for the process.
	HTTPClient *http.Client

	flights singleflight.Group

	mu    sync.Mutex
	held  map[string]*list.Element
	order list.List
	size  int
}

// Get implements [objectstore.Store].
func (o *ObjectCache) Get(ctx context.Context, key string) (objectstore.Object, error) {
	if !o.IsImmutable(key) {
		return o.Store.Get(ctx, key)
	}
	return o.get(ctx, key, 0)
}

// get asks once for all callers that want the object now.
func (o *ObjectCache) get(ctx context.Context, key string, hops int) (objectstore.Object, error) {
	if object, ok := o.cached(key); ok {
		return object, nil
	}
	found, err, _ := o.flights.Do(key, func() (any, error) {
		// A caller that gives up must not fail the others that wait.
		return o.fetch(context.WithoutCancel(ctx), key, hops)
	})
	object, _ := found.(objectstore.Object)
	return object, err
}

// fetch asks the peers and then the store.
func (o *ObjectCache) fetch(ctx context.Context, key string, hops int) (objectstore.Object, error) {
	if hops < maxHops {
		for _, host := range o.Node.FeedSources() {
			if object, err := o.ask(ctx, host, key, hops); err == nil {
				o.keep(object)
				return object, nil
			}
		}
	}
	object, err := o.Store.Get(ctx, key)
	if err == nil {
		o.keep(object)
	}
	return object, err
}

// ask gets the object from a peer.
func (o *ObjectCache) ask(ctx context.Context, host fleet.Host, key string, hops int) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	target := "http://" + host.Address.String() + ObjectsPath + key
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return objectstore.Object{}, err
	}
	request.Header.Set(hopsHeader, strconv.Itoa(hops+1))
	response, err := o.client().Do(request)
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
	err = json.NewDecoder(io.LimitReader(response.Body, maxBody)).Decode(&object)
	if err == nil && object.Key != key {
		err = &WrongObjectError{
			RequestedKey: key,
			ReceivedKey:  object.Key,
		}
	}
	return object, err
}

func (o *ObjectCache) client() *http.Client {
	if o.HTTPClient != nil {
		return o.HTTPClient
	}
	return shared
}

// ServeHTTP implements [http.Handler].
func (o *ObjectCache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key := strings.TrimPrefix(r.URL.Path, ObjectsPath)
	hops, err := strconv.Atoi(r.Header.Get(hopsHeader))
	if err != nil || !o.IsImmutable(key) {
		http.Error(w, "not an immutable object, or not asked by a peer", http.StatusBadRequest)
		return
	}
	object, err := o.get(r.Context(), key, hops)
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A host that has gone away asks again.
	_ = json.NewEncoder(w).Encode(object)
}

// cached returns an object that is kept here.
func (o *ObjectCache) cached(key string) (objectstore.Object, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	element := o.held[key]
	if element == nil {
		return objectstore.Object{}, false
	}
	o.order.MoveToFront(element)
	return element.Value.(objectstore.Object), true
}

// keep puts an object into the cache and drops the least used beyond its size.
func (o *ObjectCache) keep(object objectstore.Object) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.held == nil {
		o.held = make(map[string]*list.Element)
	}
	if o.held[object.Key] != nil {
		return
	}
	o.held[object.Key] = o.order.PushFront(object)
	o.size += len(object.Value)
	limit := o.MaxBytes
	if limit <= 0 {
		limit = DefaultMaxCacheBytes
	}
	for o.size > limit && o.order.Len() > 1 {
		last := o.order.Remove(o.order.Back()).(objectstore.Object)
		delete(o.held, last.Key)
		o.size -= len(last.Value)
	}
}
