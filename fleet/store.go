package fleet

import (
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// storeRetryDelay is the mean delay before a host that is not a store reader
// calls the store again after a failure.
const storeRetryDelay = 10 * time.Second

// A host that is not a store reader reads a feed without a head key from the
// store once its last confirmation is older than maxAgeWithoutHeadKey.
const maxAgeWithoutHeadKey = 3 * watchWaitWithoutHeadKey

// ShouldReadStore reports whether this host should read the feed from the store
// now. Store readers always should. Other hosts should when they have just
// started, or when the last confirmation of a feed with a head key is older
// than 3/5 of MaxConfirmationAge, so that it can be renewed before it expires.
func (n *Node) ShouldReadStore(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return false
	}
	if n.isStoreReader() || f.lastAttempt == never {
		return true
	}
	limit := n.settings.MaxConfirmationAge * 3 / 5
	if !f.hasHeadKey {
		limit = maxAgeWithoutHeadKey
	}
	return now-f.confirmedAt > limit && now >= f.nextAttempt
}

// BeginRead records that a call to the store for the feed is about to start. It
// returns the start time, to be passed to the methods that record the call's
// result, and the version to watch from.
func (n *Node) BeginRead(name string) (began time.Duration, after objectstore.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return now, 0
	}
	f.lastAttempt = now
	return now, f.version
}

// ApplyWatchResult applies the result of a watch that started at the given
// time. A result that ends before this host's version is out of date: it
// changes and confirms nothing.
func (n *Node) ApplyWatchResult(name string, began time.Duration, changes objectstore.VersionedObjects) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return
	}
	f.lastResponse = max(f.lastResponse, began)
	if changes.Next < f.version {
		return
	}
	f.apply(changes.Objects)
	f.confirm(f.version, began)
}

// ApplyListResult applies a list of all objects of the feed, which was read
// after a watch that lagged behind the head key. began is the start of that
// watch. Objects of a feed with a head key are never deleted, so an object of
// this host's view that is missing from the list was written after the list was
// read; it is kept.
func (n *Node) ApplyListResult(name string, began time.Duration, objects []objectstore.Object) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return
	}
	f.lastResponse = max(f.lastResponse, began)
	f.apply(objects)
	f.confirm(f.version, began)
}

// RecordReadRefused records that the store responded to a call that started at
// the given time but refused it.
func (n *Node) RecordReadRefused(name string, began time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	if f := n.feed(name); f != nil {
		f.lastResponse = max(f.lastResponse, began)
	}
}

// RecordStoreUnreachable records that a call that started at the given time did
// not reach the store.
func (n *Node) RecordStoreUnreachable(name string, began time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return
	}
	f.lastFailure = max(f.lastFailure, began)
	if f.nextAttempt < now && !n.isStoreReader() {
		f.nextAttempt = now + storeRetryDelay/2 + time.Duration(n.Rand.Int64N(int64(storeRetryDelay)))
	}
}
