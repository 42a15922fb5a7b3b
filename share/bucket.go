package share

import (
	"math"
	"time"
)

// bucket is the state of one limit on one host. Shares are fractions of the
// whole limit. A host's share applies to the rate and to the burst alike, so
// the tokens on all hosts together never exceed the burst.
type bucket struct {
	limit Limit
	// tokens is the number of tokens left of a rate, slotsInUse the number of
	// slots in use.
	tokens     float64
	slotsInUse float64
	// refilledAt is the time up to which tokens have been added.
	refilledAt time.Duration
	// ownShare is the share that the host may use as an owner of the limit.
	// targetShare is its share in the newest epoch. If that is larger, it
	// becomes the own share at shareIncreaseAt.
	ownShare        float64
	targetShare     float64
	shareIncreaseAt time.Duration
	// owners are the processes that own the limit in the newest epoch.
	owners []ProcessID
	// removedAt is when SetLimits removed the limit, if isRemoved is set.
	removedAt time.Duration
	isRemoved bool
	// generation changes when tokens granted earlier can no longer be returned.
	// returnedTokens counts the tokens returned in this generation.
	generation     uint64
	returnedTokens float64

	outgoing []*outgoingLoan
	incoming []*incomingLoan
	demand   demandEstimator
}

// outgoingLoan is a share of a limit lent to another host.
type outgoingLoan struct {
	borrower ProcessID
	// lender is the member that the borrower addressed, which may be an earlier
	// process of this host. The borrower keeps a separate loan for each.
	lender   ProcessID
	sequence uint64
	// wanted is the whole share that the borrower wants from this lender.
	wanted    float64
	share     float64
	expiresAt time.Duration
	// previousShare is the share that the borrower kept when it sent its last
	// request. The borrower may use it until previousExpiresAt.
	previousShare     float64
	previousExpiresAt time.Duration
	// recalledAt is when the borrower was last asked to return the share.
	recalledAt time.Duration
}

// outstandingShare returns the share that the borrower may still be using.
func (loan *outgoingLoan) outstandingShare(now instant) float64 {
	share := 0.0
	if now.monotonic < loan.expiresAt {
		share = loan.share
	}
	if now.monotonic < loan.previousExpiresAt {
		share = max(share, loan.previousShare)
	}
	return share
}

// incomingLoan is a share of a limit borrowed from another host.
type incomingLoan struct {
	lender    ProcessID
	share     float64
	expiresAt time.Duration
	// peakShare is the largest size of this loan since the slots in use last
	// fitted into the usable share with the loan at its reduced size. Until
	// they fit again, running requests may still be using it.
	peakShare float64
	// requestedAt is when the last request was sent, sequence its number, and
	// awaitingResponse whether its response is still to come.
	requestedAt      time.Duration
	sequence         uint64
	awaitingResponse bool
	// reduced says that the last response made the share smaller. The lender
	// may use the difference only once it knows that the response arrived.
	reduced bool
	// recalled says that the lender asked for the share back. reductionAckedAt
	// is when this host last acknowledged a smaller share to the lender with an
	// immediate request.
	recalled         bool
	reductionAckedAt time.Duration
	// wanted is the whole share requested from this lender.
	wanted float64
}

// advance adds the tokens for the time since the last call. A share that
// expired in that time counts as gone for all of it, an increase of the share
// counts from its time.
func (b *bucket) advance(now instant, confirmed bool) {
	for next := b.nextShareIncrease(now.monotonic); next < now.monotonic; next = b.nextShareIncrease(now.monotonic) {
		b.refillUntil(next, now, confirmed)
	}
	b.refillUntil(now.monotonic, now, confirmed)
}

// nextShareIncrease returns when the next lent share returns or the target
// share of a new epoch takes effect, but at most end.
func (b *bucket) nextShareIncrease(end time.Duration) time.Duration {
	next := end
	if b.shareIncreaseAt > b.refilledAt {
		next = min(next, b.shareIncreaseAt)
	}
	for _, loan := range b.outgoing {
		if loan.expiresAt > b.refilledAt {
			next = min(next, loan.expiresAt)
		}
		if loan.previousExpiresAt > b.refilledAt {
			next = min(next, loan.previousExpiresAt)
		}
	}
	return next
}

// refillUntil adds the tokens for the time up to end, in which the share did
// not grow. If end reaches shareIncreaseAt, the target share becomes the own
// share.
func (b *bucket) refillUntil(end time.Duration, now instant, confirmed bool) {
	start := instant{
		monotonic:   b.refilledAt,
		withSuspend: now.withSuspend,
	}
	share := b.usableShare(start, confirmed)
	elapsed := max(0, end-b.refilledAt)
	b.refilledAt = end
	b.tokens += share * b.limit.refillRate() * refillFactor * elapsed.Seconds()
	b.capTokens(share)
	if b.refilledAt >= b.shareIncreaseAt {
		b.ownShare = b.targetShare
	}
}

// capTokens drops the tokens above the share of the burst. If the bucket is
// more than half full, it starts a new generation, so that earlier grants can
// no longer be returned.
func (b *bucket) capTokens(share float64) {
	maxTokens := share * b.limit.capacity()
	if b.tokens > maxTokens/2 {
		b.startGeneration()
	}
	b.tokens = min(b.tokens, maxTokens)
}

// startGeneration makes earlier grants unreturnable. See returnTokens for the
// reason.
func (b *bucket) startGeneration() {
	b.generation++
	b.returnedTokens = 0
}

// unlentShare returns the host's own share less what it has lent, or zero if
// the host has no confirmation.
func (b *bucket) unlentShare(now instant, confirmed bool) float64 {
	if !confirmed {
		return 0
	}
	return max(0, b.ownShare-b.lentShare(now))
}

func (b *bucket) lentShare(now instant) float64 {
	sum := 0.0
	for _, loan := range b.outgoing {
		sum += loan.outstandingShare(now)
	}
	return sum
}

func (b *bucket) borrowedShare(now instant) float64 {
	sum := 0.0
	for _, loan := range b.incoming {
		if now.withSuspend < loan.expiresAt {
			sum += loan.share
		}
	}
	return sum
}

// usableShare returns the share of the limit that this host may use.
func (b *bucket) usableShare(now instant, confirmed bool) float64 {
	return b.unlentShare(now, confirmed) + b.borrowedShare(now)
}

// available returns how many tokens or slots can be granted now.
func (b *bucket) available(now instant, confirmed bool) float64 {
	switch b.limit.Kind.(type) {
	case Slots:
		return b.usableShare(now, confirmed)*b.limit.capacity() - b.slotsInUse
	default:
		return b.tokens
	}
}

// acquire grants the count, or returns how long it takes until enough tokens
// are refilled, but at most ConfirmationTTL. For slots, and while the host has
// no usable share, that time is not known and acquire returns
// EpochPollInterval.
func (b *bucket) acquire(count float64, now instant, confirmed bool) (time.Duration, bool) {
	available := b.available(now, confirmed)
	if available+roundingTolerance >= count {
		b.consume(count)
		return 0, true
	}
	rate := b.usableShare(now, confirmed) * b.limit.refillRate() * refillFactor
	if rate <= 0 {
		return EpochPollInterval, false
	}
	seconds := math.Min((count-available)/rate, ConfirmationTTL.Seconds())
	return time.Duration(seconds * float64(time.Second)), false
}

// roundingTolerance, in requests, absorbs rounding errors in sums of fractions.
const roundingTolerance = 1e-9

func (b *bucket) consume(count float64) {
	if _, ok := b.limit.Kind.(Slots); ok {
		b.slotsInUse += count
		return
	}
	b.tokens = max(0, b.tokens-count)
}

// returnTokens puts back unused tokens granted in this generation and returns
// how many it accepted.
//
// Returning must have the same effect as if the tokens had never been granted.
// That holds as long as the bucket, with the returned tokens added, would not
// have overflowed since the grant. In one generation the bucket is at most half
// full, and at most half a bucket is returned, so it would not. Without this
// rule, refilled tokens might already replace the returned ones, and a burst
// could exceed the limit.
func (b *bucket) returnTokens(count float64, share float64) float64 {
	maxTokens := share * b.limit.capacity()
	accepted := max(0, min(count, maxTokens/2-b.returnedTokens, maxTokens-b.tokens))
	b.returnedTokens += accepted
	b.tokens += accepted
	return accepted
}

// setTargetShare sets the share of a new epoch. A smaller share applies at
// once, a larger one after shareIncreaseDelay, and at once if that is zero. If
// the host had no confirmation, its own share drops to zero until then. The
// tokens are capped as if the new epoch were confirmed, because its
// confirmation is recorded only after this call.
func (b *bucket) setTargetShare(share float64, now instant, confirmed bool, shareIncreaseDelay time.Duration) {
	b.advance(now, confirmed)
	if !confirmed {
		b.ownShare = 0
	}
	b.targetShare = share
	b.shareIncreaseAt = now.monotonic
	if share > b.ownShare {
		b.shareIncreaseAt = now.monotonic + shareIncreaseDelay
	}
	b.ownShare = min(b.ownShare, share)
	if shareIncreaseDelay == 0 {
		b.ownShare = share
	}
	b.capTokens(b.usableShare(now, true))
}
