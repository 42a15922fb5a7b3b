package team

import (
	"context"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// retrier retries an idempotent call to the store after a conflict, an unavailable
// store or an unknown outcome. It makes at most [MaxWriteAttempts] attempts.
type retrier struct {
	hash Hash
	// mayHaveChanged is whether an attempt, or an earlier write, may have changed
	// the store.
	mayHaveChanged bool
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
		if !r.handleError(lastErr) {
			break
		}
	}
	return r.wrapError(lastErr)
}

// handleError sets mayHaveChanged if the outcome of the attempt is unknown, and
// returns whether another attempt may succeed.
func (r *retrier) handleError(err error) bool {
	var unknown *objectstore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		r.mayHaveChanged = true
		return true
	}
	var unavailable *objectstore.UnavailableError
	var conflict *objectstore.ConflictError
	return errors.As(err, &unavailable) || errors.As(err, &conflict)
}

// wrapError returns a [KeyChangeUnknownError] if the store may have been changed,
// and the error itself otherwise.
func (r *retrier) wrapError(cause error) error {
	if !r.mayHaveChanged {
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
