package objectstore

import "time"

// CatchUpAction is what the caller must do about a change that another follower has
// seen.
type CatchUpAction int

// The actions.
const (
	// UpToDate means that this follower has seen the change too.
	UpToDate CatchUpAction = iota
	// KeepWaiting means that the change may still arrive by itself, or through the
	// last action.
	KeepWaiting
	// RefreshFromStore means that the store must be called again, with
	// [Follower.Refresh].
	RefreshFromStore
	// CopyFromPeer means that the store did not deliver the change or cannot be
	// reached; the caller must fetch the copy of the other follower and pass it to
	// [Follower.ReplaceIfNewer].
	CopyFromPeer
)

// catchUpInterval is how long a call may take before the next action is tried.
const catchUpInterval = 600 * time.Millisecond

// NextCatchUpAction returns what to do about the version of a change that another
// follower has seen. It records the version and the returned action, so the caller must
// carry out the action. It may be called often: it returns KeepWaiting until the time
// for the last action is over. maxDelay is how long the change may take to reach this
// follower without any action.
func (f *Follower) NextCatchUpAction(version Version, maxDelay time.Duration) CatchUpAction {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.awaitedVersion <= f.nextVersion {
		f.awaitedVersion = 0
	}
	switch {
	case version <= f.nextVersion:
		return UpToDate
	case f.awaitedVersion == 0:
		f.awaitedVersion = version
		f.awaitDeadline = now.Add(maxDelay)
		f.refreshReturned = false
	}
	if now.Before(f.awaitDeadline) {
		return KeepWaiting
	}
	f.awaitDeadline = now.Add(catchUpInterval)
	if !f.refreshReturned && f.failingSince.IsZero() && f.nextVersion > 0 {
		f.refreshReturned = true
		return RefreshFromStore
	}
	return CopyFromPeer
}
