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
// [RateLimitError] instead of waiting, so that a faulty host can't use up the
// call rate that the store allows all hosts together. It implements [Store] and, if Directory is set,
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
func (s *RateLimitedStore) Sent() CallCounts { return s.sent.Counts() }

// Refused returns the counts of the calls that exceeded the rate limit.
func (s *RateLimitedStore) Refused() CallCounts { return s.refused.Counts() }

// Get implements [Store].
func (s *RateLimitedStore) Get(ctx context.Context, key string) (Object, error) {
	if err := s.admit(GetCall, key); err != nil {
		return Object{}, err
	}
	return s.Store.Get(ctx, key)
}

// Put implements [Store].
func (s *RateLimitedStore) Put(ctx context.Context, key string, value []byte, condition Condition) (Version, error) {
	if err := s.admit(PutCall, key); err != nil {
		return 0, err
	}
	return s.Store.Put(ctx, key, value, condition)
}

// Delete implements [Store].
func (s *RateLimitedStore) Delete(ctx context.Context, key string, condition Condition) error {
	if err := s.admit(DeleteCall, key); err != nil {
		return err
	}
	return s.Store.Delete(ctx, key, condition)
}

// List implements [Store].
func (s *RateLimitedStore) List(ctx context.Context, prefix string) ([]Object, error) {
	if err := s.admit(ListCall, prefix); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix)
}

// Watch implements [Store].
func (s *RateLimitedStore) Watch(ctx context.Context, prefix string, after Version, wait time.Duration) (VersionedObjects, error) {
	if err := s.admit(WatchCall, prefix); err != nil {
		return VersionedObjects{}, err
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Machines implements [Directory].
func (s *RateLimitedStore) Machines(ctx context.Context) ([]Machine, error) {
	if err := s.admit(MachinesCall, ""); err != nil {
		return nil, err
	}
	return s.Directory.Machines(ctx)
}

// admit counts the call as sent, or counts it as refused and returns a
// [RateLimitError].
func (s *RateLimitedStore) admit(kind CallKind, key string) error {
	s.once.Do(s.initLimiters)
	limiter := s.reads
	if kind.IsWrite() {
		limiter = s.writes
	}
	if !limiter.AllowN(s.now(), 1) {
		s.refused.Add(kind)
		return &RateLimitError{
			Kind: kind,
			Key:  key,
		}
	}
	s.sent.Add(kind)
	return nil
}

func (s *RateLimitedStore) initLimiters() {
	s.reads = s.Reads.newLimiter()
	s.writes = s.Writes.newLimiter()
}

func (s *RateLimitedStore) now() time.Time {
	if s.Clock != nil {
		return s.Clock()
	}
	return time.Now()
}

func (r RateLimit) newLimiter() *rate.Limiter {
	if r.PerSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(r.PerSecond), max(1, r.Burst))
}
