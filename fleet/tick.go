package fleet

import (
	"slices"
	"time"
)

// pauseIntervals is how many intervals without a tick count as a pause of the
// process.
const pauseIntervals = 4

// calmTicks is how many ticks lie between polls of the same host while all is
// well; in trouble there is one each tick.
const calmTicks = 2

// Tick moves the node on and returns what to send. Call it once per
// [Node.TickInterval].
func (n *Node) Tick() []Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now-n.lastTick > pauseIntervals*n.settings.TickInterval {
		n.resume(now)
	}
	n.lastTick = now
	n.expire(now)
	n.callRoll(now)
	n.ticks++
	if n.joining(now) {
		return n.pollAll(now)
	}
	return n.pollSome(now)
}

// joining tells whether this host has just started and asks everybody in its
// zone what is newest.
func (n *Node) joining(now time.Duration) bool {
	return now-n.started < n.settings.ReplyTimeout
}

// pollAll polls the whole zone and a reader of each other zone.
func (n *Node) pollAll(now time.Duration) []Envelope {
	var targets []*member
	x := n.indexed()
	for _, zone := range x.zones {
		if zone == n.Self.Zone {
			targets = append(targets, n.unheard()...)
			continue
		}
		if target := n.envoy(zone); target != nil {
			targets = append(targets, target)
		}
	}
	return n.polls(targets, now)
}

// unheard returns the hosts of the zone that have not answered yet.
func (n *Node) unheard() []*member {
	var unheard []*member
	for _, m := range n.indexed().zoneOf(n.Self.Zone).roster {
		if isNever(m.heard) {
			unheard = append(unheard, m)
		}
	}
	return unheard
}

func (n *Node) pollSome(now time.Duration) []Envelope {
	var targets []*member
	if n.ticks%n.pollEvery(now) == 0 {
		targets = append(targets, n.parents()...)
	}
	if target := n.probeTarget(now); target != nil {
		targets = append(targets, target)
	}
	targets = append(targets, n.remoteTargets(now)...)
	return n.polls(targets, now)
}

func (n *Node) pollEvery(now time.Duration) int {
	if n.inTrouble(now) {
		return 1
	}
	return calmTicks
}

// polls writes a poll to each target once.
func (n *Node) polls(targets []*member, now time.Duration) []Envelope {
	var envelopes []Envelope
	sent := make(map[string]bool)
	for _, m := range targets {
		if m.Name == n.Self.Name || sent[m.Name] {
			continue
		}
		sent[m.Name] = true
		if m.pending == noPoll {
			m.pending = now
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
		Timestamp:       n.stampAt(now),
		EchoedTimestamp: m.stamp,
	}
}

// statusFor writes the status for a member. What is known of single hosts
// goes up the tree, what is known of whole zones goes down and across.
func (n *Node) statusFor(m *member, asking bool, now time.Duration) Status {
	status := Status{
		RecordsHash: n.indexed().brief(),
		Feeds:       n.feedStatuses(now),
		Records:     n.recordsFor(m, now),
		CrashCounts: n.recentNotices(now),
	}
	near := m.Zone == n.Self.Zone
	readers := near && n.isReader() && slices.Contains(n.otherReaders(), m)
	if readers || asking && slices.Contains(n.parents(), m) {
		status.HostOutageAges = n.roll(now)
	}
	// Between zones only answers carry ages: two hosts that rarely speak echo
	// stamps that are too old for a poll to say anything.
	if readers || !asking {
		status.ZoneAges = n.zoneAges(now)
	}
	return status
}

// recordsFor returns the rumors, and with them what the member must know: the
// record of this host if the two never spoke, and what is held against it.
func (n *Node) recordsFor(m *member, now time.Duration) []MemberRecord {
	records := n.rumors(now)
	if m.stamp == 0 {
		records = append(records, n.self().MemberRecord)
	}
	if m.State != Alive {
		records = append(records, m.MemberRecord)
	}
	return records
}

// Time that a host stays in trouble after it last saw a reason to.
const troubleTime = 3 * time.Second

// inTrouble tells whether confirmations may be about to run out, so that
// polls are made at twice the rate.
func (n *Node) inTrouble(now time.Duration) bool {
	if now-n.troubled < troubleTime {
		return true
	}
	for _, f := range n.feeds {
		if !f.bounded {
			continue
		}
		if now-f.confirmed > n.settings.MaxConfirmationAge*3/5 || n.isCut(f) {
			n.troubled = now
			return true
		}
	}
	return false
}
