package fleet

import (
	"context"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Times of a reader's calls.
const (
	// confirmWait is how long a watch of a confirmed feed waits for changes. It
	// bounds the age of what a reader knows.
	confirmWait = 500 * time.Millisecond
	// changeWait is how long a watch of another feed waits.
	changeWait = 4 * time.Second
	// readTimeout is how long the store may take on top of that.
	readTimeout = 600 * time.Millisecond
	// readPause lies between a call that failed and the next.
	readPause = 250 * time.Millisecond
)

// FeedReader calls the store for one feed of a node whenever the node asks for it.
type FeedReader struct {
	Node  *Node
	Store objectstore.Store
	Feed  Feed
}

// Run calls until the context ends.
func (r *FeedReader) Run(ctx context.Context) {
	wait := r.Feed.wait()
	for ctx.Err() == nil {
		if !r.Node.ShouldReadStore(r.Feed.Prefix) {
			pause(ctx, r.Node.TickInterval())
			continue
		}
		if r.read(ctx, wait) {
			wait = r.Feed.wait()
			continue
		}
		// The next call only asks whether the store is back.
		wait = 0
		pause(ctx, readPause)
	}
}

// wait is how long a watch of the feed waits for changes.
func (f Feed) wait() time.Duration {
	if f.HeadKey != "" {
		return confirmWait
	}
	return changeWait
}

// read makes one call and tells the node how it went.
func (r *FeedReader) read(ctx context.Context, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	began, after := r.Node.BeginRead(r.Feed.Prefix)
	changes, err := r.Store.Watch(ctx, r.Feed.Prefix, after, wait)
	if err != nil {
		r.fail(began, err)
		return false
	}
	head, err := r.head(ctx)
	if err != nil {
		r.fail(began, err)
		return false
	}
	if head <= changes.Next {
		r.Node.ApplyWatchResult(r.Feed.Prefix, began, changes)
		return true
	}
	return r.list(ctx, began)
}

// head returns the version of the feed's head, zero if it has none.
func (r *FeedReader) head(ctx context.Context) (objectstore.Version, error) {
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

// list reads the whole feed where a watch lags behind its head.
func (r *FeedReader) list(ctx context.Context, began time.Duration) bool {
	objects, err := r.Store.List(ctx, r.Feed.Prefix)
	if err != nil {
		r.fail(began, err)
		return false
	}
	r.Node.ApplyListResult(r.Feed.Prefix, began, objects)
	return true
}

// fail tells the node whether the store was reached at all.
func (r *FeedReader) fail(began time.Duration, err error) {
	var refused *objectstore.RefusedError
	var spent *objectstore.RateLimitError
	switch {
	case errors.As(err, &refused):
		r.Node.RecordReadRefused(r.Feed.Prefix, began)
	case errors.As(err, &spent):
		// The store was not called.
	default:
		r.Node.RecordStoreUnreachable(r.Feed.Prefix, began)
	}
}

// listInterval lies between two looks at the platform's list of machines.
const listInterval = 5 * time.Second

// MachineLister keeps a node up to date with the platform's list of machines: at the
// start, until it knows another host, and then while the host is a reader.
type MachineLister struct {
	Node      *Node
	Directory objectstore.Directory
}

// Run asks until the context ends.
func (l *MachineLister) Run(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		if !listed || l.Node.IsStoreReader() {
			listed = l.list(ctx)
		}
		if !listed {
			pause(ctx, l.Node.TickInterval())
			continue
		}
		pause(ctx, listInterval)
	}
}

// list asks once and tells whether the node now knows another host.
func (l *MachineLister) list(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	machines, err := l.Directory.Machines(ctx)
	if err != nil {
		return false
	}
	l.Node.SetMachines(machines)
	return len(l.Node.Members()) > 1
}

func pause(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
