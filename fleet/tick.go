package fleet

import (
	"slices"
	"time"
)

// pauseIntervals is the number of tick intervals without a tick after which the
// process is assumed to have been paused.
const pauseIntervals = 4

// normalPollTicks is the number of ticks between two polls of the hosts in
// pollTargets. A degraded host polls them at each tick.
const normalPollTicks = 2

// Tick applies the timeouts that have passed and returns the messages to send.
// Call it once per [Node.TickInterval].
func (n *Node) Tick() []Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now-n.lastTick > pauseIntervals*n.settings.TickInterval {
		n.resetAfterPause(now)
	}
	n.lastTick = now
	n.applyTimeouts(now)
	n.updateOwnZone(now)
	n.tickCount++
	if n.isStarting(now) {
		return n.startupPolls(now)
	}
	return n.regularPolls(now)
}

// isStarting reports whether this host has just started. It then polls all
// hosts of its zone for their versions.
func (n *Node) isStarting(now time.Duration) bool {
	return now-n.startedAt < n.settings.ReplyTimeout
}

// startupPolls returns polls of the hosts of the zone that have not replied
// yet, and of one host of each other zone.
func (n *Node) startupPolls(now time.Duration) []Envelope {
	var targets []*member
	x := n.updatedIndex()
	for _, zone := range x.zones {
		if zone == n.Self.Zone {
			targets = append(targets, n.uncontactedMembers()...)
			continue
		}
		if target := n.remoteTarget(zone); target != nil {
			targets = append(targets, target)
		}
	}
	return n.newPolls(targets, now)
}

// uncontactedMembers returns the hosts of the zone that have not replied yet.
func (n *Node) uncontactedMembers() []*member {
	var uncontacted []*member
	for _, m := range n.updatedIndex().zone(n.Self.Zone).present {
		if isNever(m.lastContact) {
			uncontacted = append(uncontacted, m)
		}
	}
	return uncontacted
}

func (n *Node) regularPolls(now time.Duration) []Envelope {
	var targets []*member
	if n.tickCount%n.ticksPerPoll(now) == 0 {
		targets = append(targets, n.pollTargets()...)
	}
	if target := n.probeTarget(now); target != nil {
		targets = append(targets, target)
	}
	targets = append(targets, n.remoteTargets(now)...)
	return n.newPolls(targets, now)
}

func (n *Node) ticksPerPoll(now time.Duration) int {
	if n.isDegraded(now) {
		return 1
	}
	return normalPollTicks
}

// newPolls returns one poll for each target.
func (n *Node) newPolls(targets []*member, now time.Duration) []Envelope {
	var envelopes []Envelope
	sent := make(map[string]bool)
	for _, m := range targets {
		if m.Name == n.Self.Name || sent[m.Name] {
			continue
		}
		sent[m.Name] = true
		if m.pendingSince == noPendingPoll {
			m.pendingSince = now
		}
		envelopes = append(envelopes, Envelope{
			To: m.Host,
			Message: &Poll{
				Header: n.headerTo(m, now),
				Status: n.statusFor(m, true, now),
			},
		})
	}
	return envelopes
}

func (n *Node) headerTo(m *member, now time.Duration) Header {
	return Header{
		From:            n.Self.Name,
		Timestamp:       n.timestampAt(now),
		EchoedTimestamp: m.lastTimestamp,
	}
}

// statusFor returns the status to send to a member. Information about single
// hosts goes from children to parents in the tree. Information about whole
// zones goes from parents to children, and both are exchanged among the store
// readers of a zone.
func (n *Node) statusFor(m *member, isPoll bool, now time.Duration) Status {
	status := Status{
		RecordsHash: n.updatedIndex().shortHash(),
		Feeds:       n.feedStatuses(now),
		Records:     n.recordsFor(m, now),
		CrashCounts: n.recentCrashCounts(now),
	}
	isSameZone := m.Zone == n.Self.Zone
	areStoreReaders := isSameZone && n.isStoreReader() && slices.Contains(n.otherStoreReaders(), m)
	if areStoreReaders || isPoll && slices.Contains(n.pollTargets(), m) {
		status.HostOutageAges = n.hostOutageAges(now)
	}
	// Between zones only replies carry ages. Two hosts of different zones poll
	// each other rarely, so the timestamp that a poll echoes is too old for its
	// ages to be useful.
	if areStoreReaders || !isPoll {
		status.ZoneAges = n.zoneAges(now)
	}
	return status
}

// recordsFor returns the recent changes and the records that the member must
// know: this host's own if the member has not sent a message yet, and the
// member's own if it says that the member is not alive.
func (n *Node) recordsFor(m *member, now time.Duration) []MemberRecord {
	records := n.recentRecords(now)
	if m.lastTimestamp == 0 {
		records = append(records, n.self().MemberRecord)
	}
	if m.State != Alive {
		records = append(records, m.MemberRecord)
	}
	return records
}

// degradedTime is how long a host stays degraded after the cause has ended.
const degradedTime = 3 * time.Second

// isDegraded reports whether a confirmation is older than 3/5 of
// MaxConfirmationAge, so that it may be about to expire, or the store is
// unreachable. The host then polls at twice the rate.
func (n *Node) isDegraded(now time.Duration) bool {
	if now-n.lastDegraded < degradedTime {
		return true
	}
	for _, f := range n.feeds {
		if !f.hasHeadKey {
			continue
		}
		if now-f.confirmedAt > n.settings.MaxConfirmationAge*3/5 || n.isStoreUnreachable(f) {
			n.lastDegraded = now
			return true
		}
	}
	return false
}
