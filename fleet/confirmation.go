package fleet

import (
	"fmt"
	"time"
)

// UnconfirmedError reports a view that may be out of date: what depends on it
// is refused, not run.
type UnconfirmedError struct {
	Feed string
	// ConfirmationAge is how long ago the view was confirmed; at least the bound.
	Age    time.Duration
	MaxAge time.Duration
	// Zone is one of which it isn't known that all its hosts answer and none
	// reaches the store; else the view would stand.
	Zone string
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("view of %q was last confirmed %s ago, more than %s, and zone %q may have a newer one",
		e.Feed, e.Age, e.MaxAge, e.Zone)
}

// NoViewError reports a host that has not taken in a whole view yet, or knows
// of a newer one than it has.
type NotSyncedError struct {
	Feed string
}

func (e *NotSyncedError) Error() string {
	return fmt.Sprintf("the newest known view of %q is not held here yet", e.Feed)
}

// UnknownFeedError reports a feed that the node does not follow.
type UnknownFeedError struct {
	Feed string
}

func (e *UnknownFeedError) Error() string {
	return fmt.Sprintf("feed %q is not followed", e.Feed)
}

// CheckConfirmed returns nil while the view of the feed may be acted on, else a
// [NotSyncedError], an [UnconfirmedError] or an [UnknownFeedError].
//
// A view may be acted on if it was confirmed within the bound. Past that it
// stands only while every host of the fleet is known, within the bound, to
// answer and not to reach the store: then the store is down for all, and
// nothing newer can have been accepted. A host that is cut off can't know that.
//
// It reads the clock, so a process that was paused must call it after the
// pause, as close to the action as it can.
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
	if !n.isReady(f, now) {
		return &NotSyncedError{
			Feed: name,
		}
	}
	age, bound := now-f.confirmed, n.settings.MaxConfirmationAge
	if age <= bound {
		return nil
	}
	if f.version < f.announced {
		return &NotSyncedError{
			Feed: name,
		}
	}
	if zone, all := n.allCutOff(now, now-bound); !all {
		return &UnconfirmedError{
			Feed:   name,
			Age:    age,
			MaxAge: bound,
			Zone:   zone,
		}
	}
	return nil
}

// isReady tells whether a host that started has caught up with the highest
// version among the store and its peers.
func (n *Node) isReady(f *feed, now time.Duration) bool {
	if f.ready {
		return true
	}
	asked := !isNever(f.answered) || !n.joining(now)
	f.ready = f.held && asked && f.version >= f.announced
	return f.ready
}

// allCutOff tells whether all hosts of all zones were known to be cut off at
// or after a time, and names a zone of which that isn't known.
func (n *Node) allCutOff(now, after time.Duration) (zone string, all bool) {
	n.callRoll(now)
	for _, name := range n.indexed().zones {
		if n.zone(name).cutOff < after {
			return name, false
		}
	}
	return "", true
}
