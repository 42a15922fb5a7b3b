package share

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The number of store readers is storeReaderFactor times the square root of the
// number of members, but at least minStoreReaders. Store readers confirm the
// epoch for the other hosts.
const (
	minStoreReaders   = 7
	storeReaderFactor = 0.6
)

// never is earlier than any clock reading.
const never time.Duration = math.MinInt64 / 4

// epochState is what a limiter knows about the newest epoch.
type epochState struct {
	allocation Allocation
	// delta is the difference from the epoch before, or nil if that is not
	// known.
	delta  *AllocationDelta
	owners ownerPicker
	// storeReaders are the members that read the store and confirm the epoch
	// for the others.
	storeReaders []ProcessID
	// member is the member that this process acts as: itself, or an earlier
	// process of its host that has ended. memberIndex is the position of member
	// in the allocation, or -1.
	member      ProcessID
	memberIndex int
	// adoptedAt is when this process learned of the epoch. shareIncreaseDelay
	// is how long it waits from then on before it uses a larger share.
	adoptedAt          time.Duration
	shareIncreaseDelay time.Duration
	// startsImmediately says that shares apply at once, because no process can
	// have used one before. It is set in epoch 1, unless this process acts as
	// an earlier process of its host.
	startsImmediately bool
	// confirmedAt is the latest time at which the epoch is known to have been
	// the newest. readAt is the same, but only from this process's own reads of
	// the store.
	confirmedAt time.Duration
	readAt      time.Duration
	// supportedAt has, for each member, the latest time at which it is known to
	// have supported the epoch. directSupportAt has only the support that the
	// member reported to this process itself.
	supportedAt     []time.Duration
	directSupportAt []time.Duration
	// votesCast has the newest proposal of each proposer that this process
	// voted for. It may vote for several competing proposals.
	votesCast map[ProcessID]uint64
	// withdrawnProposals has the newest withdrawn proposal of each proposer.
	withdrawnProposals map[ProcessID]uint64
}

// isConfirmed reports whether the limiter may use its own shares.
func (l *Limiter) isConfirmed(now instant) bool {
	return l.confirmationLeft(now) > 0
}

// confirmationLeft returns how long the confirmation remains valid.
func (l *Limiter) confirmationLeft(now instant) time.Duration {
	if l.epoch.allocation.Epoch == 0 {
		return 0
	}
	return max(0, l.epoch.confirmedAt+ConfirmationTTL-now.withSuspend)
}

// earlierEpochsExpired reports whether no process can use a share of an earlier
// epoch any more, so that the next epoch may follow. No process can then be two
// epochs behind and still have a valid confirmation.
func (l *Limiter) earlierEpochsExpired(now instant) bool {
	return l.epoch.startsImmediately || now.monotonic >= l.epoch.adoptedAt+l.epoch.shareIncreaseDelay
}

// memberFor returns the member of the allocation that this process acts as. The
// sole process of a host takes the place of an earlier one, after the same
// delay as for any larger share.
func (l *Limiter) memberFor(a Allocation) ProcessID {
	if !l.SoleProcess {
		return l.processID
	}
	i, found := slices.BinarySearchFunc(a.Members, l.processID, compareHosts)
	if found && a.Members[i].Incarnation < l.processID.Incarnation {
		return a.Members[i]
	}
	return l.processID
}

// adoptAllocation switches to a newer allocation.
func (l *Limiter) adoptAllocation(a Allocation, now instant) {
	confirmed := l.isConfirmed(now)
	member := l.memberFor(a)
	delta := deltaBetween(l.epoch.allocation, a)
	l.epoch = epochState{
		allocation:         a,
		delta:              delta,
		owners:             newOwnerPicker(a),
		storeReaders:       selectStoreReaders(a),
		member:             member,
		memberIndex:        a.index(member),
		adoptedAt:          now.monotonic,
		shareIncreaseDelay: withClockMargin(ConfirmationTTL),
		startsImmediately:  a.Epoch == 1 && member == l.processID,
		confirmedAt:        never,
		readAt:             never,
		supportedAt:        slices.Repeat([]time.Duration{never}, len(a.Members)),
		directSupportAt:    slices.Repeat([]time.Duration{never}, len(a.Members)),
		votesCast:          make(map[ProcessID]uint64),
		withdrawnProposals: make(map[ProcessID]uint64),
	}
	if l.proposal.epoch <= a.Epoch {
		l.proposal = proposal{
			number: l.proposal.number,
		}
	}
	for _, b := range l.buckets {
		b.owners = l.epoch.owners.ownersOf(b.limit.Name)
		shareIncreaseDelay := l.epoch.shareIncreaseDelay + b.limit.maxRequestDuration()
		if l.epoch.startsImmediately {
			shareIncreaseDelay = 0
		}
		b.setTargetShare(shareOf(member, b.owners), now, confirmed, shareIncreaseDelay)
	}
}

// selectStoreReaders picks the store readers by a hash of the host name, so
// that they stay the same from epoch to epoch as long as they are members.
func selectStoreReaders(a Allocation) []ProcessID {
	count := max(minStoreReaders, int(math.Ceil(storeReaderFactor*math.Sqrt(float64(len(a.Members))))))
	ranked := slices.Clone(a.Members)
	slices.SortStableFunc(ranked, func(x, y ProcessID) int {
		hashX, hashY := mixBits(xxhash.Sum64String(x.Host)), mixBits(xxhash.Sum64String(y.Host))
		if hashX < hashY {
			return -1
		}
		return 1
	})
	return ranked[:min(count, len(ranked))]
}

func (l *Limiter) isStoreReader() bool { return slices.Contains(l.epoch.storeReaders, l.epoch.member) }

// supportsEpoch reports whether this process is a member and has not voted for
// a successor of the epoch. A process that acts as an earlier one never
// supports the epoch, because it does not know how the earlier one voted.
func (l *Limiter) supportsEpoch() bool {
	return l.epoch.memberIndex >= 0 && l.epoch.member == l.processID && len(l.epoch.votesCast) == 0
}

// recordConfirmation records that the epoch was the newest at the given time.
func (l *Limiter) recordConfirmation(at time.Duration) {
	l.epoch.confirmedAt = max(l.epoch.confirmedAt, at)
}

// confirmFromSupport confirms the epoch as of the latest time at which a quorum
// of members supported it.
func (l *Limiter) confirmFromSupport(now instant) {
	if l.epoch.allocation.Epoch == 0 {
		return
	}
	if l.supportsEpoch() {
		l.epoch.supportedAt[l.epoch.memberIndex] = now.withSuspend
	}
	quorum := l.epoch.allocation.supportQuorum()
	if len(l.epoch.supportedAt) < quorum {
		return
	}
	sorted := slices.Sorted(slices.Values(l.epoch.supportedAt))
	at := sorted[len(sorted)-quorum]
	if at != never {
		l.recordConfirmation(at)
	}
}
