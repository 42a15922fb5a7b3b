package share

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// leastDeputies is how many hosts confirm epochs for the others in a small
// fleet; in a large one deputyFactor times the square root of its size do.
const (
	leastDeputies = 7
	deputyFactor  = 0.6
)

// never is earlier than any time since the start.
const never time.Duration = math.MinInt64 / 4

// epochState is what the holder knows of the newest epoch.
type epochState struct {
	allocation Allocation
	// change is what it changed of the epoch before, if that was known.
	change *AllocationDelta
	homes  homes
	// deputies are the holders that read the store and confirm for the others.
	deputies []ProcessID
	// acting is the holder that this process is in this epoch: itself, or an
	// earlier process of the host that has ended. place is its place, or -1.
	acting ProcessID
	place  int
	// adopted is when this process learned of the epoch, and wait how long a
	// gain waits from then.
	adopted time.Duration
	wait    time.Duration
	// first says that no epoch came before.
	first bool
	// confirmedAt is when the epoch is known to have been the newest; readAt
	// is the same from this process's own read of the store.
	confirmedAt time.Duration
	readAt      time.Duration
	// pledges is when each holder is known to have promised no successor.
	// heard has only those that the holder told this process itself.
	pledges []time.Duration
	heard   []time.Duration
	// promises are the proposals that this process consented to.
	promises map[ProcessID]uint64
	// withdrawn are the newest proposals that were given up.
	withdrawn map[ProcessID]uint64
}

// confirmed says whether the holder may use its own parts.
func (h *Limiter) confirmed(now instant) bool {
	return h.confirmedFor(now) > 0
}

// confirmedFor is how long the confirmation still lasts.
func (h *Limiter) confirmedFor(now instant) time.Duration {
	if h.epoch.allocation.Epoch == 0 {
		return 0
	}
	return max(0, h.epoch.confirmedAt+ConfirmationTTL-now.fast)
}

// settled says whether all uses of earlier epochs have ended, so that another
// epoch may follow. No process can then be two epochs behind and still confirmed.
func (h *Limiter) settled(now instant) bool {
	return h.epoch.first || now.slow >= h.epoch.adopted+h.epoch.wait
}

// actingIn is the holder of the allocation that this process stands for. If it
// is the only process of its host, it takes the place of an earlier one, after
// the same wait as for any gain.
func (h *Limiter) actingIn(a Allocation) ProcessID {
	if !h.SoleProcess {
		return h.identity
	}
	place, found := slices.BinarySearchFunc(a.Members, h.identity, byHost)
	if found && a.Members[place].Incarnation < h.identity.Incarnation {
		return a.Members[place]
	}
	return h.identity
}

// adopt takes over a newer allocation.
func (h *Limiter) adopt(a Allocation, now instant) {
	confirmed := h.confirmed(now)
	acting := h.actingIn(a)
	change := changeOf(h.epoch.allocation, a)
	h.epoch = epochState{
		allocation:  a,
		change:      change,
		homes:       newHomes(a),
		deputies:    deputiesOf(a),
		acting:      acting,
		place:       a.index(acting),
		adopted:     now.slow,
		wait:        outlast(ConfirmationTTL),
		first:       a.Epoch == 1 && acting == h.identity,
		confirmedAt: never,
		readAt:      never,
		pledges:     slices.Repeat([]time.Duration{never}, len(a.Members)),
		heard:       slices.Repeat([]time.Duration{never}, len(a.Members)),
		promises:    make(map[ProcessID]uint64),
		withdrawn:   make(map[ProcessID]uint64),
	}
	if h.proposal.epoch <= a.Epoch {
		h.proposal = proposal{
			number: h.proposal.number,
		}
	}
	for _, b := range h.buckets {
		b.homes = h.epoch.homes.of(b.limit.Name)
		wait := h.epoch.wait + b.limit.overrun()
		if h.epoch.first {
			wait = 0
		}
		b.adopt(partOf(acting, b.homes), now, confirmed, wait)
	}
}

// deputiesOf picks the same few holders in every epoch, as far as they remain.
func deputiesOf(a Allocation) []ProcessID {
	number := max(leastDeputies, int(math.Ceil(deputyFactor*math.Sqrt(float64(len(a.Members))))))
	ranked := slices.Clone(a.Members)
	slices.SortStableFunc(ranked, func(x, y ProcessID) int {
		first, second := mix(xxhash.Sum64String(x.Host)), mix(xxhash.Sum64String(y.Host))
		if first < second {
			return -1
		}
		return 1
	})
	return ranked[:min(number, len(ranked))]
}

func (h *Limiter) isDeputy() bool { return slices.Contains(h.epoch.deputies, h.epoch.acting) }

// pledging says whether this process holds the epoch and promised no
// successor. It can't pledge for an earlier process, whose promises it does not
// know.
func (h *Limiter) pledging() bool {
	return h.epoch.place >= 0 && h.epoch.acting == h.identity && len(h.epoch.promises) == 0
}

// confirmAt records that the epoch was the newest at this time.
func (h *Limiter) confirmAt(at time.Duration) {
	h.epoch.confirmedAt = max(h.epoch.confirmedAt, at)
}

// countPledges takes the pledges together: the time at which enough holders had promised no successor
// is a confirmation.
func (h *Limiter) countPledges(now instant) {
	if h.epoch.allocation.Epoch == 0 {
		return
	}
	if h.pledging() {
		h.epoch.pledges[h.epoch.place] = now.fast
	}
	quorum := h.epoch.allocation.confirmQuorum()
	if len(h.epoch.pledges) < quorum {
		return
	}
	sorted := slices.Sorted(slices.Values(h.epoch.pledges))
	at := sorted[len(sorted)-quorum]
	if at != never {
		h.confirmAt(at)
	}
}
