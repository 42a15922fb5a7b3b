package fleet

import (
	"fmt"
	"time"
)

// UnconfirmedError reports a view that was not confirmed recently and may be
// out of date. A request that depends on the view must be rejected without
// being sent to a backend server.
type UnconfirmedError struct {
	Feed string
	// Age is the time since the view was confirmed, always more than MaxAge.
	Age    time.Duration
	MaxAge time.Duration
	// Zone is a zone of which some host may still reach the store, so that it may
	// have a newer view. Without such a zone the view could still be used.
	Zone string
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("view of feed %q was last confirmed %s ago, more than %s, and zone %q may have a newer view",
		e.Feed, e.Age, e.MaxAge, e.Zone)
}

// NotSyncedError reports that the host does not yet have the highest version of
// the feed that it knew of after its start. It is also returned if another host
// is known to have a newer version and the view was not confirmed within
// MaxConfirmationAge.
type NotSyncedError struct {
	Feed string
}

func (e *NotSyncedError) Error() string {
	return fmt.Sprintf("the newest known version of feed %q has not been received yet", e.Feed)
}

// UnknownFeedError reports a feed that is not in [Node.Feeds].
type UnknownFeedError struct {
	Feed string
}

func (e *UnknownFeedError) Error() string {
	return fmt.Sprintf("feed %q is not configured", e.Feed)
}

// CheckConfirmed returns nil while the view of the feed may be used, or a
// [NotSyncedError], an [UnconfirmedError] or an [UnknownFeedError].
//
// A view may be used for MaxConfirmationAge after it was confirmed. After that
// it may be used only while every host of the fleet is known to have run,
// within MaxConfirmationAge, without reaching the store. The store is then down
// for all hosts, so that no newer version can have been accepted. A host that
// has lost contact with other hosts cannot know this, and its view becomes
// unusable.
//
// The result holds for the time of the call. The process may be paused at any
// time, so call it as shortly before the use of the view as possible.
func (n *Node) CheckConfirmed(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil {
		return &UnknownFeedError{
			Feed: name,
		}
	}
	if !n.hasSynced(f, now) {
		return &NotSyncedError{
			Feed: name,
		}
	}
	age, maxAge := now-f.confirmedAt, n.settings.MaxConfirmationAge
	if age <= maxAge {
		return nil
	}
	if f.version < f.newestKnown {
		return &NotSyncedError{
			Feed: name,
		}
	}
	if zone, isOutage := n.isFleetWideOutage(now, now-maxAge); !isOutage {
		return &UnconfirmedError{
			Feed:   name,
			Age:    age,
			MaxAge: maxAge,
			Zone:   zone,
		}
	}
	return nil
}

// hasSynced reports whether the host, since its start, has obtained the highest
// version known to it, once the store has responded or the time for the peers'
// replies has passed.
func (n *Node) hasSynced(f *feedView, now time.Duration) bool {
	if f.synced {
		return true
	}
	startupDone := !isNever(f.lastResponse) || !n.isStarting(now)
	f.synced = f.hasView && startupDone && f.version >= f.newestKnown
	return f.synced
}

// isFleetWideOutage reports whether every host of every zone is known to have
// run without reaching the store at or after the given time. If not, zone is a
// zone of which this is not known.
func (n *Node) isFleetWideOutage(now, after time.Duration) (zone string, isOutage bool) {
	n.updateOwnZone(now)
	for _, name := range n.updatedIndex().zones {
		if n.zone(name).lastOutage < after {
			return name, false
		}
	}
	return "", true
}
