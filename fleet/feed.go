package fleet

import (
	"cmp"
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Feed is a part of the store that the fleet follows.
type Feed struct {
	// Prefix starts the keys of its objects, and names the feed.
	Prefix string
	// Head, if set, makes the feed a confirmed one, whose view is read often
	// enough for [Node.CheckConfirmed]. It is a key outside the prefix that every
	// change is followed by a write of, before the change counts as accepted. A
	// watch confirms a view only up to the head's version, so one that lags
	// confirms nothing. Of a feed without a head only changes are waited for.
	HeadKey string
}

// feed is this host's view of the objects under a prefix.
type feed struct {
	name string
	// bounded is set for a confirmed feed.
	bounded bool
	objects map[string]objectstore.Object
	// version is the highest of any object; all changes up to it are held.
	version objectstore.Version
	// viewed is the highest version that a query has handed out.
	viewed objectstore.Version
	// announced is the highest version that anybody is known to have.
	announced objectstore.Version
	// held is set once a whole view was taken in.
	held bool
	// confirmed is a time at which the view was the store's newest.
	confirmed time.Duration
	// tried, answered and failed are when the last call to the store began, the
	// last that it answered and the last that did not reach it.
	tried    time.Duration
	answered time.Duration
	failed   time.Duration
	// ready is set once the view was the newest that the store or the zone's
	// hosts had when this host started.
	ready bool
	// requested is when which version was last asked for.
	requested        time.Duration
	requestedVersion objectstore.Version
	// retry is when a host that isn't a reader may try the store next.
	retry time.Duration
	// cut is set while the host learned from doesn't reach the store.
	cut bool
}

func newFeed(source Feed) *feed {
	return &feed{
		name:      source.Prefix,
		bounded:   source.HeadKey != "",
		objects:   make(map[string]objectstore.Object),
		confirmed: never,
		tried:     never,
		answered:  never,
		failed:    never,
		requested: never,
	}
}

func (n *Node) feed(name string) *feed {
	for _, f := range n.feeds {
		if f.name == name {
			return f
		}
	}
	return nil
}

// apply takes changes in. A key at the same or a higher version stays.
func (f *feed) apply(objects []objectstore.Object) {
	for _, object := range objects {
		if object.Version <= f.objects[object.Key].Version {
			continue
		}
		f.objects[object.Key] = object
		f.version = max(f.version, object.Version)
	}
	f.announced = max(f.announced, f.version)
	f.held = true
}

// changes returns the objects after a version, in version order.
func (f *feed) changes(after objectstore.Version) []objectstore.Object {
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

// confirm notes that the view at the version was the newest at a time. It
// says nothing of a view at another version, or while a newer one is known.
func (f *feed) confirm(version objectstore.Version, at time.Duration) {
	if version == f.version && f.version >= f.announced {
		f.confirmed = max(f.confirmed, at)
	}
}

// feedStatuses tells how far this host's views go.
func (n *Node) feedStatuses(now time.Duration) []FeedStatus {
	statuses := make([]FeedStatus, 0, len(n.feeds))
	for _, f := range n.feeds {
		statuses = append(statuses, n.feedStatus(f, now))
	}
	return statuses
}

func (n *Node) feedStatus(f *feed, now time.Duration) FeedStatus {
	return FeedStatus{
		Version:          f.version,
		ConfirmationAge:  ageOf(f.confirmed, now),
		StoreUnreachable: n.isCut(f),
	}
}

// isCut tells whether this host, or the one that it learns from, doesn't reach
// the store.
func (n *Node) isCut(f *feed) bool {
	if n.isReader() {
		return f.failed > f.answered
	}
	return f.cut
}

// unknownAge stands for "never" in messages.
const unknownAge = -1

// ageOf returns how many milliseconds lie between, rounded up.
func ageOf(at, now time.Duration) int64 {
	if isNever(at) {
		return unknownAge
	}
	return int64((now - at + time.Millisecond - 1) / time.Millisecond)
}

// maxAge bounds the ages in messages, in milliseconds; what is older might as
// well never have been.
const maxAge = int64(365 * 24 * time.Hour / time.Millisecond)

// since returns the time that an age stands for, counted from a base.
func since(base time.Duration, age int64) time.Duration {
	if age < 0 || age > maxAge {
		return never
	}
	return base - time.Duration(age)*time.Millisecond
}

// takeFeeds compares a member's views with this host's and returns requests
// for what is newer there.
func (n *Node) takeFeeds(m *member, statuses []FeedStatus, base time.Duration, known bool, now time.Duration) []Envelope {
	if len(statuses) != len(n.feeds) {
		return nil
	}
	var requests []Envelope
	for i, f := range n.feeds {
		status := statuses[i]
		f.announced = max(f.announced, status.Version)
		if known {
			f.confirm(status.Version, since(base, status.ConfirmationAge))
		}
		if n.learnsFrom(m) {
			f.cut = status.StoreUnreachable
		}
		if !f.wants(status, now, n.settings.ReplyTimeout) {
			continue
		}
		f.requested = now
		f.requestedVersion = status.Version
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

// wants tells whether to ask for the view of a status: it is newer, or whole
// where this host has none, and wasn't asked for just now.
func (f *feed) wants(status FeedStatus, now, timeout time.Duration) bool {
	newer := status.Version > f.version
	first := !f.held && status.ConfirmationAge != unknownAge
	if !newer && !first {
		return false
	}
	return now-f.requested >= timeout || status.Version > f.requestedVersion
}

// learnsFrom tells whether the member is one that this host polls for news.
func (n *Node) learnsFrom(m *member) bool {
	return !n.isReader() && slices.Contains(n.parents(), m)
}

func (n *Node) receiveFeedRequest(request *FeedRequest, now time.Duration) []Envelope {
	f := n.feed(request.Feed)
	if f == nil || !f.held {
		return nil
	}
	m := n.members[request.From]
	if m == nil {
		m = stranger(request.From)
	}
	return []Envelope{
		{
			To: m.Host,
			Message: &FeedReply{
				Header: Header{
					From:            n.Self.Name,
					Timestamp:       n.stampAt(now),
					EchoedTimestamp: request.Timestamp,
				},
				Feed:    f.name,
				Status:  n.feedStatus(f, now),
				Objects: f.changes(request.After),
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
		n.violate("a feed's version never goes back", f.name)
	}
	if base, known := n.hear(m, &reply.Header, now); known {
		f.confirm(reply.Status.Version, since(base, reply.Status.ConfirmationAge))
	}
}
