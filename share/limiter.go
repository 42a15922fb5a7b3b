package share

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limiter enforces the limits on one host. Set the exported fields before the
// first call. A Limiter is safe for concurrent use.
type Limiter struct {
	// Host is the name of the entry host.
	Host string
	// Incarnation distinguishes the processes of one host. A later process must
	// have a larger one. Zero means the clock in nanoseconds at the first call.
	Incarnation uint64
	// SoleProcess says that every earlier process of the host has ended. A
	// daemon knows this once it listens on the host's only address. A sole
	// process takes the place of its predecessor in the epoch. If it is set
	// wrongly, grants can exceed the limits.
	SoleProcess bool
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
	// Rand is the source of randomness. Nil means a randomly seeded one.
	Rand *rand.Rand

	mutex       sync.Mutex
	initialized bool
	startTime   time.Time
	processID   ProcessID
	buckets     map[string]*bucket
	// limitNames has the names of the limits in the order passed to SetLimits.
	limitNames    []string
	liveProcesses []ProcessID
	draining      bool

	epoch         epochState
	peers         map[string]*peer
	proposal      proposal
	declaredEnded []ProcessID
	loanSequence  uint64
	counts        map[string]*LimitCounts
	totals        Totals
	// violations counts violated invariants.
	violations uint64
}

// initialize prepares a zero Limiter. The caller holds the mutex.
func (l *Limiter) initialize() {
	if l.initialized {
		return
	}
	l.initialized = true
	if l.Clock == nil {
		l.Clock = time.Now
	}
	if l.Rand == nil {
		l.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	l.startTime = l.Clock()
	if l.Incarnation == 0 {
		l.Incarnation = uint64(l.startTime.UnixNano())
	}
	l.processID = ProcessID{
		Host:        l.Host,
		Incarnation: l.Incarnation,
	}
	l.buckets = make(map[string]*bucket)
	l.peers = make(map[string]*peer)
	l.counts = make(map[string]*LimitCounts)
	l.epoch.confirmedAt = never
	l.epoch.readAt = never
	l.epoch.memberIndex = -1
}

// readClock reads the clock. It is called once for each operation.
func (l *Limiter) readClock() instant {
	t := l.Clock()
	monotonic := t.Sub(l.startTime)
	wall := t.Round(0).Sub(l.startTime.Round(0))
	return instant{
		monotonic:   monotonic,
		withSuspend: max(monotonic, wall),
	}
}

func (l *Limiter) lockAndReadClock() instant {
	l.mutex.Lock()
	l.initialize()
	return l.readClock()
}

// ProcessID returns the ID of this process.
func (l *Limiter) ProcessID() ProcessID {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	return l.processID
}

// SetLimits replaces the limits. A new rate starts without tokens, and a limit
// that is missing from the list grants nothing any more.
func (l *Limiter) SetLimits(limits []Limit) {
	now := l.lockAndReadClock()
	defer l.mutex.Unlock()
	names := make(map[string]struct{}, len(limits))
	l.limitNames = l.limitNames[:0]
	for _, limit := range limits {
		if _, duplicate := names[limit.Name]; duplicate {
			continue
		}
		names[limit.Name] = struct{}{}
		l.limitNames = append(l.limitNames, limit.Name)
		l.setLimit(limit, now)
	}
	for name, b := range l.buckets {
		if _, ok := names[name]; !ok && !b.isRemoved {
			b.isRemoved = true
			b.removedAt = now.monotonic
		}
	}
}

func (l *Limiter) setLimit(limit Limit, now instant) {
	b, ok := l.buckets[limit.Name]
	if !ok {
		b = &bucket{
			limit:      limit,
			refilledAt: now.monotonic,
			demand: demandEstimator{
				updatedAt: now.monotonic,
			},
		}
		l.buckets[limit.Name] = b
		l.setInitialShare(b, now)
		return
	}
	confirmed := l.isConfirmed(now)
	b.advance(now, confirmed)
	b.isRemoved = false
	b.limit = limit
	b.capTokens(b.usableShare(now, confirmed))
}

// setInitialShare gives a new bucket its share in the current epoch.
func (l *Limiter) setInitialShare(b *bucket, now instant) {
	b.owners = l.epoch.owners.ownersOf(b.limit.Name)
	b.targetShare = shareOf(l.epoch.member, b.owners)
	b.shareIncreaseAt = l.epoch.adoptedAt + l.epoch.shareIncreaseDelay + b.limit.maxRequestDuration()
	if l.epoch.startsImmediately || now.monotonic >= b.shareIncreaseAt {
		b.ownShare = b.targetShare
	}
}

func shareOf(id ProcessID, owners []ProcessID) float64 {
	for _, owner := range owners {
		if owner == id {
			return 1 / float64(len(owners))
		}
	}
	return 0
}

// SetLiveProcesses sets the processes that the membership protocol reports as
// alive and not draining. A wrong list slows the change of epochs and loans
// down, but never lets grants exceed a limit.
func (l *Limiter) SetLiveProcesses(live []ProcessID) {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	l.liveProcesses = append(l.liveProcesses[:0], live...)
}

// StartDraining stops this host from proposing epochs. It still grants and
// lends until the remaining hosts have left it out of a new epoch.
func (l *Limiter) StartDraining() {
	l.lockAndReadClock()
	defer l.mutex.Unlock()
	l.draining = true
}
