package fleet

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// maxRecords bounds the changes repeated in one message.
const maxRecords = 8

// goneTime is how long a gone host is remembered, so that a late message
// doesn't bring it back.
const goneTime = time.Hour

// StartDraining marks this host as leaving: it answers and takes no new callers.
func (n *Node) StartDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	record := n.self().MemberRecord
	record.Draining = true
	record.Revision++
	n.adopt(record, now)
}

// SetMachines takes in the platform's list of machines. A listed host that
// nobody has heard of becomes a member to be polled; a lost host that is no
// longer listed is gone.
func (n *Node) SetMachines(machines []objectstore.Machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, m := range n.members {
		m.listed = false
	}
	for _, machine := range machines {
		if machine.Kind == objectstore.EntryHost {
			n.list(machine, now)
		}
	}
	for _, m := range n.index.all {
		if !m.listed && n.isLost(m, now) {
			n.change(m, Removed, now)
		}
	}
}

// isLost tells whether nothing speaks for the host being alive: it is dead, was
// never heard of, or its whole zone is silent, so that nobody can tell.
func (n *Node) isLost(m *member, now time.Duration) bool {
	silent := m.Zone != n.Self.Zone && now-n.zone(m.Zone).heard > n.settings.ZoneTimeout
	return m.State == Dead || m.Incarnation == 0 || silent
}

// list takes in one entry of the platform's list.
func (n *Node) list(machine objectstore.Machine, now time.Duration) {
	m := n.members[machine.Name]
	if m == nil {
		n.adopt(MemberRecord{
			Host: Host{
				Name:    machine.Name,
				Region:  machine.Region,
				Zone:    machine.Zone,
				Address: machine.Address,
			},
		}, now)
		m = n.members[machine.Name]
	}
	m.listed = true
	if machine.State == objectstore.Draining && !m.Draining {
		n.markLeaving(m, now)
	}
	if m.State == Removed && m.Incarnation == 0 {
		// Listed again before anybody heard of it.
		n.replace(m, MemberRecord{
			Host:     m.Host,
			Revision: m.Revision + 1,
		}, now)
	}
}

// markLeaving takes over from the platform's list that a host is leaving.
func (n *Node) markLeaving(m *member, now time.Duration) {
	record := m.MemberRecord
	record.Draining = true
	if m.Name == n.Self.Name {
		record.Revision++
	}
	n.replace(m, record, now)
}

// merge takes in records from another host and tells whether any was news.
func (n *Node) merge(records []MemberRecord, now time.Duration) (news bool) {
	for _, record := range records {
		if record.Name == n.Self.Name {
			n.refute(record, now)
			continue
		}
		if n.adopt(record, now) {
			news = true
		}
	}
	return news
}

// refute answers a claim about this host that isn't its own by a later
// revision, or by a later incarnation if the clock was set back.
func (n *Node) refute(claim MemberRecord, now time.Duration) {
	own := n.self().MemberRecord
	if !claim.Supersedes(own) {
		return
	}
	if claim.Incarnation == own.Incarnation {
		// The platform may have said so before this host knew.
		own.Draining = own.Draining || claim.Draining
	}
	own.Revision = claim.Revision + 1
	own.Incarnation = max(own.Incarnation, claim.Incarnation)
	n.adopt(own, now)
}

// adopt takes a record in if it supersedes the one held, and tells whether it
// did.
func (n *Node) adopt(record MemberRecord, now time.Duration) bool {
	m := n.members[record.Name]
	if m == nil {
		m = &member{
			MemberRecord: record,
			learned:      now,
			pending:      noPoll,
			heard:        never,
			cutOff:       never,
		}
		n.members[record.Name] = m
		n.index.insert(m)
		n.noteChange(m)
		return true
	}
	if !record.Supersedes(m.MemberRecord) {
		return false
	}
	n.replace(m, record, now)
	return true
}

func (n *Node) replace(m *member, record MemberRecord, now time.Duration) {
	if record.Incarnation > m.Incarnation {
		// What was known of an earlier incarnation says nothing of this one.
		m.stamp = 0
		m.cutOff = never
		m.misses = 0
	}
	moved := record.Zone != m.Zone
	if moved {
		n.index.remove(m)
	}
	n.index.renamed = n.index.renamed || record.State == Removed || m.State == Removed
	m.MemberRecord = record
	m.learned = now
	if moved {
		n.index.insert(m)
	}
	n.noteChange(m)
}

// noteChange makes a changed record a rumor and the index be built anew.
func (n *Node) noteChange(m *member) {
	n.index.mark(m)
	if at := slices.Index(n.changed, m); at >= 0 {
		n.changed = slices.Delete(n.changed, at, at+1)
	}
	n.changed = append(n.changed, m)
}

// change moves a host to a later state under the same revision.
func (n *Node) change(m *member, state State, now time.Duration) {
	if m.State >= state {
		return
	}
	record := m.MemberRecord
	record.State = state
	n.replace(m, record, now)
}

// expire moves members on whose time is out.
func (n *Node) expire(now time.Duration) {
	for _, m := range slices.Clone(n.index.all) {
		switch {
		case m.pending != noPoll && now-m.pending > n.settings.ReplyTimeout:
			n.miss(m, now)
		case m.State == Suspect && now-m.learned > n.settings.SuspectTimeout:
			n.change(m, Dead, now)
		case m.State == Removed && now-m.learned > goneTime:
			delete(n.members, m.Name)
			n.index.remove(m)
		}
	}
}

// suspectAfter is how many polls in a row go unanswered before suspicion.
const suspectAfter = 2

// miss counts an unanswered poll. Only hosts of the own zone are suspected:
// those further away are judged by their zone as a whole.
func (n *Node) miss(m *member, now time.Duration) {
	m.pending = noPoll
	m.misses++
	if m.misses >= suspectAfter && m.Zone == n.Self.Zone && m.Incarnation != 0 {
		n.change(m, Suspect, now)
	}
}

// resume forgets what this host could not have noticed while it was paused.
func (n *Node) resume(now time.Duration) {
	for _, m := range n.members {
		m.pending = noPoll
		m.misses = 0
		if m.State == Suspect {
			m.learned = now
		}
	}
}

// rumors returns the latest changes to repeat, this host's own record among
// them while it is new.
func (n *Node) rumors(now time.Duration) []MemberRecord {
	n.changed = slices.DeleteFunc(n.changed, func(m *member) bool {
		return now-m.learned >= n.settings.GossipTime
	})
	var records []MemberRecord
	for _, m := range slices.Backward(n.changed) {
		if len(records) == maxRecords {
			break
		}
		if m.Incarnation != 0 {
			records = append(records, m.MemberRecord)
		}
	}
	return records
}
