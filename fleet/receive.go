package fleet

import "time"

// Receive handles a message and returns the messages to send. Replies are
// addressed to the sender.
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
		n.lastRepairChangedRecords = n.mergeRecords(message.Records, now)
	case *FeedRequest:
		return n.receiveFeedRequest(message, now)
	case *FeedReply:
		n.receiveFeedReply(message, now)
	}
	return nil
}

func (n *Node) receivePoll(poll *Poll, now time.Duration) []Envelope {
	m, followUps := n.applyStatus(&poll.Header, &poll.Status, now)
	if m == nil {
		// A sender without a record is not a member. It still gets a reply, from
		// which it learns the members.
		m = unknownMember(poll.From)
	}
	reply := Envelope{
		To: m.Host,
		Message: &PollReply{
			Header: Header{
				From:            n.Self.Name,
				Timestamp:       n.timestampAt(now),
				EchoedTimestamp: poll.Timestamp,
			},
			Status: n.statusFor(m, false, now),
		},
	}
	return append([]Envelope{
		reply,
	}, followUps...)
}

// unknownMember returns a member for a sender that has no record here yet.
func unknownMember(name string) *member {
	return &member{
		MemberRecord: MemberRecord{
			Host: Host{
				Name: name,
			},
		},
	}
}

func (n *Node) receivePollReply(reply *PollReply, now time.Duration) []Envelope {
	_, followUps := n.applyStatus(&reply.Header, &reply.Status, now)
	return followUps
}

// applyStatus merges the information in a status and returns the requests for
// what this host lacks. The member is nil if the sender has no record here.
func (n *Node) applyStatus(header *Header, status *Status, now time.Duration) (*member, []Envelope) {
	n.mergeRecords(status.Records, now)
	n.mergeCrashCounts(status.CrashCounts, now)
	m := n.members[header.From]
	if m == nil {
		return nil, nil
	}
	echoTime, hasEcho := n.recordContact(m, header, now)
	if hasEcho {
		n.mergeZoneAges(status.ZoneAges, echoTime)
		n.mergeHostOutageAges(status.HostOutageAges, echoTime)
	}
	requests := n.mergeFeedStatuses(m, status.Feeds, echoTime, hasEcho, now)
	if request, ok := n.requestRepair(m, status.RecordsHash, now); ok {
		requests = append(requests, request)
	}
	return m, requests
}

// recordContact records that a message of a member arrived. echoTime is the
// time on this host's timeline that the message echoes, which lies before the
// message was written. hasEcho is false if the message echoes no timestamp of
// this process.
func (n *Node) recordContact(m *member, header *Header, now time.Duration) (echoTime time.Duration, hasEcho bool) {
	m.lastTimestamp = max(m.lastTimestamp, header.Timestamp)
	echoTime, hasEcho = n.timeOfEcho(header.EchoedTimestamp, now)
	if !hasEcho {
		return never, false
	}
	m.lastContact = max(m.lastContact, echoTime)
	if m.pendingSince != noPendingPoll && echoTime >= m.pendingSince.Truncate(time.Millisecond) {
		m.pendingSince = noPendingPoll
		m.missedReplies = 0
	}
	zone := n.zone(m.Zone)
	zone.lastContact = max(zone.lastContact, echoTime)
	return echoTime, true
}

const (
	// repairDelay is how long the hashes of all records may differ before a
	// repair, because gossip removes most differences by itself.
	repairDelay = 8 * time.Second
	// matchesForAgreement is the number of statuses in a row that must have an
	// equal hash before the next difference counts as a new one.
	matchesForAgreement = 8
	// startupRepairTime is how long after its start a host repairs without that
	// delay, as long as each repair changes records.
	startupRepairTime = 30 * time.Second
)

// requestRepair returns a request for the records of the zones whose hash
// differs. It does so if this host's hash of all records has differed from
// those of other hosts for repairDelay, or at once if this host has just
// started.
func (n *Node) requestRepair(m *member, hash uint32, now time.Duration) (Envelope, bool) {
	x := n.updatedIndex()
	if hash == x.shortHash() {
		n.consecutiveMatches++
		return Envelope{}, false
	}
	// One equal hash proves little, as both hosts may lack the same records.
	if n.consecutiveMatches >= matchesForAgreement {
		n.mismatchedSince = now
	}
	n.consecutiveMatches = 0
	interval, delay := n.settings.MinRepairInterval, repairDelay
	if n.lastRepairChangedRecords && now-n.startedAt <= startupRepairTime {
		// A host that has just started learns many records from each repair.
		interval, delay = n.settings.TickInterval, 0
	}
	if now-n.lastRepair < interval || now-n.mismatchedSince < delay {
		return Envelope{}, false
	}
	n.lastRepair = now
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
		m = unknownMember(request.From)
	}
	return []Envelope{
		{
			To: m.Host,
			Message: &RecordsReply{
				Header: Header{
					From:            n.Self.Name,
					Timestamp:       n.timestampAt(now),
					EchoedTimestamp: request.Timestamp,
				},
				Records: n.updatedIndex().recordsOfDifferingZones(request.ZoneHashes),
			},
		},
	}
}
