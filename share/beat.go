package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// peer is what is known of another host's newest process.
type peer struct {
	identity ProcessID
	// stamp is the newest clock reading that it sent.
	stamp time.Duration
	// polled is when it was last asked for a beat.
	polled time.Duration
}

// beats returns the requests for confirmations that are due.
func (h *Limiter) beats(now instant) []Envelope {
	period := EpochPollInterval
	if h.isDeputy() && now.fast-h.epoch.readAt >= staleRead {
		h.countPledges(now)
		period = exchangePeriod
	}
	var envelopes []Envelope
	for _, host := range h.confirmers(now) {
		if host == h.Host {
			continue
		}
		p := h.peer(host)
		if now.fast-p.polled < period {
			continue
		}
		p.polled = now.fast
		envelopes = append(envelopes, h.beatTo(host, true, now))
	}
	return envelopes
}

func (h *Limiter) peer(host string) *peer {
	p, ok := h.peers[host]
	if !ok {
		p = &peer{
			polled: never,
		}
		h.peers[host] = p
	}
	return p
}

// confirmers lists the hosts to ask for confirmations now: a deputy for an
// ordinary host; all deputies for a deputy that can't read the store; a few
// more for a host whose confirmation grows old.
func (h *Limiter) confirmers(now instant) []string {
	deputies := h.epoch.deputies
	if len(deputies) == 0 {
		return h.anyLive(2)
	}
	fresh := now.fast-h.epoch.confirmedAt < staleBeat
	if h.isDeputy() {
		if now.fast-h.epoch.readAt < staleRead {
			return nil
		}
		hosts := make([]string, len(deputies))
		for place, deputy := range deputies {
			hosts[place] = deputy.Host
		}
		return hosts
	}
	own := h.ownDeputy()
	hosts := []string{deputies[own].Host}
	if fresh {
		return hosts
	}
	for range 2 {
		hosts = append(hosts, deputies[h.Rand.IntN(len(deputies))].Host)
	}
	return append(hosts, h.anyLive(1)...)
}

// ownDeputy spreads the holders evenly over the deputies.
func (h *Limiter) ownDeputy() int {
	if h.epoch.place >= 0 {
		return h.epoch.place % len(h.epoch.deputies)
	}
	return int(xxhash.Sum64String(h.Host) % uint64(len(h.epoch.deputies)))
}

// deputyAt says whether the host is a deputy.
func (h *Limiter) deputyAt(host string) bool {
	return slices.ContainsFunc(h.epoch.deputies, func(deputy ProcessID) bool { return deputy.Host == host })
}

// anyLive picks hosts that the fleet believes alive.
func (h *Limiter) anyLive(number int) []string {
	var hosts []string
	for range number {
		if len(h.live) > 0 {
			hosts = append(hosts, h.live[h.Rand.IntN(len(h.live))].Host)
		}
	}
	return hosts
}

func (h *Limiter) beat(to string, reply bool, now instant) EpochReport {
	p := h.peer(to)
	b := EpochReport{
		From:              h.identity,
		Timestamp:         now.fast,
		EchoedTimestamp:   p.stamp,
		EchoedIncarnation: p.identity.Incarnation,
		Epoch:             h.epoch.allocation.Epoch,
		SupportsEpoch:     h.pledging(),
		ConfirmationAge:   UnknownAge,
		WantsReply:        reply,
	}
	if h.epoch.confirmedAt != never {
		b.ConfirmationAge = now.fast - h.epoch.confirmedAt
	}
	if !reply && h.isDeputy() && h.deputyAt(to) && now.fast-h.epoch.readAt >= staleRead {
		h.addPledges(&b, now)
	}
	return b
}

func (h *Limiter) beatTo(host string, reply bool, now instant) Envelope {
	return Envelope{
		To:      host,
		Message: h.beat(host, reply, now),
	}
}

// addPledges lists the pledges that this deputy heard itself.
func (h *Limiter) addPledges(b *EpochReport, now instant) {
	for place, at := range h.epoch.heard {
		if at == never || now.fast-at >= staleBeat || place == h.epoch.place {
			continue
		}
		b.SupporterIndexes = append(b.SupporterIndexes, place)
		b.SupportAges = append(b.SupportAges, byte((now.fast-at)/ageUnit)+1)
	}
}

func (h *Limiter) receiveBeat(b EpochReport, now instant) []Envelope {
	p := h.peer(b.From.Host)
	if b.From.Host == h.Host || b.From.Incarnation < p.identity.Incarnation {
		return nil
	}
	if p.identity != b.From {
		p.identity = b.From
		p.stamp = b.Timestamp
	}
	p.stamp = max(p.stamp, b.Timestamp)
	own := h.epoch.allocation.Epoch
	if b.Allocation != nil && b.Allocation.Epoch > own {
		h.adopt(*b.Allocation, now)
	}
	if b.Delta != nil && own != 0 && b.Delta.Epoch == own+1 {
		h.adopt(b.Delta.apply(h.epoch.allocation), now)
	}
	if b.EchoedIncarnation == h.identity.Incarnation && b.Epoch == h.epoch.allocation.Epoch {
		h.learn(b, now)
	}
	return h.answerBeat(b, now)
}

func (h *Limiter) answerBeat(b EpochReport, now instant) []Envelope {
	own := h.epoch.allocation.Epoch
	if b.Epoch > own {
		return []Envelope{h.beatTo(b.From.Host, true, now)}
	}
	if !b.WantsReply {
		return nil
	}
	answer := h.beat(b.From.Host, false, now)
	if b.Epoch < own {
		h.addEpoch(&answer, b.Epoch)
	}
	return []Envelope{
		{
			To:      b.From.Host,
			Message: answer,
		},
	}
}

// addEpoch tells a host that is behind of the newest epoch.
func (h *Limiter) addEpoch(b *EpochReport, known Epoch) {
	if h.epoch.change != nil && known+1 == h.epoch.change.Epoch {
		b.Delta = h.epoch.change
		return
	}
	a := h.epoch.allocation
	b.Allocation = &a
}

// learn takes over what the sender knew. It knew it after it received the
// stamp that it echoes, so an age counts from that stamp.
func (h *Limiter) learn(b EpochReport, now instant) {
	if b.EchoedTimestamp > now.fast || b.Epoch == 0 {
		return
	}
	if b.ConfirmationAge >= 0 {
		h.confirmAt(b.EchoedTimestamp - b.ConfirmationAge)
	}
	if place := h.epoch.allocation.index(b.From); b.SupportsEpoch && place >= 0 {
		h.epoch.heard[place] = max(h.epoch.heard[place], b.EchoedTimestamp)
		h.pledgeAt(place, b.EchoedTimestamp)
	}
	for rank, place := range b.SupporterIndexes {
		if rank < len(b.SupportAges) {
			h.pledgeAt(place, b.EchoedTimestamp-time.Duration(b.SupportAges[rank])*ageUnit)
		}
	}
	if h.isDeputy() {
		h.countPledges(now)
	}
}

func (h *Limiter) pledgeAt(place int, at time.Duration) {
	if place >= 0 && place < len(h.epoch.pledges) {
		h.epoch.pledges[place] = max(h.epoch.pledges[place], at)
	}
}
