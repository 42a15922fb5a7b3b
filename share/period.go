package share

import "time"

// The periods are the same on all hosts; safety depends on that.
const (
	// ConfirmationTTL is how long a confirmation that an epoch is the newest lasts.
	ConfirmationTTL = 12 * time.Second
	// TickInterval is how often the daemon calls Holder.Tick.
	TickInterval = 250 * time.Millisecond
	// RefreshInterval is how often the daemon calls Keeper.Refresh.
	RefreshInterval = 2 * time.Second
	// EpochPollInterval is how often a host asks its deputy for a confirmation.
	EpochPollInterval = 2 * time.Second
	// MaxLoanDuration is the longest time that a loan lasts without renewal.
	MaxLoanDuration = 6 * time.Second
	// renewPeriod is the age at which a borrower renews a loan.
	renewPeriod = 2 * time.Second
	// askPeriod is the least time between two requests for one loan.
	askPeriod = 500 * time.Millisecond
	// staleRead is the age of a deputy's read of the store at which it asks the
	// other deputies.
	staleRead = RefreshInterval + RefreshInterval/2
	// exchangePeriod is how often a deputy that can't read the store asks the
	// other deputies.
	exchangePeriod = 3 * time.Second
	// staleBeat is the age at which a host looks for other confirmations.
	staleBeat = 9 * time.Second
	// proposalPeriod is how long a proposer waits for consents.
	proposalPeriod = 6 * time.Second
)

// clockMargin bounds how much the clocks of two hosts drift apart in one wait,
// as a share of the wait, plus the least wait.
const (
	clockDrift  = 50
	clockMargin = 100 * time.Millisecond
	// refill is the part of the rate at which tokens come back, so that a clock
	// that runs fast by half a percent gives no more than the rate.
	refill = 0.995
)

// outlast returns a wait on this host's clock that is longer than the period on
// any other host's clock.
func outlast(period time.Duration) time.Duration {
	return period + period/clockDrift + clockMargin
}

// instant is a reading of the clock as time since the holder's start.
type instant struct {
	// slow never runs ahead of the time passed; waits for others use it.
	slow time.Duration
	// fast counts the time that the machine was suspended too; the holder's own
	// rights end by it.
	fast time.Duration
}
