package fleet

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// Interval returns the time between ticks.
func (n *Node) Interval() time.Duration { return n.Settings.withDefaults().Interval }

// Live returns the hosts to send callers and messages to, in order of name:
// those that answer, this one included, whether leaving or not. Hosts in a zone
// that has been silent too long are not among them.
func (n *Node) Live() []Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.zone(n.Self.Zone).heard = now
	var live []Record
	for _, m := range n.indexed().all {
		silent := now - n.zone(m.Zone).heard
		if m.State == Alive && m.Incarnation != 0 && silent <= n.settings.ZoneTimeout {
			live = append(live, m.Record)
		}
	}
	return live
}

// Members returns the records of all hosts, in order of name.
func (n *Node) Members() []Record {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	var records []Record
	for _, m := range n.indexed().all {
		records = append(records, m.Record)
	}
	return records
}

// IsLeaving tells whether the host said that it is leaving.
func (n *Node) IsLeaving(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	m := n.members[name]
	return m != nil && m.Leaving
}

// IsReader tells whether this host watches the store for its zone.
func (n *Node) IsReader() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	return n.isReader()
}

// Sources returns the hosts that this one learns news from, none for a reader,
// which learns from the store.
func (n *Node) Sources() []Host {
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

// ConfirmedAge returns how long ago the view of the feed was confirmed,
// directly or through a peer; ok is false if it never was.
func (n *Node) ConfirmedAge(name string) (age time.Duration, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	if f == nil || isNever(f.confirmed) {
		return 0, false
	}
	return now - f.confirmed, true
}

// IsReady tells whether this host, since it started, has taken in the highest
// version of the feed among the store and its peers. Before that it must not
// act on the view.
func (n *Node) IsReady(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	f := n.feed(name)
	return f != nil && n.isReady(f, now)
}

// Version returns the version of the feed that is held here.
func (n *Node) Version(name string) objectstore.Version {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.now()
	f := n.feed(name)
	if f == nil {
		return 0
	}
	return n.view(f)
}

// Changes returns the objects of the feed after a version, removed ones
// included, in version order, and the version to continue from. From zero it
// returns the whole view.
func (n *Node) Changes(name string, after objectstore.Version) objectstore.Changes {
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

// Violations returns how often an invariant did not hold. Anything but zero is
// a fault.
func (n *Node) Violations() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.violations
}
