package objectstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// BudgetError reports a call that was not made because the caller's budget of
// calls is spent. Nothing changed.
type RateLimitError struct {
	Kind CallKind
	Key  string
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%s of %q not sent: the budget of store calls is spent", e.Kind, e.Key)
}

// RateLimit is a budget of calls. The zero value sets no limit.
type RateLimit struct {
	// PerSecond is the calls allowed per second over time.
	PerSecond float64
	// Burst is the calls allowed at once; at least one.
	Burst int
}

// Budgeted passes calls on while they fit a budget and refuses the rest with a
// [RateLimitError] instead of waiting, so that a fault in one host can't spend
// what all hosts share. It implements [Store] and, if Directory is set,
// [Directory].
type RateLimitedStore struct {
	Store     Store
	Directory Directory
	// Reads and Writes are the budgets of the two sorts of calls.
	Reads  RateLimit
	Writes RateLimit
	// Clock is nil for time.Now.
	Clock func() time.Time

	once    sync.Once
	reads   *rate.Limiter
	writes  *rate.Limiter
	sent    CallCounter
	refused CallCounter
}

var (
	_ Store     = (*RateLimitedStore)(nil)
	_ Directory = (*RateLimitedStore)(nil)
)

// Sent returns the calls that were passed on.
func (b *RateLimitedStore) Sent() CallCounts { return b.sent.Counts() }

// Refused returns the calls that the budget did not allow.
func (b *RateLimitedStore) Refused() CallCounts { return b.refused.Counts() }

// Get implements [Store].
func (b *RateLimitedStore) Get(ctx context.Context, key string) (Object, error) {
	if err := b.admit(GetCall, key); err != nil {
		return Object{}, err
	}
	return b.Store.Get(ctx, key)
}

// Put implements [Store].
func (b *RateLimitedStore) Put(ctx context.Context, key string, value []byte, condition Condition) (Version, error) {
	if err := b.admit(PutCall, key); err != nil {
		return 0, err
	}
	return b.Store.Put(ctx, key, value, condition)
}

// Delete implements [Store].
func (b *RateLimitedStore) Delete(ctx context.Context, key string, condition Condition) error {
	if err := b.admit(DeleteCall, key); err != nil {
		return err
	}
	return b.Store.Delete(ctx, key, condition)
}

// List implements [Store].
func (b *RateLimitedStore) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := b.admit(ListCall, prefix); err != nil {
		return nil, err
	}
	return b.Store.List(ctx, prefix)
}

// Watch implements [Store].
func (b *RateLimitedStore) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (Changes, error) {
	if err := b.admit(WatchCall, prefix); err != nil {
		return Changes{}, err
	}
	return b.Store.Watch(ctx, prefix, after, wait)
}

// Machines implements [Directory].
func (b *RateLimitedStore) Machines(ctx context.Context) ([]Machine, error) {
	if err := b.admit(MachinesCall, ""); err != nil {
		return nil, err
	}
	return b.Directory.Machines(ctx)
}

// admit spends one call of the budget or reports that none is left.
func (b *RateLimitedStore) admit(kind CallKind, key string) error {
	b.once.Do(b.setUp)
	limiter := b.reads
	if kind.IsWrite() {
		limiter = b.writes
	}
	if !limiter.AllowN(b.now(), 1) {
		b.refused.Add(kind)
		return &RateLimitError{
			Kind: kind,
			Key:  key,
		}
	}
	b.sent.Add(kind)
	return nil
}

func (b *RateLimitedStore) setUp() {
	b.reads = b.Reads.limiter()
	b.writes = b.Writes.limiter()
}

func (b *RateLimitedStore) now() time.Time {
	if b.Clock != nil {
		return b.Clock()
	}
	return time.Now()
}

func (r RateLimit) limiter() *rate.Limiter {
	if r.PerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(r.PerSecond), max(1, r.Burst))
}
