package store

import (
	"context"
	"sync"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// linkDownError is the cause of failed calls over a link that is down.
type linkDownError struct{}

func (*linkDownError) Error() string { return "the link to the store is down" }

// Link is one host's network connection to a [Memory]. While it is down, new
// calls and pending reads fail with an [objectstore.UnavailableError], and pending
// writes with an [objectstore.UnknownOutcomeError]. It implements
// [objectstore.Store] and [objectstore.Directory].
type Link struct {
	Memory *Memory

	mu sync.Mutex
	// goesDown is closed when the link goes down, which cancels pending calls.
	goesDown chan struct{}
	isDown   bool
}

var (
	_ objectstore.Store     = (*Link)(nil)
	_ objectstore.Directory = (*Link)(nil)
)

// SetDown takes the link down, or up again.
func (l *Link) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if down == l.isDown {
		return
	}
	l.isDown = down
	if !down {
		l.goesDown = nil
		return
	}
	if l.goesDown == nil {
		l.goesDown = make(chan struct{})
	}
	close(l.goesDown)
}

// Get implements [objectstore.Store].
func (l *Link) Get(ctx context.Context, key string) (objectstore.Object, error) {
	ctx, cancel, err := l.startCall(ctx, key)
	if err != nil {
		return objectstore.Object{}, err
	}
	defer cancel()
	return l.Memory.Get(ctx, key)
}

// Put implements [objectstore.Store].
func (l *Link) Put(ctx context.Context, key string, value []byte, condition objectstore.Condition) (objectstore.Version, error) {
	ctx, cancel, err := l.startCall(ctx, key)
	if err != nil {
		return 0, err
	}
	defer cancel()
	return l.Memory.Put(ctx, key, value, condition)
}

// Delete implements [objectstore.Store].
func (l *Link) Delete(ctx context.Context, key string, condition objectstore.Condition) error {
	ctx, cancel, err := l.startCall(ctx, key)
	if err != nil {
		return err
	}
	defer cancel()
	return l.Memory.Delete(ctx, key, condition)
}

// List implements [objectstore.Store].
func (l *Link) List(ctx context.Context, prefix string) ([]objectstore.Object, error) {
	ctx, cancel, err := l.startCall(ctx, prefix)
	if err != nil {
		return nil, err
	}
	defer cancel()
	return l.Memory.List(ctx, prefix)
}

// Watch implements [objectstore.Store].
func (l *Link) Watch(ctx context.Context, prefix string, after objectstore.Version, wait time.Duration) (objectstore.VersionedObjects, error) {
	ctx, cancel, err := l.startCall(ctx, prefix)
	if err != nil {
		return objectstore.VersionedObjects{}, err
	}
	defer cancel()
	return l.Memory.Watch(ctx, prefix, after, wait)
}

// Machines implements [objectstore.Directory].
func (l *Link) Machines(ctx context.Context) ([]objectstore.Machine, error) {
	ctx, cancel, err := l.startCall(ctx, "machines")
	if err != nil {
		return nil, err
	}
	defer cancel()
	return l.Memory.Machines(ctx)
}

// startCall returns an [objectstore.UnavailableError] if the link is down.
// Otherwise it returns a context for the call that is cancelled when the link
// goes down.
func (l *Link) startCall(ctx context.Context, key string) (context.Context, context.CancelFunc, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isDown {
		return nil, nil, unavailableError(key, &linkDownError{})
	}
	if l.goesDown == nil {
		l.goesDown = make(chan struct{})
	}
	ctx, cancel := context.WithCancel(ctx)
	goesDown := l.goesDown
	go func() {
		select {
		case <-goesDown:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel, nil
}
