package store

import (
	"context"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// cutError says why a call over a cut link failed.
type cutError struct{}

func (*cutError) Error() string { return "the link to the store is cut" }

// Link is one host's way to the platform. A cut makes new calls and those that
// wait fail as not reached. It implements [objectstore.Store] and
// [objectstore.Directory].
type Link struct {
	Memory *Memory

	mu  sync.Mutex
	cut chan struct{}
	off bool
}

var (
	_ objectstore.Store     = (*Link)(nil)
	_ objectstore.Directory = (*Link)(nil)
)

// SetCut cuts the link or mends it.
func (l *Link) SetDown(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == l.off {
		return
	}
	l.off = cut
	if !cut {
		l.cut = nil
		return
	}
	if l.cut == nil {
		l.cut = make(chan struct{})
	}
	close(l.cut)
}

// Get implements [objectstore.Store].
func (l *Link) Get(ctx context.Context, key string) (objectstore.Object, error) {
	ctx, done, err := l.enter(ctx, key)
	if err != nil {
		return objectstore.Object{}, err
	}
	defer done()
	return l.Memory.Get(ctx, key)
}

// Put implements [objectstore.Store].
func (l *Link) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	ctx, done, err := l.enter(ctx, key)
	if err != nil {
		return 0, err
	}
	defer done()
	return l.Memory.Put(ctx, key, value, condition)
}

// Delete implements [objectstore.Store].
func (l *Link) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	ctx, done, err := l.enter(ctx, key)
	if err != nil {
		return err
	}
	defer done()
	return l.Memory.Delete(ctx, key, condition)
}

// List implements [objectstore.Store].
func (l *Link) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	ctx, done, err := l.enter(ctx, prefix)
	if err != nil {
		return nil, err
	}
	defer done()
	return l.Memory.List(ctx, prefix)
}

// Watch implements [objectstore.Store].
func (l *Link) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.Changes, error) {
	ctx, done, err := l.enter(ctx, prefix)
	if err != nil {
		return objectstore.Changes{}, err
	}
	defer done()
	return l.Memory.Watch(ctx, prefix, after, wait)
}

// Machines implements [objectstore.Directory].
func (l *Link) Machines(ctx context.Context) ([]objectstore.Machine, error) {
	ctx, done, err := l.enter(ctx, "machines")
	if err != nil {
		return nil, err
	}
	defer done()
	return l.Memory.Machines(ctx)
}

// enter fails over a cut link; else it returns a context that a later cut
// ends.
func (l *Link) enter(ctx context.Context, key string) (context.Context, context.CancelFunc, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.off {
		return nil, nil, unreached(key, &cutError{})
	}
	if l.cut == nil {
		l.cut = make(chan struct{})
	}
	ctx, cancel := context.WithCancel(ctx)
	cut := l.cut
	go func() {
		select {
		case <-cut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}
