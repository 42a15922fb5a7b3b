package fleet

import (
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// retryTime is how long a host that isn't a reader leaves the store alone
// after a failed call.
const retryTime = 10 * time.Second

// unboundedAge is the age at which a host that isn't a reader turns to the
// store for a feed that needs no confirmation.
const unboundedAge = 3 * changeWait

// ShouldReadStore tells whether this host should call the store for the feed now:
// readers always, others when they have just started or their view is about to
// run out of confirmation.
func (n *Node) ShouldReadStore(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return false
	}
	if n.isReader() || f.tried == never {
		return true
	}
	limit := n.settings.MaxConfirmationAge * 3 / 5
	if !f.bounded {
		limit = unboundedAge
	}
	return now-f.confirmed > limit && now >= f.retry
}

// ReadBegins notes that a call for the feed is about to be made and returns
// the time to pass to [Node.ApplyWatchResult] or [Node.RecordStoreUnreachable], and the
// version to watch from.
func (n *Node) BeginRead(name string) (began time.Duration, after objectstore.Version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return now, 0
	}
	f.tried = now
	return now, f.version
}

// ApplyWatchResult takes in the answer of a watch that began at a time. An answer
// that ends before what is held here comes from the past: it changes nothing
// and confirms nothing.
func (n *Node) ApplyWatchResult(name string, began time.Duration, changes objectstore.Changes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return
	}
	f.answered = max(f.answered, began)
	if changes.Next < f.version {
		return
	}
	f.apply(changes.Objects)
	f.confirm(f.version, began)
}

// ApplyListResult takes in a whole list of the feed's objects that was asked for at
// a time, after a watch had turned out to lag. Objects are never removed under
// a feed that has a head, so what the list lacks is newer than the list.
func (n *Node) ApplyListResult(name string, began time.Duration, objects []objectstore.Object) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return
	}
	f.answered = max(f.answered, began)
	f.apply(objects)
	f.confirm(f.version, began)
}

// ReadRefused notes that the store answered a call that began at a time and
// did not carry it out.
func (n *Node) RecordReadRefused(name string, began time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	if f := n.feed(name); f != nil {
		f.answered = max(f.answered, began)
	}
}

// ReadFailed notes that a call that began at a time did not reach the store.
func (n *Node) RecordStoreUnreachable(name string, began time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return
	}
	f.failed = max(f.failed, began)
	if f.retry < now && !n.isReader() {
		f.retry = now + retryTime/2 + time.Duration(n.Rand.Int64N(int64(retryTime)))
	}
}
