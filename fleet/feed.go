package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Feed is the part of the store under one key prefix, which each host
// replicates.
type Feed struct {
	// Prefix is the prefix of the keys of its objects. It also is the feed's name.
	Prefix string
	// HeadKey, if set, is a key outside the prefix. Writers must write it after
	// each change of the feed and must not report the change as done before that.
	// A watch then confirms a view only if it reaches the version of the head key,
	// so that a lagging watch confirms nothing. Only a feed with a head key is
	// read often enough for [Node.CheckConfirmed]; watches of other feeds wait
	// longer for changes.
	HeadKey string
}

// feedView is this host's copy of the objects of one feed.
type feedView struct {
	name string
	// hasHeadKey is true if the feed has a head key, so that its view must be
	// confirmed regularly.
	hasHeadKey bool
	objects    map[string]objectstore.Object
	// version is the highest version of any object. All changes up to it are
	// present.
	version objectstore.Version
	// lastReturned is the highest version that an exported method has returned.
	lastReturned objectstore.Version
	// newestKnown is the highest version that any host is known to have.
	newestKnown objectstore.Version
	// hasView is true once the host has received the complete view.
	hasView bool
	// confirmedAt is the latest time at which the view is known to have been the
	// store's newest.
	confirmedAt time.Duration
	// lastAttempt, lastResponse and lastFailure are the start times of the last
	// call to the store, of the last that the store responded to, and of the last
	// that did not reach it.
	lastAttempt  time.Duration
	lastResponse time.Duration
	lastFailure  time.Duration
	// synced is true once the view has been as new as the highest version known
	// from the store or from the hosts polled at this host's start.
	synced bool
	// requestedAt is the time of the last request to another host for this feed.
	// announcedVersion is the version that the other host had announced before it.
	requestedAt      time.Duration
	announcedVersion objectstore.Version
	// nextAttempt is the time from which a host that is not a store reader may
	// call the store again after a failure.
	nextAttempt time.Duration
	// sourceStoreUnreachable is true while the host that this one polls cannot
	// reach the store.
	sourceStoreUnreachable bool
}

func newFeedView(feed Feed) *feedView {
	return &feedView{
		name:         feed.Prefix,
		hasHeadKey:   feed.HeadKey != "",
		objects:      make(map[string]objectstore.Object),
		confirmedAt:  never,
		lastAttempt:  never,
		lastResponse: never,
		lastFailure:  never,
		requestedAt:  never,
	}
}

func (n *Node) feed(name string) *feedView {
	for _, f := range n.feeds {
		if f.name == name {
			return f
		}
	}
	return nil
}

// apply stores changed objects. A deleted object is stored with its Deleted
// mark. An object is ignored if its version is not higher than the one present
// under the key.
func (f *feedView) apply(objects []objectstore.Object) {
	for _, object := range objects {
		if object.Version <= f.objects[object.Key].Version {
			continue
		}
		f.objects[object.Key] = object
		f.version = max(f.version, object.Version)
	}
	f.newestKnown = max(f.newestKnown, f.version)
	f.hasView = true
}

// changesAfter returns the objects with a higher version than the given one, in
// order of version.
func (f *feedView) changesAfter(after objectstore.Version) []objectstore.Object {
	if after >= f.version {
		return nil
	}
	var found []objectstore.Object
	for _, object := range f.objects {
		if object.Version > after {
			found = append(found, object)
		}
	}
	slices.SortFunc(found, func(a, b objectstore.Object) int { return cmp.Compare(a.Version, b.Version) })
	return found
}

// confirm records that the given version was the store's newest at a time. It
// does nothing if the view has another version or if a newer version is known.
func (f *feedView) confirm(version objectstore.Version, at time.Duration) {
	if version == f.version && f.version >= f.newestKnown {
		f.confirmedAt = max(f.confirmedAt, at)
	}
}

// feedStatuses returns the status of this host's view of each feed.
func (n *Node) feedStatuses(now time.Duration) []FeedStatus {
	statuses := make([]FeedStatus, 0, len(n.feeds))
	for _, f := range n.feeds {
		statuses = append(statuses, n.feedStatus(f, now))
	}
	return statuses
}

func (n *Node) feedStatus(f *feedView, now time.Duration) FeedStatus {
	return FeedStatus{
		Version:          f.version,
		ConfirmationAge:  ageMillis(f.confirmedAt, now),
		StoreUnreachable: n.isStoreUnreachable(f),
	}
}

// isStoreUnreachable reports whether this host, or the one that it polls if it
// is not a store reader, cannot reach the store.
func (n *Node) isStoreUnreachable(f *feedView) bool {
	if n.isStoreReader() {
		return f.lastFailure > f.lastResponse
	}
	return f.sourceStoreUnreachable
}

// unknownAge is the confirmation age in messages of a view that was never
// confirmed.
const unknownAge = -1

// ageMillis returns the time from at to now in milliseconds, rounded up.
func ageMillis(at, now time.Duration) int64 {
	if isNever(at) {
		return unknownAge
	}
	return int64((now - at + time.Millisecond - 1) / time.Millisecond)
}

// maxAgeMillis is the highest accepted age in messages, in milliseconds. A
// higher age is treated as never.
const maxAgeMillis = int64(365 * 24 * time.Hour / time.Millisecond)

// timeBefore returns the time that lies age milliseconds before the base, or
// never if the age is negative or too high.
func timeBefore(base time.Duration, age int64) time.Duration {
	if age < 0 || age > maxAgeMillis {
		return never
	}
	return base - time.Duration(age)*time.Millisecond
}

// mergeFeedStatuses applies the feed statuses of another host, which may
// confirm this host's views or announce newer versions, and returns requests
// for the changes that this host lacks.
func (n *Node) mergeFeedStatuses(m *member, statuses []FeedStatus, echoTime time.Duration, hasEcho bool, now time.Duration) []Envelope {
	if len(statuses) != len(n.feeds) {
		return nil
	}
	var requests []Envelope
	for i, f := range n.feeds {
		status := statuses[i]
		f.newestKnown = max(f.newestKnown, status.Version)
		if hasEcho {
			f.confirm(status.Version, timeBefore(echoTime, status.ConfirmationAge))
		}
		if n.isFeedSource(m) {
			f.sourceStoreUnreachable = status.StoreUnreachable
		}
		if !f.shouldRequest(status, now, n.settings.ReplyTimeout) {
			continue
		}
		f.requestedAt = now
		f.announcedVersion = status.Version
		requests = append(requests, Envelope{
			To: m.Host,
			Message: &FeedRequest{
				Header: n.headerTo(m, now),
				Feed:   f.name,
				After:  f.version,
			},
		})
	}
	return requests
}

// shouldRequest reports whether to request the view that the status describes.
// The view must be newer than this host's, or this host must have none yet. It
// must not have been requested already, unless the request has timed out.
func (f *feedView) shouldRequest(status FeedStatus, now, timeout time.Duration) bool {
	newer := status.Version > f.version
	first := !f.hasView && status.ConfirmationAge != unknownAge
	if !newer && !first {
		return false
	}
	return now-f.requestedAt >= timeout || status.Version > f.announcedVersion
}

// isFeedSource reports whether this host gets changes of feeds from the member.
// It is false for every member on a store reader, which gets them from the
// store. While this host's parent does not reply, the result may differ from
// call to call; see pollTargets.
func (n *Node) isFeedSource(m *member) bool {
	return !n.isStoreReader() && slices.Contains(n.pollTargets(), m)
}

func (n *Node) receiveFeedRequest(request *FeedRequest, now time.Duration) []Envelope {
	f := n.feed(request.Feed)
	if f == nil || !f.hasView {
		return nil
	}
	m := n.members[request.From]
	if m == nil {
		m = unknownMember(request.From)
	}
	return []Envelope{
		{
			To: m.Host,
			Message: &FeedReply{
				Header: Header{
					From:            n.Self.Name,
					Timestamp:       n.timestampAt(now),
					EchoedTimestamp: request.Timestamp,
				},
				Feed:    f.name,
				Status:  n.feedStatus(f, now),
				Objects: f.changesAfter(request.After),
			},
		},
	}
}

func (n *Node) receiveFeedReply(reply *FeedReply, now time.Duration) {
	f := n.feed(reply.Feed)
	m := n.members[reply.From]
	if f == nil || m == nil {
		return
	}
	before := f.version
	f.apply(reply.Objects)
	if f.version < before {
		n.reportViolation("the version of a feed must not decrease", f.name)
	}
	if echoTime, hasEcho := n.recordContact(m, &reply.Header, now); hasEcho {
		f.confirm(reply.Status.Version, timeBefore(echoTime, reply.Status.ConfirmationAge))
	}
}
