package share

import (
	"slices"
	"time"
)

// proposalBatch is how many proposals a host sends in one tick.
const proposalBatch = 64

// withdrawals is how often the end of a proposal is told.
const withdrawals = 3

// proposal is this process's attempt to write the next epoch.
type proposal struct {
	number  uint64
	epoch   Epoch
	started time.Duration
	// sent is how many holders were asked in this round, and round when it
	// began.
	sent  int
	round time.Duration
	// consents has an entry for each holder.
	consents []bool
	// unknown says that a write may still take effect.
	unknown bool
	// next is what is written.
	next Allocation
	// withdraw is how often the end has still to be told.
	withdraw int
	// differs is when the live hosts first differed from the holders.
	differs time.Duration
	wanted  bool
}

func (h *Limiter) consentsOf() int {
	number := 0
	for _, consent := range h.proposal.consents {
		if consent {
			number++
		}
	}
	return number
}

// DeclareEnded states that these processes have ended and can't run again, so that
// their consent to a new epoch is not needed. The daemon says it of hosts that
// an operator declared lost. A false statement can exceed the limits.
func (h *Limiter) DeclareEnded(ended []ProcessID) {
	h.lock()
	defer h.mutex.Unlock()
	h.vouched = append(h.vouched, ended...)
}

// propose starts, goes on with or ends this process's proposal.
func (h *Limiter) propose(now instant) []Envelope {
	if h.proposal.withdraw > 0 {
		return h.withdrawal()
	}
	if h.proposal.epoch != 0 {
		return h.pursue(now)
	}
	if !h.mayPropose(now) {
		return nil
	}
	h.proposal.number++
	h.proposal.epoch = h.epoch.allocation.Epoch + 1
	h.proposal.started = now.slow
	h.proposal.round = now.slow
	h.proposal.sent = 0
	h.proposal.consents = make([]bool, len(h.epoch.allocation.Members))
	h.proposal.wanted = false
	if h.epoch.place >= 0 {
		h.epoch.promises[h.identity] = h.proposal.number
		h.proposal.consents[h.epoch.place] = true
	}
	return h.pursue(now)
}

// mayPropose says whether the holders differ from the live hosts, the store
// answers, the last epoch is settled, and no better placed host has acted.
func (h *Limiter) mayPropose(now instant) bool {
	if h.epoch.allocation.Epoch == 0 || now.fast-h.epoch.readAt >= staleBeat {
		return false
	}
	_, differs := NextAllocation(h.epoch.allocation, h.live)
	if !differs || h.leaving {
		h.proposal.wanted = false
		return false
	}
	if !h.proposal.wanted {
		h.proposal.wanted = true
		h.proposal.differs = now.slow
	}
	return h.settled(now) && now.slow-h.proposal.differs >= h.stagger()
}

// stagger is how long this host leaves the proposal to those before it.
func (h *Limiter) stagger() time.Duration {
	rank := 0
	for _, deputy := range h.epoch.deputies {
		if deputy == h.epoch.acting {
			break
		}
		if slices.Contains(h.live, deputy) {
			rank++
		}
	}
	return time.Duration(rank) * 2 * time.Second
}

// pursue asks the holders that have not consented yet.
func (h *Limiter) pursue(now instant) []Envelope {
	if h.consentsReached() {
		return nil
	}
	if now.slow-h.proposal.started >= proposalPeriod && !h.proposal.unknown {
		h.abandon()
		return nil
	}
	if h.proposal.sent >= len(h.proposal.consents) && now.slow-h.proposal.round >= time.Second {
		h.proposal.sent = 0
		h.proposal.round = now.slow
	}
	var envelopes []Envelope
	for h.proposal.sent < len(h.proposal.consents) && len(envelopes) < proposalBatch {
		place := h.proposal.sent
		h.proposal.sent++
		holder := h.epoch.allocation.Members[place]
		if slices.Contains(h.vouched, holder) {
			h.proposal.consents[place] = true
		}
		if !h.proposal.consents[place] {
			envelopes = append(envelopes, h.proposalTo(holder, false))
		}
	}
	return envelopes
}

func (h *Limiter) proposalTo(holder ProcessID, withdrawn bool) Envelope {
	return Envelope{
		To: holder.Host,
		Message: VoteRequest{
			From:           h.identity,
			To:             holder,
			Epoch:          h.epoch.allocation.Epoch + 1,
			ProposalNumber: h.proposal.number,
			Withdrawn:      withdrawn,
		},
	}
}

func (h *Limiter) consentsReached() bool {
	return h.proposal.epoch != 0 && h.consentsOf() >= h.epoch.allocation.consentQuorum()
}

// abandon gives the proposal up; no write of it can take effect any more.
func (h *Limiter) abandon() {
	delete(h.epoch.promises, h.identity)
	h.proposal = proposal{
		number:   h.proposal.number,
		withdraw: withdrawals,
	}
}

// withdrawal tells the holders that the proposal was given up.
func (h *Limiter) withdrawal() []Envelope {
	h.proposal.withdraw--
	var envelopes []Envelope
	for _, holder := range h.epoch.allocation.Members {
		if holder.Host != h.Host {
			envelopes = append(envelopes, h.proposalTo(holder, true))
		}
	}
	return envelopes
}

// receivePropose promises to confirm the epoch no more, unless the proposal
// was withdrawn.
func (h *Limiter) receivePropose(p VoteRequest) []Envelope {
	if p.Epoch != h.epoch.allocation.Epoch+1 || p.To.Host != h.Host {
		return nil
	}
	if p.To != h.epoch.acting {
		return nil
	}
	if h.epoch.place < 0 || p.ProposalNumber <= h.epoch.withdrawn[p.From] {
		return nil
	}
	if p.Withdrawn {
		h.epoch.withdrawn[p.From] = p.ProposalNumber
		if h.epoch.promises[p.From] <= p.ProposalNumber {
			delete(h.epoch.promises, p.From)
		}
		return nil
	}
	h.epoch.promises[p.From] = max(p.ProposalNumber, h.epoch.promises[p.From])
	return consentTo(p)
}

func consentTo(p VoteRequest) []Envelope {
	return []Envelope{
		{
			To: p.From.Host,
			Message: Vote{
				Voter:          p.To,
				Proposer:       p.From,
				Epoch:          p.Epoch,
				ProposalNumber: p.ProposalNumber,
			},
		},
	}
}

func (h *Limiter) receiveConsent(c Vote) {
	place := h.epoch.allocation.index(c.Voter)
	if c.Proposer != h.identity || c.Epoch != h.proposal.epoch || c.ProposalNumber != h.proposal.number || place < 0 {
		return
	}
	h.proposal.consents[place] = true
}
