package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
)

// Node holds what one host knows of the fleet and decides which messages it
// sends. Its exported fields are set before first use; its methods are safe for
// concurrent use.
type Node struct {
	Self Host
	// Incarnation must be higher after each restart of the host. The wall clock in
	// milliseconds meets this as long as it is not set back.
	Incarnation uint64
	// Feeds are the feeds that the host replicates. All hosts of a fleet must set
	// the same feeds in the same order.
	Feeds    []Feed
	Settings Settings
	// Clock returns the current time. Nil means time.Now.
	Clock func() time.Time
	// Rand is the random source. Nil means one that is seeded with the
	// incarnation.
	Rand *rand.Rand
	// OnViolation, if set, is called when an invariant is violated. It must not
	// call methods of the node, which is locked meanwhile.
	OnViolation func(Violation)

	mu          sync.Mutex
	initialized bool
	settings    Settings
	// timeline starts at zero with the first use of the node and never goes back.
	// It also advances while the process or its machine is paused.
	timeline  elapsed.Accumulator
	startedAt time.Duration

	members map[string]*member
	index   index
	// recentlyChanged lists the members whose records changed recently, in order
	// of the change.
	recentlyChanged []*member
	feeds           []*feedView
	zones           map[string]*zoneState
	crashCounts     map[crashCountKey]crashCountEntry

	tickCount int
	lastTick  time.Duration
	// lastDegraded is the last time at which a confirmation was about to expire or
	// the store was unreachable.
	lastDegraded time.Duration
	// mismatchedSince is the time from which the hashes of all records of this
	// host and others differ.
	mismatchedSince time.Duration
	// consecutiveMatches is the number of statuses received in a row whose hash
	// equals this host's.
	consecutiveMatches int
	// lastRepair is the time of the last repair: a request to another host for the
	// records of the zones whose hash differs.
	lastRepair time.Duration
	// lastRepairChangedRecords is true if the last repair changed any record, and
	// before the first repair.
	lastRepairChangedRecords bool
	// remainingZones are the other zones not polled yet in the present round.
	remainingZones []string
	violationCount uint64
}

// member is a host's record and what this host has observed of it.
type member struct {
	MemberRecord
	// changedAt is the time at which the record last changed on this host.
	changedAt time.Duration
	// rendezvousHash and recordHash are computed from the record.
	rendezvousHash uint64
	recordHash     uint64
	// isListed is true if the last list of machines from the platform has the
	// host.
	isListed bool
	// lastTimestamp is the latest timestamp received from the host, to be echoed.
	lastTimestamp int64
	// pendingSince is the time at which the oldest unanswered poll was sent, or
	// noPendingPoll.
	pendingSince  time.Duration
	missedReplies int
	// lastContact is a lower bound of the time at which the host last sent a
	// message.
	lastContact time.Duration
	// lastOutage is a lower bound of the time at which the host was last known to
	// run without reaching the store.
	lastOutage time.Duration
}

// zoneState is what this host knows of a zone as a whole.
type zoneState struct {
	// lastContact is a lower bound of the time at which any host of the zone last
	// sent a message.
	lastContact time.Duration
	// lastOutage is a lower bound of the time at which all hosts of the zone were
	// last known to run without reaching the store.
	lastOutage time.Duration
}

// never is a time on the timeline before all others.
const never = time.Duration(-1) << 62

// isNever reports whether the time is never, or never minus an age.
func isNever(at time.Duration) bool { return at < never/2 }

// noPendingPoll is the value of pendingSince while no poll is unanswered.
const noPendingPoll = time.Duration(-1)

// Violation reports an invariant that did not hold, which is a fault of the
// program.
type Violation struct {
	// Invariant describes the condition that should have held.
	Invariant string
	Feed      string
}

// now returns the current time on the timeline. The first call initializes the
// node.
func (n *Node) now() time.Duration {
	clock := n.Clock
	if clock == nil {
		clock = time.Now
	}
	at := n.timeline.Update(clock())
	if !n.initialized {
		n.initialize(at)
	}
	return at
}

func (n *Node) initialize(now time.Duration) {
	n.initialized = true
	n.settings = n.Settings.withDefaults()
	n.startedAt = now
	n.lastTick = now
	n.lastDegraded = never
	n.lastRepair = never
	n.mismatchedSince = now
	n.lastRepairChangedRecords = true
	if n.Rand == nil {
		n.Rand = rand.New(rand.NewPCG(n.Incarnation, uint64(len(n.Self.Name))))
	}
	n.members = make(map[string]*member)
	n.index.byZone = make(map[string]*zoneIndex)
	n.zones = make(map[string]*zoneState)
	for _, feed := range n.Feeds {
		n.feeds = append(n.feeds, newFeedView(feed))
	}
	n.applyRecord(MemberRecord{
		Host:        n.Self,
		Incarnation: n.Incarnation,
	}, now)
}

// timestampAt converts a time on the timeline to a timestamp.
func (n *Node) timestampAt(at time.Duration) int64 {
	return int64(n.Incarnation) + at.Milliseconds()
}

// timeOfEcho converts an echoed timestamp back to a time on the timeline. ok is
// false if this process cannot have sent it.
func (n *Node) timeOfEcho(timestamp int64, now time.Duration) (at time.Duration, ok bool) {
	at = time.Duration(timestamp-int64(n.Incarnation)) * time.Millisecond
	return at, timestamp != 0 && at >= 0 && at <= now
}

// self returns the member that stands for this host.
func (n *Node) self() *member { return n.members[n.Self.Name] }

func (n *Node) reportViolation(invariant, feed string) {
	n.violationCount++
	if n.OnViolation == nil {
		return
	}
	n.OnViolation(Violation{
		Invariant: invariant,
		Feed:      feed,
	})
}
