package fleet

import (
	"context"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Timing of the calls to the store.
const (
	// watchWaitWithHeadKey is how long a watch of a feed with a head key waits for
	// changes. It bounds the age of a store reader's confirmation.
	watchWaitWithHeadKey = 500 * time.Millisecond
	// watchWaitWithoutHeadKey is how long a watch of any other feed waits for
	// changes.
	watchWaitWithoutHeadKey = 4 * time.Second
	// readTimeout is the time allowed for one read (watch, head key and list) in
	// addition to the wait for changes.
	readTimeout = 600 * time.Millisecond
	// readRetryDelay is the delay before the next call after a failed one.
	readRetryDelay = 250 * time.Millisecond
)

// FeedReader reads one feed from the store while [Node.ShouldReadStore]
// returns true, and passes the results to the node.
type FeedReader struct {
	Node  *Node
	Store objectstore.Store
	Feed  Feed
}

// Run reads the feed until the context ends.
func (r *FeedReader) Run(ctx context.Context) {
	wait := r.Feed.watchWait()
	for ctx.Err() == nil {
		if !r.Node.ShouldReadStore(r.Feed.Prefix) {
			sleep(ctx, r.Node.TickInterval())
			continue
		}
		if r.readOnce(ctx, wait) {
			wait = r.Feed.watchWait()
			continue
		}
		// The next call does not wait for changes, so that it returns as soon as the
		// store responds again.
		wait = 0
		sleep(ctx, readRetryDelay)
	}
}

// watchWait returns how long a watch of the feed waits for changes.
func (f Feed) watchWait() time.Duration {
	if f.HeadKey != "" {
		return watchWaitWithHeadKey
	}
	return watchWaitWithoutHeadKey
}

// readOnce reads the changes of the feed once, passes the result to the node,
// and reports whether the read succeeded.
func (r *FeedReader) readOnce(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began, after := r.Node.BeginRead(r.Feed.Prefix)
	changes, err := r.Store.Watch(ctx, r.Feed.Prefix, after, wait)
	if err != nil {
		r.recordFailure(began, err)
		return false
	}
	head, err := r.headVersion(ctx)
	if err != nil {
		r.recordFailure(began, err)
		return false
	}
	if head <= changes.Next {
		r.Node.ApplyWatchResult(r.Feed.Prefix, began, changes)
		return true
	}
	return r.readList(ctx, began)
}

// headVersion returns the version of the feed's head key, zero if the feed has
// none or it is not written yet.
func (r *FeedReader) headVersion(ctx context.Context) (objectstore.Version, error) {
	if r.Feed.HeadKey == "" {
		return 0, nil
	}
	object, err := r.Store.Get(ctx, r.Feed.HeadKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return 0, nil
	}
	return object.Version, err
}

// readList reads all objects of the feed. It is used when a watch returned less
// than the head key's version.
func (r *FeedReader) readList(ctx context.Context, began time.Duration) bool {
	objects, err := r.Store.List(ctx, r.Feed.Prefix)
	if err != nil {
		r.recordFailure(began, err)
		return false
	}
	r.Node.ApplyListResult(r.Feed.Prefix, began, objects)
	return true
}

// recordFailure records in the node whether the store responded to the failed
// call.
func (r *FeedReader) recordFailure(began time.Duration, err error) {
	var refused *objectstore.RefusedError
	var rateLimited *objectstore.RateLimitError
	switch {
	case errors.As(err, &refused):
		r.Node.RecordReadRefused(r.Feed.Prefix, began)
	case errors.As(err, &rateLimited):
		// The store was not called.
	default:
		r.Node.RecordStoreUnreachable(r.Feed.Prefix, began)
	}
}

// machineListInterval is the time between two reads of the platform's list of
// machines.
const machineListInterval = 5 * time.Second

// MachineLister passes the platform's list of machines to a node: from the
// start until the node knows another host, and later while its host is a store
// reader.
type MachineLister struct {
	Node      *Node
	Directory objectstore.Directory
}

// Run reads the list regularly until the context ends.
func (l *MachineLister) Run(ctx context.Context) {
	knowsOtherHost := false
	for ctx.Err() == nil {
		if !knowsOtherHost || l.Node.IsStoreReader() {
			knowsOtherHost = l.update(ctx)
		}
		if !knowsOtherHost {
			sleep(ctx, l.Node.TickInterval())
			continue
		}
		sleep(ctx, machineListInterval)
	}
}

// update reads the list once and reports whether the node now knows another
// host.
func (l *MachineLister) update(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	machines, err := l.Directory.Machines(ctx)
	var invalid *objectstore.InvalidMachinesError
	if err != nil && !errors.As(err, &invalid) {
		return false
	}
	l.Node.SetMachines(machines)
	return len(l.Node.Members()) > 1
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
