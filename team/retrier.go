package team

import (
	"context"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// retrier sends a call whose repetition is harmless until its outcome is known.
type retrier struct {
	hash Hash
	// uncertain is set once an outcome was unknown.
	uncertain bool
}

func (r *retrier) run(ctx context.Context, call func() error) error {
	var last error
	for try := range MaxAttempts {
		if err := pause(ctx, try); err != nil {
			return r.failure(err)
		}
		last = call()
		if last == nil {
			return nil
		}
		if !r.again(last) {
			break
		}
	}
	return r.failure(last)
}

// again says whether the call may end otherwise next time.
func (r *retrier) again(err error) bool {
	var unknown *objectstore.UnknownOutcomeError
	if errors.As(err, &unknown) {
		r.uncertain = true
		return true
	}
	var unreached *objectstore.UnavailableError
	var conflict *objectstore.ConflictError
	return errors.As(err, &unreached) || errors.As(err, &conflict)
}

func (r *retrier) failure(cause error) error {
	if !r.uncertain {
		return cause
	}
	return &UnknownOutcomeError{
		Hash:  r.hash,
		Cause: cause,
	}
}

// pause waits before each try but the first.
func pause(ctx context.Context, try int) error {
	if try == 0 {
		return nil
	}
	timer := time.NewTimer(FirstRetryDelay << (try - 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
