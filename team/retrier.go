package team

import (
	"context"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// retrier retries an idempotent call to the store until its outcome is known, at
// most [MaxWriteAttempts] times in all.
type retrier struct {
	hash Hash
	// hasUnknownOutcome is set once the outcome of an attempt was unknown.
	hasUnknownOutcome bool
}

func (r *retrier) run(ctx context.Context, call func() error) error {
	var lastErr error
	for attempt := range MaxWriteAttempts {
		if err := waitBeforeAttempt(ctx, attempt); err != nil {
			return r.wrapError(err)
		}
		lastErr = call()
		if lastErr == nil {
			return nil
		}
		if !r.canRetry(lastErr) {
			break
		}
	}
	return r.wrapError(lastErr)
}

// canRetry reports whether another attempt may succeed after the error. It also
// notes an unknown outcome.
func (r *retrier) canRetry(err error) bool {
	var unknown *objectstore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		r.hasUnknownOutcome = true
		return true
	}
	var unavailable *objectstore.UnavailableError
	var conflict *objectstore.ConflictError
	return errors.As(err, &unavailable) || errors.As(err, &conflict)
}

// wrapError returns an [KeyChangeUnknownError] if the outcome of any attempt was
// unknown, and the error itself otherwise.
func (r *retrier) wrapError(cause error) error {
	if !r.hasUnknownOutcome {
		return cause
	}
	return &KeyChangeUnknownError{
		Hash:  r.hash,
		Cause: cause,
	}
}

// waitBeforeAttempt waits for the delay before an attempt; the first one, which
// has number zero, has none. It returns the context's error if the context ends.
func waitBeforeAttempt(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	timer := time.NewTimer(FirstRetryDelay << (attempt - 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
