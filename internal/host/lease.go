package host

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"time"

	"trefoilline.example/trefoilline/membership"
	"trefoilline.example/trefoilline/quota"
)

const (
	// leaseCheckAge is the age of the last check of the lease at which the store is asked, and leaseQuestionAge the one at which
	// the other hosts are.
	leaseCheckAge    = 2 * time.Second
	leaseQuestionAge = 3 * time.Second
	// leaseCheckInterval is the time between two such calls.
	leaseCheckInterval = time.Second
)

// ConfirmLease notes that the store has shown that this host's record stands, in response to a call that was sent at a time.
func (p *RatePart) ConfirmLease(sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease.Confirm(sentAt)
}

// ExtendLease extends the lease if all the other hosts have answered and count on the same holders.
func (p *RatePart) ExtendLease(holders uint64, witnesses []quota.Witness) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lease.Extend(p.now(), holders, witnesses)
}

// EndLease makes a list of all records necessary before the part is used again, if the lease has ended.
func (p *RatePart) EndLease() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hasLostLease() {
		p.claim.EndLease()
	}
}

// HasLostLease reports whether the lease was confirmed before and has ended.
func (p *RatePart) HasLostLease() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasLostLease()
}

func (p *RatePart) hasLostLease() bool {
	_, wasConfirmed := p.lease.Age(p.now())
	return wasConfirmed && !p.lease.IsValid(p.now())
}

// LeaseConfirmedAt returns when the last check of the lease was sent, zero if there was none.
func (p *RatePart) LeaseConfirmedAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lease.ConfirmedAt()
}

// IsLeaseOlder reports whether the last check of the lease is older than the age, or there was none.
func (p *RatePart) IsLeaseOlder(age time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	current, wasConfirmed := p.lease.Age(p.now())
	return !wasConfirmed || current > age
}

// needsLease reports whether this host owns anything that ends with its lease. In a fleet with relays only the parts of the teams'
// rates do.
func (h *host) needsLease() bool { return h.part.Stated() > 0 || !h.roster.HasRelays() }

// hasLostLease reports whether this host's lease has ended, so that the others may have what it owned.
func (h *host) hasLostLease() bool { return h.needsLease() && h.part.HasLostLease() }

// extendLease extends the lease if all the other hosts have answered this host's heartbeats and count on the holders with this hash. It
// does nothing in a fleet with relays.
func (h *host) extendLease(members []membership.HostRecord, hash uint64) {
	if h.roster.HasRelays() {
		return
	}
	var witnesses []quota.Witness
	for _, m := range h.possibleTakers(members) {
		peer, isLive := h.roster.LivePeer(m.Name)
		witnesses = append(witnesses, quota.Witness{
			IsLive:     isLive,
			Holders:    peer.Holders,
			AnsweredAt: h.peerMessenger.answeredAt(m.PeerAddress),
		})
	}
	h.part.ExtendLease(hash, witnesses)
}

// possibleTakers returns those of the members that may remove this host's record: all but those of earlier builds and those that are
// stopping. One that has stopped may have started again, without this host hearing it.
func (h *host) possibleTakers(members []membership.HostRecord) []membership.HostRecord {
	return slices.DeleteFunc(slices.Clone(members), func(m membership.HostRecord) bool {
		peer, isLive := h.roster.LivePeer(m.Name)
		return m.Name == h.settings().Host || !m.Leased || isLive && peer.Draining
	})
}

// askForLease asks the holders of parts, in a fleet with relays in which the store does not answer, and extends the lease if all of
// them answer and count on the same holders.
func (h *host) askForLease(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, leaseCheckInterval)
		isNeeded := h.roster.HasRelays() && h.part.granted() > 0 && h.part.IsLeaseOlder(leaseQuestionAge)
		if !isNeeded {
			continue
		}
		members := h.members()
		holders := h.holders(members)
		takers := slices.DeleteFunc(h.possibleTakers(members), func(m membership.HostRecord) bool { return !slices.Contains(holders, m.Name) })
		sentAt := time.Now()
		answers := h.peerMessenger.requestParts(ctx, takers)
		var witnesses []quota.Witness
		for _, m := range takers {
			answer, hasAnswered := answers[m.Name]
			witnesses = append(witnesses, quota.Witness{
				IsLive:     hasAnswered,
				Holders:    answer.Holders,
				AnsweredAt: sentAt,
			})
		}
		h.part.ExtendLease(hashHolders(members, holders), witnesses)
		h.updateDivisionSoon()
	}
}

// noteAnswer records that another host has answered a message that was sent at a time.
func (p *peerMessenger) noteAnswer(from netip.AddrPort, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.answered == nil {
		p.answered = make(map[netip.AddrPort]time.Time)
	}
	forgetOld(p.answered)
	if sentAt.After(p.answered[from]) {
		p.answered[from] = sentAt
	}
}

// maxTimes is of how many hosts times are kept before those are dropped that are too old for any lease.
const maxTimes = 1024

// forgetOld drops the times that no longer matter, if there are many.
func forgetOld[K comparable](times map[K]time.Time) {
	if len(times) >= maxTimes {
		maps.DeleteFunc(times, func(_ K, at time.Time) bool { return time.Since(at) > 2*quota.ReclaimTime })
	}
}

// answeredAt returns when the last message was sent that a host has answered, zero if there is none.
func (p *peerMessenger) answeredAt(from netip.AddrPort) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.answered[from]
}

// noteQuestion records that another host has asked for its part.
func (p *peerMessenger) noteQuestion(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.questions == nil {
		p.questions = make(map[string]time.Time)
	}
	forgetOld(p.questions)
	p.questions[name] = time.Now()
}

// lastHeard returns when this host last heard from another one in any way, zero if it did not.
func (p *peerMessenger) lastHeard(name string) time.Time {
	heardAt := p.host.roster.LastHeard(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	if askedAt := p.questions[name]; askedAt.After(heardAt) {
		return askedAt
	}
	return heardAt
}
