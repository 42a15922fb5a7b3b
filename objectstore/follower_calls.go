package objectstore

import (
	"context"
	"errors"
	"sync"
	"time"
)

// The delay after a failed call starts at minRetryDelay and doubles with each
// further failure up to maxRetryDelay.
const (
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

// A call is late if it has not ended after its wait and watchPatience, or listPatience for a
// list, which may be long. It is then left running for lateCallTime.
const (
	watchPatience = 500 * time.Millisecond
	listPatience  = 1500 * time.Millisecond
	lateCallTime  = 2 * time.Second
)

// probeWait is how long a watch waits for changes while the copy may be out of date. It only
// asks for those that there are, so that its answer comes at once if there is any.
const probeWait = time.Millisecond

// CallAgainError reports that a call failed and that the source has selected another place to
// read from. The failure counts neither as an outage nor as a sign that the copy is up to date: the
// other place may have lost contact with the store on its own.
type CallAgainError struct {
	Cause error
	// Delay is how long to wait before the next call.
	Delay time.Duration
}

func (e *CallAgainError) Error() string { return "the next call goes elsewhere: " + e.Cause.Error() }

func (e *CallAgainError) Unwrap() error { return e.Cause }

// LateError reports that two calls in a row were not answered in time.
type LateError struct {
	Prefix string
	// After is how long the last one was waited for.
	After time.Duration
}

func (e *LateError) Error() string {
	return "no answer for " + e.Prefix + " within " + e.After.String()
}

// Run keeps the copy up to date until the context ends.
func (f *Follower) Run(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for ctx.Err() == nil {
		err := f.callStore(ctx, &calls)
		if err != nil && ctx.Err() == nil {
			f.backOff(ctx, err)
		}
	}
}

// followerCall is one call of the source, a list or a watch.
type followerCall struct {
	isList bool
	// isProbe is true if the copy may be out of date.
	isProbe bool
	after   Version
	wait    time.Duration
	started time.Time
}

// patience returns after what time the call is late.
func (c *followerCall) patience() time.Duration {
	if c.isList {
		return listPatience
	}
	return c.wait + watchPatience
}

// callStore makes one call, a list or a watch, and waits until its result has been applied or
// it is late. The calls include those that are late and still running.
func (f *Follower) callStore(ctx context.Context, calls *sync.WaitGroup) error {
	callCtx, cancel := context.WithCancel(ctx)
	call := f.nextCall(cancel)
	stop := time.AfterFunc(call.patience()+lateCallTime, cancel)
	ended := make(chan callResult, 1)
	calls.Go(func() {
		defer cancel()
		defer stop.Stop()
		ended <- f.perform(callCtx, call)
	})
	late := time.NewTimer(call.patience())
	defer late.Stop()
	select {
	case result := <-ended:
		f.pause(ctx, result.delay)
		return result.err
	case <-ctx.Done():
		return nil
	case <-late.C:
		return f.recordLate(call)
	}
}

// nextCall returns the next call, which Refresh ends with cancel.
func (f *Follower) nextCall(cancel context.CancelFunc) followerCall {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.interrupt = cancel
	call := followerCall{
		isList:  f.nextVersion == 0 || f.mustList || f.mustListAgain(),
		isProbe: !f.isCurrent(),
		after:   f.nextVersion,
		wait:    min(f.nextWait, f.timeUntilExpiry()),
		started: f.now(),
	}
	if call.isProbe {
		call.wait = probeWait
	}
	return call
}

// callResult says how a call ended.
type callResult struct {
	err error
	// delay is how long to wait before the next call.
	delay time.Duration
}

// perform makes the call and applies its result.
func (f *Follower) perform(ctx context.Context, call followerCall) callResult {
	if call.isList {
		list, err := f.Source.Snapshot(ctx, f.Prefix)
		return f.handleResult(ctx, call, list, err, f.applyList)
	}
	changes, err := f.Source.Watch(ctx, f.Prefix, call.after, call.wait)
	result := f.handleResult(ctx, call, changes, err, f.applyChanges)
	if err == nil && len(changes.Objects) > 0 {
		result.delay = f.batchDelay()
	}
	return result
}

// delayNextList returns how long to wait before the next list, and doubles the delay for the one
// after it.
func (f *Follower) delayNextList() time.Duration {
	delay := f.nextListDelay
	f.nextListDelay = min(max(2*delay, minRetryDelay), maxListDelay)
	return delay
}

// maxListDelay is the longest delay before a list if the history for a watch is gone again.
const maxListDelay = 800 * time.Millisecond

func (f *Follower) batchDelay() time.Duration {
	if f.BatchDelay == nil {
		return 0
	}
	return f.BatchDelay()
}

// pause waits for the duration, until the context ends or until Refresh is called.
func (f *Follower) pause(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	f.mu.Unlock()
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// handleResult applies the result of a call and returns the error if the call
// failed. A call that Refresh interrupted has not failed. The result of a late call may be from
// the time when the call was made, so it is no sign that the copy is up to date.
func (f *Follower) handleResult(ctx context.Context, call followerCall, result VersionedObjects, err error, apply func(VersionedObjects)) callResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	isLate := f.now().Sub(call.started) > call.patience()
	var gone *HistoryGoneError
	var again *CallAgainError
	switch {
	case err == nil:
		if !isLate {
			f.recordSuccess()
		}
		if !call.isList {
			f.nextListDelay = 0
		}
		if wasOvertaken := f.nextVersion > call.after && result.Next < f.nextVersion; !wasOvertaken {
			apply(result)
		}
		return callResult{}
	case errors.As(err, &gone):
		if !isLate {
			f.recordSuccess()
		}
		f.mustList = true
		return callResult{
			delay: f.delayNextList(),
		}
	case ctx.Err() != nil:
		return callResult{}
	case errors.As(err, &again):
		return callResult{
			delay: again.Delay,
		}
	}
	return callResult{
		err: err,
	}
}

// recordLate returns an error if the call is not the first one that is late. The first one makes
// the copy count as possibly out of date, but the store may be there.
func (f *Follower) recordLate(call followerCall) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspectsOutage = true
	if !call.isProbe {
		f.currentUntil = time.Time{}
		f.history.notifyWaiters()
		return nil
	}
	return &LateError{
		Prefix: f.Prefix,
		After:  call.patience(),
	}
}

// isCurrent reports whether the last call succeeded, not longer ago than the next one may take.
func (f *Follower) isCurrent() bool {
	return f.failingSince.IsZero() && f.nextVersion > 0 && !f.now().After(f.currentUntil)
}

// backOff records a failed call and waits for the retry delay.
func (f *Follower) backOff(ctx context.Context, err error) {
	f.mu.Lock()
	if f.failingSince.IsZero() {
		f.failingSince = f.now()
		f.history.notifyWaiters()
		if f.OnFailure != nil {
			f.OnFailure(err)
		}
	}
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	delay := f.retryDelay
	f.mu.Unlock()
	f.pause(ctx, delay)
}

// recordSuccess records that a call succeeded in time and reports the end of an outage.
func (f *Follower) recordSuccess() {
	now := f.now()
	if f.isOutage(now) {
		f.recoveredAt = now
	}
	f.suspectsOutage = false
	f.retryDelay = 0
	f.nextWait = f.watchWait()
	f.currentUntil = now.Add(f.nextWait + f.batchDelay() + watchPatience)
	if f.failingSince.IsZero() {
		return
	}
	f.failingSince = time.Time{}
	if f.OnRecovery != nil {
		f.OnRecovery()
	}
}

// maxReaderChange is how long no call may succeed while a follower that reads from another host
// changes to a further one, and to the store.
const maxReaderChange = 2 * time.Second

// isOutage reports whether the store may have been out of reach since the last call that succeeded in
// time: calls failed or were late, or this host was paused.
func (f *Follower) isOutage(now time.Time) bool {
	wasPaused := !f.currentUntil.IsZero() && now.Sub(f.currentUntil) > maxReaderChange
	return !f.failingSince.IsZero() || f.suspectsOutage || wasPaused
}
