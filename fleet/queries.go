package fleet

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// TickInterval returns the time to wait between two calls of [Node.Tick].
func (n *Node) TickInterval() time.Duration { return n.Settings.withDefaults().TickInterval }

// LiveHosts returns the live hosts in order of name: this host and all others
// in state Alive that have sent a message. Draining hosts are included; they
// still get messages but no new callers. The hosts of a zone that has been
// silent for longer than ZoneTimeout are left out.
func (n *Node) LiveHosts() []MemberRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	// This host's own zone is never silent.
	n.zone(n.Self.Zone).lastContact = now
	var live []MemberRecord
	for _, m := range n.updatedIndex().all {
		silence := now - n.zone(m.Zone).lastContact
		if m.State == Alive && m.Incarnation != 0 && silence <= n.settings.ZoneTimeout {
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
	return n.isStoreReader()
}

// FeedSources returns the hosts that this host polls for changes of feeds. It
// returns none on a store reader, which gets them from the store.
func (n *Node) FeedSources() []Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	if n.isStoreReader() {
		return nil
	}
	var hosts []Host
	for _, m := range n.pollTargets() {
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
// highest version of the feed known to it. It is false until the store has
// responded or ReplyTimeout has passed, so that peers can announce their
// versions. Once true it remains true. Until then the host must not use its
// view.
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
	return n.checkedVersion(f)
}

// FeedChanges returns the objects of the feed that changed after a version,
// deleted ones included, in order of version, and the version to continue from.
// After version zero these are all objects of the view.
func (n *Node) FeedChanges(name string, after objectstore.Version) objectstore.VersionedObjects {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return objectstore.VersionedObjects{}
	}
	return objectstore.VersionedObjects{
		Objects: slices.Clone(f.changesAfter(after)),
		Next:    n.checkedVersion(f),
	}
}

// checkedVersion returns the feed's version and reports a violation if it is
// lower than one returned before.
func (n *Node) checkedVersion(f *feedView) objectstore.Version {
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
