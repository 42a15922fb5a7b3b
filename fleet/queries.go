package fleet

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// TickInterval returns the time to wait between two calls of [Node.Tick].
func (n *Node) TickInterval() time.Duration { return n.Settings.withDefaults().TickInterval }

// LiveHosts returns the hosts that callers and messages may be sent to, in
// order of name: all hosts in state Alive, this one and draining ones included.
// Hosts that no message is known of are left out, and so are the hosts of a
// zone that has been silent for longer than ZoneTimeout.
func (n *Node) LiveHosts() []MemberRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.zone(n.Self.Zone).lastContact = now
	var live []MemberRecord
	for _, m := range n.updatedIndex().all {
		silent := now - n.zone(m.Zone).lastContact
		if m.State == Alive && m.Incarnation != 0 && silent <= n.settings.ZoneTimeout {
			live = append(live, m.MemberRecord)
		}
	}
	return live
}

// Members returns the records of all hosts, in order of name.
func (n *Node) Members() []MemberRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	var records []MemberRecord
	for _, m := range n.updatedIndex().all {
		records = append(records, m.MemberRecord)
	}
	return records
}

// IsDraining reports whether the host's record says that it is draining.
func (n *Node) IsDraining(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	m := n.members[name]
	return m != nil && m.Draining
}

// IsStoreReader reports whether this host watches the store for its zone.
func (n *Node) IsStoreReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	return n.isReader()
}

// FeedSources returns the hosts that this host polls for changes of feeds. It
// returns none on a store reader, which gets them from the store.
func (n *Node) FeedSources() []Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	if n.isReader() {
		return nil
	}
	var hosts []Host
	for _, m := range n.parents() {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// ConfirmationAge returns the time since the view of the feed was confirmed, by
// the store or through another host. ok is false if it never was.
func (n *Node) ConfirmationAge(name string) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil || isNever(f.confirmedAt) {
		return 0, false
	}
	return now - f.confirmedAt, true
}

// HasSynced reports whether this host, since its start, has obtained the
// highest version of the feed known from the store or from its peers. Until
// then it must not use the view.
func (n *Node) HasSynced(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	return f != nil && n.hasSynced(f, now)
}

// FeedVersion returns the version of this host's view of the feed.
func (n *Node) FeedVersion(name string) objectstore.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return 0
	}
	return n.returnVersion(f)
}

// FeedChanges returns the objects of the feed that changed after a version,
// deleted ones included, in order of version, and the version to continue from.
// After version zero these are all objects of the view.
func (n *Node) FeedChanges(name string, after objectstore.Version) objectstore.Changes {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return objectstore.Changes{}
	}
	return objectstore.Changes{
		Objects: slices.Clone(f.changesAfter(after)),
		Next:    n.returnVersion(f),
	}
}

// returnVersion returns the feed's version and checks that it is not lower than
// one returned before.
func (n *Node) returnVersion(f *feedView) objectstore.Version {
	if f.version < f.lastReturned {
		n.reportViolation("a returned version must not decrease", f.name)
	}
	f.lastReturned = f.version
	return f.version
}

// ViolationCount returns the number of violated invariants. A value above zero
// means that the program has a fault.
func (n *Node) ViolationCount() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.violationCount
}
