package share

import (
	"slices"
	"time"
)

// voteRequestsPerTick is the largest number of vote requests that a host sends
// in one tick.
const voteRequestsPerTick = 64

// withdrawalRepeats is how many times the withdrawal of a proposal is sent.
const withdrawalRepeats = 3

// proposal is the state of this process's attempt to write the next epoch, also
// while it only waits to begin one.
type proposal struct {
	number    uint64
	epoch     Epoch
	startedAt time.Duration
	// sent is the number of members asked in the current round of vote
	// requests. roundStartedAt is when the round began.
	sent           int
	roundStartedAt time.Duration
	// votesReceived has an entry for each member.
	votesReceived []bool
	// writeOutcomeUnknown says that a write may still take effect.
	writeOutcomeUnknown bool
	// nextAllocation is the allocation to write.
	nextAllocation Allocation
	// withdrawalsLeft is how many times the withdrawal is still to be sent.
	withdrawalsLeft int
	// membersDiffer says that there is no proposal yet but the live processes
	// differ from the members, and differsSince since when.
	differsSince  time.Duration
	membersDiffer bool
}

func (l *Limiter) voteCount() int {
	count := 0
	for _, voted := range l.proposal.votesReceived {
		if voted {
			count++
		}
	}
	return count
}

// DeclareEnded declares that these processes have ended and can't run again, so
// that a new epoch does not need their votes. It is meant for hosts that an
// operator declared lost. If a declaration is wrong, grants can exceed the
// limits.
func (l *Limiter) DeclareEnded(ended []ProcessID) {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	l.declaredEnded = append(l.declaredEnded, ended...)
}

// propose starts, continues or withdraws this process's proposal.
func (l *Limiter) propose(now instant) []Envelope {
	if l.proposal.withdrawalsLeft > 0 {
		return l.withdrawalMessages()
	}
	if l.proposal.epoch != 0 {
		return l.requestVotes(now)
	}
	if !l.canPropose(now) {
		return nil
	}
	l.proposal.number++
	l.proposal.epoch = l.epoch.allocation.Epoch + 1
	l.proposal.startedAt = now.monotonic
	l.proposal.roundStartedAt = now.monotonic
	l.proposal.sent = 0
	l.proposal.votesReceived = make([]bool, len(l.epoch.allocation.Members))
	l.proposal.membersDiffer = false
	if l.epoch.memberIndex >= 0 {
		l.epoch.votesCast[l.processID] = l.proposal.number
		l.proposal.votesReceived[l.epoch.memberIndex] = true
	}
	return l.requestVotes(now)
}

// canPropose reports whether to start a proposal: the members differ from the
// live processes, this process has read the store recently, the earlier epochs
// have expired, and this process's delay has passed without a proposal by
// another host taking effect.
func (l *Limiter) canPropose(now instant) bool {
	if l.epoch.allocation.Epoch == 0 || now.withSuspend-l.epoch.readAt >= staleConfirmationAge {
		return false
	}
	_, differs := NextAllocation(l.epoch.allocation, l.liveProcesses)
	if !differs || l.draining {
		l.proposal.membersDiffer = false
		return false
	}
	if !l.proposal.membersDiffer {
		l.proposal.membersDiffer = true
		l.proposal.differsSince = now.monotonic
	}
	return l.earlierEpochsExpired(now) && now.monotonic-l.proposal.differsSince >= l.proposalDelay()
}

// proposalDelay returns two seconds for each live store reader that is ranked
// before this host, so that those propose first.
func (l *Limiter) proposalDelay() time.Duration {
	rank := 0
	for _, reader := range l.epoch.storeReaders {
		if reader == l.epoch.member {
			break
		}
		if slices.Contains(l.liveProcesses, reader) {
			rank++
		}
	}
	return time.Duration(rank) * 2 * time.Second
}

// requestVotes asks the members that have not voted yet, at most once a second
// each. It counts the processes declared ended as voters, and abandons the
// proposal after proposalTimeout unless a write may still take effect.
func (l *Limiter) requestVotes(now instant) []Envelope {
	if l.hasVoteQuorum() {
		return nil
	}
	if now.monotonic-l.proposal.startedAt >= proposalTimeout && !l.proposal.writeOutcomeUnknown {
		l.abandonProposal()
		return nil
	}
	if l.proposal.sent >= len(l.proposal.votesReceived) && now.monotonic-l.proposal.roundStartedAt >= time.Second {
		l.proposal.sent = 0
		l.proposal.roundStartedAt = now.monotonic
	}
	var envelopes []Envelope
	for l.proposal.sent < len(l.proposal.votesReceived) && len(envelopes) < voteRequestsPerTick {
		i := l.proposal.sent
		l.proposal.sent++
		member := l.epoch.allocation.Members[i]
		if slices.Contains(l.declaredEnded, member) {
			l.proposal.votesReceived[i] = true
		}
		if !l.proposal.votesReceived[i] {
			envelopes = append(envelopes, l.voteRequestTo(member, false))
		}
	}
	return envelopes
}

func (l *Limiter) voteRequestTo(member ProcessID, withdrawn bool) Envelope {
	return Envelope{
		To: member.Host,
		Message: VoteRequest{
			From:           l.processID,
			To:             member,
			Epoch:          l.epoch.allocation.Epoch + 1,
			ProposalNumber: l.proposal.number,
			Withdrawn:      withdrawn,
		},
	}
}

func (l *Limiter) hasVoteQuorum() bool {
	return l.proposal.epoch != 0 && l.voteCount() >= l.epoch.allocation.voteQuorum()
}

// abandonProposal drops the proposal and schedules its withdrawal. It is called
// only if no write of the proposal can still take effect.
func (l *Limiter) abandonProposal() {
	delete(l.epoch.votesCast, l.processID)
	l.proposal = proposal{
		number:          l.proposal.number,
		withdrawalsLeft: withdrawalRepeats,
	}
}

// withdrawalMessages tells the members that the proposal is withdrawn.
func (l *Limiter) withdrawalMessages() []Envelope {
	l.proposal.withdrawalsLeft--
	var envelopes []Envelope
	for _, member := range l.epoch.allocation.Members {
		if member.Host != l.Host {
			envelopes = append(envelopes, l.voteRequestTo(member, true))
		}
	}
	return envelopes
}

// receiveVoteRequest votes for the proposed epoch, unless the proposal has been
// withdrawn. From then on, this process does not support the current epoch.
func (l *Limiter) receiveVoteRequest(r VoteRequest) []Envelope {
	if r.Epoch != l.epoch.allocation.Epoch+1 || r.To.Host != l.Host {
		return nil
	}
	if r.To != l.epoch.member {
		return nil
	}
	if l.epoch.memberIndex < 0 || r.ProposalNumber <= l.epoch.withdrawnProposals[r.From] {
		return nil
	}
	if r.Withdrawn {
		l.epoch.withdrawnProposals[r.From] = r.ProposalNumber
		if l.epoch.votesCast[r.From] <= r.ProposalNumber {
			delete(l.epoch.votesCast, r.From)
		}
		return nil
	}
	l.epoch.votesCast[r.From] = max(r.ProposalNumber, l.epoch.votesCast[r.From])
	return voteFor(r)
}

func voteFor(r VoteRequest) []Envelope {
	return []Envelope{
		{
			To: r.From.Host,
			Message: Vote{
				Voter:          r.To,
				Proposer:       r.From,
				Epoch:          r.Epoch,
				ProposalNumber: r.ProposalNumber,
			},
		},
	}
}

func (l *Limiter) receiveVote(v Vote) {
	i := l.epoch.allocation.index(v.Voter)
	if v.Proposer != l.processID || v.Epoch != l.proposal.epoch || v.ProposalNumber != l.proposal.number || i < 0 {
		return
	}
	l.proposal.votesReceived[i] = true
}
