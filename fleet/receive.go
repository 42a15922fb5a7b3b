package fleet

import "time"

// Receive takes a message in and returns what to send; answers are addressed
// to the sender.
func (n *Node) Receive(message Message) []Envelope {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	header := message.header()
	if header.From == n.Self.Name {
		return nil
	}
	switch message := message.(type) {
	case *Poll:
		return n.receivePoll(message, now)
	case *PollReply:
		return n.receivePollReply(message, now)
	case *RecordsRequest:
		return n.receiveRecordsRequest(message, now)
	case *RecordsReply:
		n.gained = n.merge(message.Records, now)
	case *FeedRequest:
		return n.receiveFeedRequest(message, now)
	case *FeedReply:
		n.receiveFeedReply(message, now)
	}
	return nil
}

func (n *Node) receivePoll(poll *Poll, now time.Duration) []Envelope {
	m, followUps := n.takeStatus(&poll.Header, &poll.Status, now)
	if m == nil {
		// Without a record there is nothing to hold against the sender; it
		// still learns who is here.
		m = stranger(poll.From)
	}
	reply := Envelope{
		To: m.Host,
		Message: &PollReply{
			Header: Header{
				From:            n.Self.Name,
				Timestamp:       n.stampAt(now),
				EchoedTimestamp: poll.Timestamp,
			},
			Status: n.statusFor(m, false, now),
		},
	}
	return append([]Envelope{
		reply,
	}, followUps...)
}

// stranger stands for a sender that is no member yet.
func stranger(name string) *member {
	return &member{
		MemberRecord: MemberRecord{
			Host: Host{
				Name: name,
			},
		},
	}
}

func (n *Node) receivePollReply(reply *PollReply, now time.Duration) []Envelope {
	_, followUps := n.takeStatus(&reply.Header, &reply.Status, now)
	return followUps
}

// takeStatus merges what a status says and returns the requests for what it
// shows to be missing here.
func (n *Node) takeStatus(header *Header, status *Status, now time.Duration) (*member, []Envelope) {
	n.merge(status.Records, now)
	n.mergeNotices(status.CrashCounts, now)
	m := n.members[header.From]
	if m == nil {
		return nil, nil
	}
	base, known := n.hear(m, header, now)
	if known {
		n.mergeZones(status.ZoneAges, base)
		n.mergeRoll(status.HostOutageAges, base)
	}
	requests := n.takeFeeds(m, status.Feeds, base, known, now)
	if request, ok := n.repair(m, status.RecordsHash, now); ok {
		requests = append(requests, request)
	}
	return m, requests
}

// hear notes that a member spoke. The time returned is one on this host's
// timeline that lies before the message was written, from the echo of this
// host's own stamp; known is false if the message carries none.
func (n *Node) hear(m *member, header *Header, now time.Duration) (base time.Duration, known bool) {
	m.stamp = max(m.stamp, header.Timestamp)
	base, known = n.timeOf(header.EchoedTimestamp, now)
	if !known {
		return never, false
	}
	m.heard = max(m.heard, base)
	if m.pending != noPoll && base >= m.pending.Truncate(time.Millisecond) {
		m.pending = noPoll
		m.misses = 0
	}
	zone := n.zone(m.Zone)
	zone.heard = max(zone.heard, base)
	return base, true
}

const (
	// settleTime is how long members' hashes may differ before a repair, since
	// rumors mostly make them equal by themselves.
	settleTime = 8 * time.Second
	// settledMatches is how many hosts in a row must agree with this one before
	// the next difference counts as a new one.
	settledMatches = 8
	// startTime is how long after its start a host repairs without that wait, as
	// long as repairs bring news.
	startTime = 30 * time.Second
)

// repair asks a member for its records if the hashes have differed for a
// while, or at once if this host has just started.
func (n *Node) repair(m *member, hash uint32, now time.Duration) (Envelope, bool) {
	x := n.indexed()
	if hash == x.brief() {
		n.matches++
		return Envelope{}, false
	}
	// One host that agrees proves nothing, as both may lack the same records.
	if n.matches >= settledMatches {
		n.mismatched = now
	}
	n.matches = 0
	interval, settle := n.settings.MinRepairInterval, settleTime
	if n.gained && now-n.started <= startTime {
		// A host that has just started still learns much from each repair.
		interval, settle = n.settings.TickInterval, 0
	}
	if now-n.repaired < interval || now-n.mismatched < settle {
		return Envelope{}, false
	}
	n.repaired = now
	return Envelope{
		To: m.Host,
		Message: &RecordsRequest{
			Header:     n.headerTo(m, now),
			ZoneHashes: x.zoneHashes(),
		},
	}, true
}

func (n *Node) receiveRecordsRequest(request *RecordsRequest, now time.Duration) []Envelope {
	m := n.members[request.From]
	if m == nil {
		m = stranger(request.From)
	}
	return []Envelope{
		{
			To: m.Host,
			Message: &RecordsReply{
				Header: Header{
					From:            n.Self.Name,
					Timestamp:       n.stampAt(now),
					EchoedTimestamp: request.Timestamp,
				},
				Records: n.indexed().recordsExcept(request.ZoneHashes),
			},
		},
	}
}
