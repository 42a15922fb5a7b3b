package globallimit

import "time"

// Tick performs the periodic work and returns the messages to send. Call it
// every TickInterval.
func (l *Limiter) Tick() []Envelope {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	envelopes := l.dueEpochPolls(now)
	envelopes = append(envelopes, l.propose(now)...)
	envelopes = append(envelopes, l.dueLoanRequests(now)...)
	envelopes = append(envelopes, l.dueRecalls(now)...)
	l.removeExpiredState(now)
	return envelopes
}

// removeExpiredState removes the ended outgoing loans of all limits. It
// deletes the limits that SetLimits removed, once no host can use a share of
// them any more.
func (l *Limiter) removeExpiredState(now instant) {
	for name, b := range l.buckets {
		b.removeEndedOutgoingLoans(now)
		if b.isRemoved && now.monotonic-b.removedAt > 2*loanRetention+b.limit.maxRequestDuration() {
			delete(l.buckets, name)
			delete(l.counts, name)
		}
	}
}

// Receive handles a message from another host and returns the messages to send
// in response.
func (l *Limiter) Receive(message Message) []Envelope {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	switch m := message.(type) {
	case EpochReport:
		return l.receiveEpochReport(m, now)
	case VoteRequest:
		return l.receiveVoteRequest(m)
	case Vote:
		l.receiveVote(m)
		return nil
	case LoanRequest:
		return l.receiveLoanRequest(m, now)
	case LoanResponse:
		return l.receiveLoanResponse(m, now)
	case LoanRecall:
		return l.receiveLoanRecall(m, now)
	default:
		return nil
	}
}

// ApplyAllocation applies an allocation read from the store. readStartedAt is a
// [Limiter.Timestamp] taken before the read started.
func (l *Limiter) ApplyAllocation(a Allocation, readStartedAt time.Duration) {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	if a.Epoch > l.epoch.allocation.Epoch {
		l.adoptAllocation(a, now)
	}
	if a.Epoch == l.epoch.allocation.Epoch {
		l.epoch.readAt = max(l.epoch.readAt, readStartedAt)
		l.recordConfirmation(readStartedAt)
	}
}

// Timestamp returns the limiter's clock, for [Limiter.ApplyAllocation].
func (l *Limiter) Timestamp() time.Duration {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	return now.withSuspend
}
