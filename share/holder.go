package share

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Limiter is one host's view of the limits. Set the exported fields before the
// first call. A Limiter is safe for use by several goroutines.
type Limiter struct {
	// Host is the name of the entry host.
	Host string
	// Incarnation tells the processes of a host apart; a later process has a
	// larger one. Zero means the nanoseconds of the clock at the first call.
	Incarnation uint64
	// SoleProcess says that every earlier process of the host has ended, which a
	// daemon knows when it could listen at the host's one address. Such a
	// process takes the place of its predecessor in the epoch. A false
	// statement can exceed the limits.
	SoleProcess bool
	// Clock is the source of time; nil means time.Now.
	Clock func() time.Time
	// Rand is the source of chance; nil means a random seed.
	Rand *rand.Rand

	mutex    sync.Mutex
	started  bool
	start    time.Time
	identity ProcessID
	buckets  map[string]*bucket
	// limits is the buckets in the order of the table.
	limits  []string
	live    []ProcessID
	leaving bool

	epoch    epochState
	peers    map[string]*peer
	proposal proposal
	vouched  []ProcessID
	sequence uint64
	counts   map[string]*LimitCounts
	totals   Totals
	// violations counts what must never happen.
	violations uint64
}

// open prepares a zero holder. The caller holds the mutex.
func (h *Limiter) open() {
	if h.started {
		return
	}
	h.started = true
	if h.Clock == nil {
		h.Clock = time.Now
	}
	if h.Rand == nil {
		h.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	h.start = h.Clock()
	if h.Incarnation == 0 {
		h.Incarnation = uint64(h.start.UnixNano())
	}
	h.identity = ProcessID{
		Host:        h.Host,
		Incarnation: h.Incarnation,
	}
	h.buckets = make(map[string]*bucket)
	h.peers = make(map[string]*peer)
	h.counts = make(map[string]*LimitCounts)
	h.epoch.confirmedAt = never
	h.epoch.readAt = never
	h.epoch.place = -1
}

// now reads the clock once for a whole decision.
func (h *Limiter) now() instant {
	t := h.Clock()
	slow := t.Sub(h.start)
	wall := t.Round(0).Sub(h.start.Round(0))
	return instant{
		slow: slow,
		fast: max(slow, wall),
	}
}

func (h *Limiter) lock() instant {
	h.mutex.Lock()
	h.open()
	return h.now()
}

// ProcessID returns the name of this process.
func (h *Limiter) ProcessID() ProcessID {
	h.lock()
	defer h.mutex.Unlock()
	return h.identity
}

// SetLimits takes the limits of the table in force. A limit that is new starts
// without tokens; one that the table dropped grants no more.
func (h *Limiter) SetLimits(limits []Limit) {
	now := h.lock()
	defer h.mutex.Unlock()
	named := make(map[string]struct{}, len(limits))
	h.limits = h.limits[:0]
	for _, limit := range limits {
		if _, twice := named[limit.Name]; twice {
			continue
		}
		named[limit.Name] = struct{}{}
		h.limits = append(h.limits, limit.Name)
		h.setLimit(limit, now)
	}
	for name, b := range h.buckets {
		if _, ok := named[name]; !ok && !b.gone {
			b.gone = true
			b.removed = now.slow
		}
	}
}

func (h *Limiter) setLimit(limit Limit, now instant) {
	b, ok := h.buckets[limit.Name]
	if !ok {
		b = &bucket{
			limit:  limit,
			filled: now.slow,
			demand: demand{
				updated: now.slow,
			},
		}
		h.buckets[limit.Name] = b
		h.place(b, now)
		return
	}
	confirmed := h.confirmed(now)
	b.settle(now, confirmed)
	b.gone = false
	b.limit = limit
	b.clip(b.usable(now, confirmed))
}

// place gives a new bucket its part of the epoch in force.
func (h *Limiter) place(b *bucket, now instant) {
	b.homes = h.epoch.homes.of(b.limit.Name)
	b.target = partOf(h.epoch.acting, b.homes)
	b.raise = h.epoch.adopted + h.epoch.wait + b.limit.overrun()
	if h.epoch.first || now.slow >= b.raise {
		b.part = b.target
	}
}

func partOf(identity ProcessID, homes []ProcessID) float64 {
	for _, home := range homes {
		if home == identity {
			return 1 / float64(len(homes))
		}
	}
	return 0
}

// SetLiveProcesses takes the processes that the fleet believes alive and not leaving.
// Only speed depends on it, never safety.
func (h *Limiter) SetLiveProcesses(live []ProcessID) {
	h.lock()
	defer h.mutex.Unlock()
	h.live = append(h.live[:0], live...)
}

// StartDraining makes the host start no new epoch. It still grants and lends until the
// hosts that stay have left it out of theirs.
func (h *Limiter) StartDraining() {
	h.lock()
	defer h.mutex.Unlock()
	h.leaving = true
}
