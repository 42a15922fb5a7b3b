package globallimit

import "time"

// All hosts must use the same periods, or grants can exceed the limits.
const (
	// ConfirmationTTL is how long a host may rely on the fact that its epoch
	// was the newest.
	ConfirmationTTL = 12 * time.Second
	// TickInterval is how often the daemon calls Limiter.Tick.
	TickInterval = 250 * time.Millisecond
	// RefreshInterval is how often a host that reads the store reads it, and
	// the shortest time between two writes.
	RefreshInterval = 2 * time.Second
	// EpochPollInterval is how often a host asks its store reader to confirm
	// the epoch. Store readers are described in the package comment.
	EpochPollInterval = 2 * time.Second
	// MaxLoanDuration is the longest duration of a loan without renewal.
	MaxLoanDuration = 6 * time.Second
	// loanRenewInterval is the age at which a borrower renews a loan.
	loanRenewInterval = 2 * time.Second
	// minLoanRequestInterval is the shortest time between two requests for one
	// loan, except after a recall and to acknowledge a reduced share.
	minLoanRequestInterval = 500 * time.Millisecond
	// staleReadAge is the age of a store reader's last read at which it starts
	// to ask the other store readers.
	staleReadAge = RefreshInterval + RefreshInterval/2
	// storeReaderPollInterval is how often a store reader that can't read the
	// store asks the other store readers.
	storeReaderPollInterval = 3 * time.Second
	// staleConfirmationAge is the age of a confirmation at which a host asks
	// further hosts and reads the store.
	staleConfirmationAge = 9 * time.Second
	// proposalTimeout is how long a proposer waits for votes.
	proposalTimeout = 6 * time.Second
)

const (
	// Clocks of two hosts are assumed to drift apart by less than two percent.
	// withClockMargin lengthens a wait by 1/clockDriftDivisor of it plus
	// fixedClockMargin, which together exceed the drift during the wait.
	clockDriftDivisor = 50
	fixedClockMargin  = 100 * time.Millisecond
	// refillFactor is the fraction of the rate at which tokens are added, so
	// that a clock that runs up to half a percent fast adds no more than the
	// rate.
	refillFactor = 0.995
)

// withClockMargin returns a wait on this host's clock that is longer than the
// period on any other host's clock.
func withClockMargin(period time.Duration) time.Duration {
	return period + period/clockDriftDivisor + fixedClockMargin
}

// instant is a clock reading, as time since the first use of the limiter.
type instant struct {
	// monotonic does not include time during which the machine was suspended,
	// so it never runs ahead of the time that has passed. It is used to wait
	// until something has expired on another host.
	monotonic time.Duration
	// withSuspend includes time during which the machine was suspended. It is
	// used to expire this host's own confirmation and the loans that it
	// borrowed.
	withSuspend time.Duration
}
