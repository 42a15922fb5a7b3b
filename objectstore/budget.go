package objectstore

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// RateLimitError reports a call that was not sent because it exceeded the rate
// limit of this host. Nothing changed.
type RateLimitError struct {
	Kind CallKind
	Key  string
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("%s of %q not sent: the rate limit of store calls is exceeded", e.Kind, e.Key)
}

// RateLimit is a rate limit for calls. The zero value sets no limit.
type RateLimit struct {
	// PerSecond is how many calls per second are allowed on average.
	PerSecond float64
	// Burst is how many calls are allowed at once; values below one mean one.
	Burst int
}

// RateLimitedStore forwards calls up to a rate limit and refuses the rest with a
// [RateLimitError] instead of waiting, so that a fault in one host can't use up the
// calls that all hosts share. It implements [Store] and, if Directory is set,
// [Directory].
type RateLimitedStore struct {
	Store     Store
	Directory Directory
	// Reads and Writes are separate rate limits for reads and writes.
	Reads  RateLimit
	Writes RateLimit
	// Clock returns the current time; nil means [time.Now].
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

// Sent returns the counts of the calls that were forwarded.
func (b *RateLimitedStore) Sent() CallCounts { return b.sent.Counts() }

// Refused returns the counts of the calls that exceeded the rate limit.
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

// admit counts the call, or returns a [RateLimitError] if it exceeds its rate limit.
func (b *RateLimitedStore) admit(kind CallKind, key string) error {
	b.once.Do(b.initLimiters)
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

func (b *RateLimitedStore) initLimiters() {
	b.reads = b.Reads.newLimiter()
	b.writes = b.Writes.newLimiter()
}

func (b *RateLimitedStore) now() time.Time {
	if b.Clock != nil {
		return b.Clock()
	}
	return time.Now()
}

func (r RateLimit) newLimiter() *rate.Limiter {
	if r.PerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(r.PerSecond), max(1, r.Burst))
}
