package fleet

import (
	"slices"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// maxRecordsPerMessage is the maximum number of recently changed records in a
// status. Up to two other records are added to them; see recordsFor.
const maxRecordsPerMessage = 8

// removedRetention is how long the record of a removed host is kept, so that a
// delayed message does not add the host again.
const removedRetention = time.Hour

// StartDraining announces that this host is draining: it still replies but
// takes no new callers.
func (n *Node) StartDraining() {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	record := n.self().MemberRecord
	record.Draining = true
	record.Revision++
	n.applyRecord(record, now)
}

// SetMachines applies the platform's list of machines. A listed host without a
// record becomes a member that is polled. A host that is presumed dead and not
// listed is removed.
func (n *Node) SetMachines(machines []objectstore.Machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	for _, m := range n.members {
		m.isListed = false
	}
	for _, machine := range machines {
		if machine.Kind == objectstore.EntryHost {
			n.addMachine(machine, now)
		}
	}
	for _, m := range n.index.all {
		if !m.isListed && n.isPresumedDead(m, now) {
			n.advanceState(m, Removed, now)
		}
	}
}

// isPresumedDead reports whether nothing shows that the host is alive: it is
// dead, no host is known to have received a message from it, or its whole zone
// is silent, so that its state cannot be observed.
func (n *Node) isPresumedDead(m *member, now time.Duration) bool {
	isSilent := m.Zone != n.Self.Zone && now-n.zone(m.Zone).lastContact > n.settings.ZoneTimeout
	return m.State == Dead || m.Incarnation == 0 || isSilent
}

// addMachine applies one entry of the platform's list.
func (n *Node) addMachine(machine objectstore.Machine, now time.Duration) {
	m := n.members[machine.Name]
	if m == nil {
		n.applyRecord(MemberRecord{
			Host: Host{
				Name:    machine.Name,
				Region:  machine.Region,
				Zone:    machine.Zone,
				Address: machine.Address,
			},
		}, now)
		m = n.members[machine.Name]
	}
	m.isListed = true
	if machine.State == objectstore.Draining && !m.Draining {
		n.markDraining(m, now)
	}
	if m.State == Removed && m.Incarnation == 0 {
		// The host was removed before it had sent a message, and is listed again.
		n.replaceRecord(m, MemberRecord{
			Host:     m.Host,
			Revision: m.Revision + 1,
		}, now)
	}
}

// markDraining marks a host as draining because the platform's list says so.
func (n *Node) markDraining(m *member, now time.Duration) {
	record := m.MemberRecord
	record.Draining = true
	if m.Name == n.Self.Name {
		record.Revision++
	}
	n.replaceRecord(m, record, now)
}

// mergeRecords merges records of another host and reports whether any changed a
// record here.
func (n *Node) mergeRecords(records []MemberRecord, now time.Duration) (changed bool) {
	for _, record := range records {
		if record.Name == n.Self.Name {
			n.refute(record, now)
			continue
		}
		if n.applyRecord(record, now) {
			changed = true
		}
	}
	return changed
}

// refute replaces this host's record if another host has made a newer one. The
// replacement has a higher revision. It takes over the received incarnation if
// that is higher, which happens if the clock was set back.
func (n *Node) refute(received MemberRecord, now time.Duration) {
	own := n.self().MemberRecord
	if !received.Supersedes(own) {
		return
	}
	if received.Incarnation == own.Incarnation {
		// Another host may have read in the platform's list that this one is
		// draining.
		own.Draining = own.Draining || received.Draining
	}
	own.Revision = received.Revision + 1
	own.Incarnation = max(own.Incarnation, received.Incarnation)
	n.applyRecord(own, now)
}

// applyRecord stores a record if it supersedes the present one, and reports
// whether it did.
func (n *Node) applyRecord(record MemberRecord, now time.Duration) bool {
	m := n.members[record.Name]
	if m == nil {
		m = &member{
			MemberRecord: record,
			changedAt:    now,
			pendingSince: noPendingPoll,
			lastContact:  never,
			lastOutage:   never,
		}
		n.members[record.Name] = m
		n.index.insert(m)
		n.markChanged(m)
		return true
	}
	if !record.Supersedes(m.MemberRecord) {
		return false
	}
	n.replaceRecord(m, record, now)
	return true
}

func (n *Node) replaceRecord(m *member, record MemberRecord, now time.Duration) {
	if record.Incarnation > m.Incarnation {
		// Observations of an earlier incarnation do not apply to this one.
		m.lastTimestamp = 0
		m.lastOutage = never
		m.missedReplies = 0
	}
	moved := record.Zone != m.Zone
	if moved {
		n.index.remove(m)
	}
	n.index.hasNameChanges = n.index.hasNameChanges || record.State == Removed || m.State == Removed
	m.MemberRecord = record
	m.changedAt = now
	if moved {
		n.index.insert(m)
	}
	n.markChanged(m)
}

// markChanged marks a member's record for gossip and its zone in the index as
// dirty.
func (n *Node) markChanged(m *member) {
	n.index.markDirty(m)
	if at := slices.Index(n.recentlyChanged, m); at >= 0 {
		n.recentlyChanged = slices.Delete(n.recentlyChanged, at, at+1)
	}
	n.recentlyChanged = append(n.recentlyChanged, m)
}

// advanceState sets a later state of a host under the same revision.
func (n *Node) advanceState(m *member, state State, now time.Duration) {
	if m.State >= state {
		return
	}
	record := m.MemberRecord
	record.State = state
	n.replaceRecord(m, record, now)
}

// applyTimeouts records polls without a reply, declares suspects dead and
// deletes removed members when their timeouts have passed.
func (n *Node) applyTimeouts(now time.Duration) {
	for _, m := range slices.Clone(n.index.all) {
		switch {
		case m.pendingSince != noPendingPoll && now-m.pendingSince > n.settings.ReplyTimeout:
			n.recordMissedReply(m, now)
		case m.State == Suspect && now-m.changedAt > n.settings.SuspectTimeout:
			n.advanceState(m, Dead, now)
		case m.State == Removed && now-m.changedAt > removedRetention:
			delete(n.members, m.Name)
			n.index.remove(m)
		}
	}
}

// missesBeforeSuspect is the number of polls without a reply in a row after
// which a host becomes suspect.
const missesBeforeSuspect = 2

// recordMissedReply counts a poll without a reply. Only hosts of this host's
// own zone become suspect. Hosts of other zones are not suspected one by one:
// they count as lost while their whole zone is silent.
func (n *Node) recordMissedReply(m *member, now time.Duration) {
	m.pendingSince = noPendingPoll
	m.missedReplies++
	if m.missedReplies >= missesBeforeSuspect && m.Zone == n.Self.Zone && m.Incarnation != 0 {
		n.advanceState(m, Suspect, now)
	}
}

// resetAfterPause discards pending polls and missed replies, and restarts the
// timeouts of suspects, since this host could not receive messages while its
// process was paused.
func (n *Node) resetAfterPause(now time.Duration) {
	for _, m := range n.members {
		m.pendingSince = noPendingPoll
		m.missedReplies = 0
		if m.State == Suspect {
			m.changedAt = now
		}
	}
}

// recentRecords returns the records to include in messages: the latest changes,
// including this host's own record while it is new.
func (n *Node) recentRecords(now time.Duration) []MemberRecord {
	n.recentlyChanged = slices.DeleteFunc(n.recentlyChanged, func(m *member) bool {
		return now-m.changedAt >= n.settings.GossipTime
	})
	var records []MemberRecord
	for _, m := range slices.Backward(n.recentlyChanged) {
		if len(records) == maxRecordsPerMessage {
			break
		}
		if m.Incarnation != 0 {
			records = append(records, m.MemberRecord)
		}
	}
	return records
}
