package fleet

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// TickInterval returns the time between ticks.
func (n *Node) TickInterval() time.Duration { return n.Settings.withDefaults().TickInterval }

// LiveHosts returns the hosts to send callers and messages to, in order of name:
// those that answer, this one included, whether leaving or not. Hosts in a zone
// that has been silent too long are not among them.
func (n *Node) LiveHosts() []MemberRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.zone(n.Self.Zone).heard = now
	var live []MemberRecord
	for _, m := range n.indexed().all {
		silent := now - n.zone(m.Zone).heard
		if m.State == Alive && m.Incarnation != 0 && silent <= n.settings.ZoneTimeout {
			live = append(live, m.MemberRecord)
		}
	}
	return live
}

// RecordsHash returns the records of all hosts, in order of name.
func (n *Node) Members() []MemberRecord {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	var records []MemberRecord
	for _, m := range n.indexed().all {
		records = append(records, m.MemberRecord)
	}
	return records
}

// IsDraining tells whether the host said that it is leaving.
func (n *Node) IsDraining(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	m := n.members[name]
	return m != nil && m.Draining
}

// IsStoreReader tells whether this host watches the store for its zone.
func (n *Node) IsStoreReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	return n.isReader()
}

// FeedSources returns the hosts that this one learns news from, none for a reader,
// which learns from the store.
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

// ConfirmationAge returns how long ago the view of the feed was confirmed,
// directly or through a peer; ok is false if it never was.
func (n *Node) ConfirmationAge(name string) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil || isNever(f.confirmed) {
		return 0, false
	}
	return now - f.confirmed, true
}

// HasSynced tells whether this host, since it started, has taken in the highest
// version of the feed among the store and its peers. Before that it must not
// act on the view.
func (n *Node) HasSynced(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	return f != nil && n.isReady(f, now)
}

// FeedVersion returns the version of the feed that is held here.
func (n *Node) FeedVersion(name string) objectstore.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return 0
	}
	return n.view(f)
}

// FeedChanges returns the objects of the feed after a version, removed ones
// included, in version order, and the version to continue from. From zero it
// returns the whole view.
func (n *Node) FeedChanges(name string, after objectstore.Version) objectstore.Changes {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return objectstore.Changes{}
	}
	return objectstore.Changes{
		Objects: slices.Clone(f.changes(after)),
		Next:    n.view(f),
	}
}

// view returns the feed's version and asserts that it is none before one that
// was handed out.
func (n *Node) view(f *feed) objectstore.Version {
	if f.version < f.viewed {
		n.violate("a version handed out never goes back", f.name)
	}
	f.viewed = f.version
	return f.version
}

// ViolationCount returns how often an invariant did not hold. Anything but zero is
// a fault.
func (n *Node) ViolationCount() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.violations
}
