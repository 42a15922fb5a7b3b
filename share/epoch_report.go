package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is the state kept for the newest known process of another host.
type peer struct {
	processID ProcessID
	// timestamp is the newest clock reading received from the process.
	timestamp time.Duration
	// polledAt is when this process last sent it a report that wants a reply.
	polledAt time.Duration
}

// dueEpochPolls returns the reports that are due and that ask other hosts to
// confirm the epoch. A store reader that can't read the store also confirms the
// epoch from the support that it knows of.
func (l *Limiter) dueEpochPolls(now instant) []Envelope {
	interval := EpochPollInterval
	if l.isStoreReader() && now.withSuspend-l.epoch.readAt >= staleReadAge {
		l.confirmFromSupport(now)
		interval = storeReaderPollInterval
	}
	var envelopes []Envelope
	for _, host := range l.pollTargets(now) {
		if host == l.Host {
			continue
		}
		p := l.peer(host)
		if now.withSuspend-p.polledAt < interval {
			continue
		}
		p.polledAt = now.withSuspend
		envelopes = append(envelopes, l.epochReportTo(host, true, now))
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

// pollTargets returns the hosts to ask for a confirmation. A process that is no
// store reader asks its assigned store reader. Once its confirmation is older
// than staleConfirmationAge, it also asks two random store readers and one
// random live host. A store reader asks all store readers, but only while it
// can't read the store itself. A process that knows no epoch asks two random
// live hosts.
func (l *Limiter) pollTargets(now instant) []string {
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

// randomLiveHosts picks hosts at random, possibly with repeats, from the live
// processes.
func (l *Limiter) randomLiveHosts(count int) []string {
	var hosts []string
	for range count {
		if len(l.liveProcesses) > 0 {
			hosts = append(hosts, l.liveProcesses[l.Rand.IntN(len(l.liveProcesses))].Host)
		}
	}
	return hosts
}

// newEpochReport returns a report to the host. It lists the support of other
// members only in replies between store readers, and only while this one can't
// read the store.
func (l *Limiter) newEpochReport(to string, wantsReply bool, now instant) EpochReport {
	p := l.peer(to)
	r := EpochReport{
		From:              l.processID,
		Timestamp:         now.withSuspend,
		EchoedTimestamp:   p.timestamp,
		EchoedIncarnation: p.processID.Incarnation,
		Epoch:             l.epoch.allocation.Epoch,
		SupportsEpoch:     l.supportsEpoch(),
		ConfirmationAge:   UnknownAge,
		WantsReply:        wantsReply,
	}
	if l.epoch.confirmedAt != never {
		r.ConfirmationAge = now.withSuspend - l.epoch.confirmedAt
	}
	if !wantsReply && l.isStoreReader() && l.isStoreReaderHost(to) && now.withSuspend-l.epoch.readAt >= staleReadAge {
		l.addSupport(&r, now)
	}
	return r
}

func (l *Limiter) epochReportTo(host string, wantsReply bool, now instant) Envelope {
	return Envelope{
		To:      host,
		Message: l.newEpochReport(host, wantsReply, now),
	}
}

// addSupport adds the support that this store reader received directly from
// members within staleConfirmationAge.
func (l *Limiter) addSupport(r *EpochReport, now instant) {
	for i, at := range l.epoch.directSupportAt {
		if at == never || now.withSuspend-at >= staleConfirmationAge || i == l.epoch.memberIndex {
			continue
		}
		r.SupporterIndexes = append(r.SupporterIndexes, i)
		r.SupportAges = append(r.SupportAges, byte((now.withSuspend-at)/supportAgeUnit)+1)
	}
}

func (l *Limiter) receiveEpochReport(r EpochReport, now instant) []Envelope {
	p := l.peer(r.From.Host)
	if r.From.Host == l.Host || r.From.Incarnation < p.processID.Incarnation {
		return nil
	}
	if p.processID != r.From {
		p.processID = r.From
		p.timestamp = r.Timestamp
	}
	p.timestamp = max(p.timestamp, r.Timestamp)
	ownEpoch := l.epoch.allocation.Epoch
	if r.Allocation != nil && r.Allocation.Epoch > ownEpoch {
		l.adoptAllocation(*r.Allocation, now)
	}
	if r.Delta != nil && ownEpoch != 0 && r.Delta.Epoch == ownEpoch+1 {
		l.adoptAllocation(r.Delta.apply(l.epoch.allocation), now)
	}
	if r.EchoedIncarnation == l.processID.Incarnation && r.Epoch == l.epoch.allocation.Epoch {
		l.applyEpochReport(r, now)
	}
	return l.respondToEpochReport(r, now)
}

func (l *Limiter) respondToEpochReport(r EpochReport, now instant) []Envelope {
	ownEpoch := l.epoch.allocation.Epoch
	if r.Epoch > ownEpoch {
		return []Envelope{l.epochReportTo(r.From.Host, true, now)}
	}
	if !r.WantsReply {
		return nil
	}
	response := l.newEpochReport(r.From.Host, false, now)
	if r.Epoch < ownEpoch {
		l.addNewestEpoch(&response, r.Epoch)
	}
	return []Envelope{
		{
			To:      r.From.Host,
			Message: response,
		},
	}
}

// addNewestEpoch adds what a host on an older epoch needs to reach the newest
// one.
func (l *Limiter) addNewestEpoch(r *EpochReport, peerEpoch Epoch) {
	if l.epoch.delta != nil && peerEpoch+1 == l.epoch.delta.Epoch {
		r.Delta = l.epoch.delta
		return
	}
	a := l.epoch.allocation
	r.Allocation = &a
}

// applyEpochReport applies the sender's confirmation and support. The sender
// sent the report after it received the timestamp that it echoes, so counting
// the ages back from that timestamp gives times that are never too late.
func (l *Limiter) applyEpochReport(r EpochReport, now instant) {
	if r.EchoedTimestamp > now.withSuspend || r.Epoch == 0 {
		return
	}
	if r.ConfirmationAge >= 0 {
		l.recordConfirmation(r.EchoedTimestamp - r.ConfirmationAge)
	}
	if index := l.epoch.allocation.index(r.From); r.SupportsEpoch && index >= 0 {
		l.epoch.directSupportAt[index] = max(l.epoch.directSupportAt[index], r.EchoedTimestamp)
		l.recordSupport(index, r.EchoedTimestamp)
	}
	for i, index := range r.SupporterIndexes {
		if i < len(r.SupportAges) {
			l.recordSupport(index, r.EchoedTimestamp-time.Duration(r.SupportAges[i])*supportAgeUnit)
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
