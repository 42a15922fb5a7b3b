package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is the state kept for the newest known process of another host.
type peer struct {
	identity ProcessID
	// timestamp is the newest clock reading received from the process.
	timestamp time.Duration
	// polledAt is when this process last sent it a heartbeat that wants a
	// reply.
	polledAt time.Duration
}

// dueHeartbeats returns the heartbeats that are due, which ask other hosts to
// confirm the epoch.
func (l *Limiter) dueHeartbeats(now instant) []Envelope {
	interval := EpochPollInterval
	if l.isStoreReader() && now.withSuspend-l.epoch.readAt >= staleReadAge {
		l.confirmFromSupport(now)
		interval = storeReaderHeartbeatInterval
	}
	var envelopes []Envelope
	for _, host := range l.heartbeatTargets(now) {
		if host == l.Host {
			continue
		}
		p := l.peer(host)
		if now.withSuspend-p.polledAt < interval {
			continue
		}
		p.polledAt = now.withSuspend
		envelopes = append(envelopes, l.heartbeatTo(host, true, now))
	}
	return envelopes
}

func (l *Limiter) peer(host string) *peer {
	p, ok := l.peers[host]
	if !ok {
		p = &peer{
			polledAt: never,
		}
		l.peers[host] = p
	}
	return p
}

// heartbeatTargets returns the hosts to ask for a confirmation. A process that
// does not read the store asks its assigned store reader, and a few more hosts
// once its confirmation is older than staleConfirmationAge. A store reader asks
// all store readers, but only while it cannot read the store itself.
func (l *Limiter) heartbeatTargets(now instant) []string {
	storeReaders := l.epoch.storeReaders
	if len(storeReaders) == 0 {
		return l.randomLiveHosts(2)
	}
	isFresh := now.withSuspend-l.epoch.confirmedAt < staleConfirmationAge
	if l.isStoreReader() {
		if now.withSuspend-l.epoch.readAt < staleReadAge {
			return nil
		}
		hosts := make([]string, len(storeReaders))
		for i, reader := range storeReaders {
			hosts[i] = reader.Host
		}
		return hosts
	}
	assigned := l.assignedStoreReader()
	hosts := []string{storeReaders[assigned].Host}
	if isFresh {
		return hosts
	}
	for range 2 {
		hosts = append(hosts, storeReaders[l.Rand.IntN(len(storeReaders))].Host)
	}
	return append(hosts, l.randomLiveHosts(1)...)
}

// assignedStoreReader returns the index of the store reader that this process
// asks. The members are spread evenly over the store readers.
func (l *Limiter) assignedStoreReader() int {
	if l.epoch.memberIndex >= 0 {
		return l.epoch.memberIndex % len(l.epoch.storeReaders)
	}
	return int(xxhash.Sum64String(l.Host) % uint64(len(l.epoch.storeReaders)))
}

// isStoreReaderHost reports whether a process of the host is a store reader.
func (l *Limiter) isStoreReaderHost(host string) bool {
	return slices.ContainsFunc(l.epoch.storeReaders, func(reader ProcessID) bool { return reader.Host == host })
}

// randomLiveHosts picks hosts at random, possibly with repeats, from those that
// the fleet considers alive.
func (l *Limiter) randomLiveHosts(count int) []string {
	var hosts []string
	for range count {
		if len(l.liveProcesses) > 0 {
			hosts = append(hosts, l.liveProcesses[l.Rand.IntN(len(l.liveProcesses))].Host)
		}
	}
	return hosts
}

func (l *Limiter) newHeartbeat(to string, wantsReply bool, now instant) EpochReport {
	p := l.peer(to)
	hb := EpochReport{
		From:              l.identity,
		Timestamp:         now.withSuspend,
		EchoedTimestamp:   p.timestamp,
		EchoedIncarnation: p.identity.Incarnation,
		Epoch:             l.epoch.allocation.Epoch,
		SupportsEpoch:     l.supportsEpoch(),
		ConfirmationAge:   UnknownAge,
		WantsReply:        wantsReply,
	}
	if l.epoch.confirmedAt != never {
		hb.ConfirmationAge = now.withSuspend - l.epoch.confirmedAt
	}
	if !wantsReply && l.isStoreReader() && l.isStoreReaderHost(to) && now.withSuspend-l.epoch.readAt >= staleReadAge {
		l.addSupport(&hb, now)
	}
	return hb
}

func (l *Limiter) heartbeatTo(host string, wantsReply bool, now instant) Envelope {
	return Envelope{
		To:      host,
		Message: l.newHeartbeat(host, wantsReply, now),
	}
}

// addSupport adds the support that this store reader received directly from
// members within staleConfirmationAge.
func (l *Limiter) addSupport(hb *EpochReport, now instant) {
	for i, at := range l.epoch.heardSupportAt {
		if at == never || now.withSuspend-at >= staleConfirmationAge || i == l.epoch.memberIndex {
			continue
		}
		hb.SupporterIndexes = append(hb.SupporterIndexes, i)
		hb.SupportAges = append(hb.SupportAges, byte((now.withSuspend-at)/supportAgeUnit)+1)
	}
}

func (l *Limiter) receiveHeartbeat(hb EpochReport, now instant) []Envelope {
	p := l.peer(hb.From.Host)
	if hb.From.Host == l.Host || hb.From.Incarnation < p.identity.Incarnation {
		return nil
	}
	if p.identity != hb.From {
		p.identity = hb.From
		p.timestamp = hb.Timestamp
	}
	p.timestamp = max(p.timestamp, hb.Timestamp)
	ownEpoch := l.epoch.allocation.Epoch
	if hb.Allocation != nil && hb.Allocation.Epoch > ownEpoch {
		l.adoptAllocation(*hb.Allocation, now)
	}
	if hb.Delta != nil && ownEpoch != 0 && hb.Delta.Epoch == ownEpoch+1 {
		l.adoptAllocation(hb.Delta.apply(l.epoch.allocation), now)
	}
	if hb.EchoedIncarnation == l.identity.Incarnation && hb.Epoch == l.epoch.allocation.Epoch {
		l.applyHeartbeat(hb, now)
	}
	return l.respondToHeartbeat(hb, now)
}

func (l *Limiter) respondToHeartbeat(hb EpochReport, now instant) []Envelope {
	ownEpoch := l.epoch.allocation.Epoch
	if hb.Epoch > ownEpoch {
		return []Envelope{l.heartbeatTo(hb.From.Host, true, now)}
	}
	if !hb.WantsReply {
		return nil
	}
	response := l.newHeartbeat(hb.From.Host, false, now)
	if hb.Epoch < ownEpoch {
		l.addNewestEpoch(&response, hb.Epoch)
	}
	return []Envelope{
		{
			To:      hb.From.Host,
			Message: response,
		},
	}
}

// addNewestEpoch adds what a host on an older epoch needs to reach the newest
// one.
func (l *Limiter) addNewestEpoch(hb *EpochReport, peerEpoch Epoch) {
	if l.epoch.delta != nil && peerEpoch+1 == l.epoch.delta.Epoch {
		hb.Delta = l.epoch.delta
		return
	}
	a := l.epoch.allocation
	hb.Allocation = &a
}

// applyHeartbeat applies the sender's confirmation and support. The sender
// learned them after it received the timestamp that it echoes, so their ages
// count back from that timestamp.
func (l *Limiter) applyHeartbeat(hb EpochReport, now instant) {
	if hb.EchoedTimestamp > now.withSuspend || hb.Epoch == 0 {
		return
	}
	if hb.ConfirmationAge >= 0 {
		l.recordConfirmation(hb.EchoedTimestamp - hb.ConfirmationAge)
	}
	if index := l.epoch.allocation.index(hb.From); hb.SupportsEpoch && index >= 0 {
		l.epoch.heardSupportAt[index] = max(l.epoch.heardSupportAt[index], hb.EchoedTimestamp)
		l.recordSupport(index, hb.EchoedTimestamp)
	}
	for i, index := range hb.SupporterIndexes {
		if i < len(hb.SupportAges) {
			l.recordSupport(index, hb.EchoedTimestamp-time.Duration(hb.SupportAges[i])*supportAgeUnit)
		}
	}
	if l.isStoreReader() {
		l.confirmFromSupport(now)
	}
}

func (l *Limiter) recordSupport(index int, at time.Duration) {
	if index >= 0 && index < len(l.epoch.supportedAt) {
		l.epoch.supportedAt[index] = max(l.epoch.supportedAt[index], at)
	}
}
