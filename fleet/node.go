package fleet

import (
	"math/rand/v2"
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
)

// Node is one host's part in the fleet. Its exported fields are set before
// first use; its methods are safe for concurrent use.
type Node struct {
	Self Host
	// Incarnation grows with each start of the host: the wall clock in
	// milliseconds does.
	Incarnation uint64
	// Feeds are what the fleet follows in the store, the same and in the same
	// order on all hosts.
	Feeds    []Feed
	Settings Settings
	// Clock is nil for time.Now.
	Clock func() time.Time
	// Rand is nil for a source seeded by the incarnation.
	Rand *rand.Rand
	// OnViolation, if set, is called when an invariant doesn't hold. It must
	// not call the node.
	OnViolation func(Violation)

	mu       sync.Mutex
	set      bool
	settings Settings
	line     elapsed.Accumulator
	started  time.Duration

	members map[string]*member
	index   index
	// changed has the members whose records changed of late, the latest last.
	changed []*member
	feeds   []*feed
	zones   map[string]*zoneView
	notices map[noticeKey]noticeEntry

	ticks      int
	lastTick   time.Duration
	troubled   time.Duration
	mismatched time.Duration
	// matches counts the hosts in a row that agreed on the records.
	matches  int
	repaired time.Duration
	// gained tells whether the last repair brought news.
	gained     bool
	cycle      []string
	violations uint64
}

// member is a record and what this host itself has seen of the host.
type member struct {
	MemberRecord
	// learned is when the record last changed here.
	learned time.Duration
	// rank and hash are derived from the record.
	rank uint64
	hash uint64
	// listed tells whether the platform's list, as last seen, has the host.
	listed bool
	// stamp is the last one received, to echo.
	stamp int64
	// pending is when the oldest unanswered poll went out, negative for none.
	pending time.Duration
	misses  int
	// heard is a time after which the host is known to have answered.
	heard time.Duration
	// cutOff is a time after which the host is known not to have reached the
	// store.
	cutOff time.Duration
}

// zoneView is what is known of a zone as a whole.
type zoneView struct {
	// heard is a time after which some host of the zone answered.
	heard time.Duration
	// cutOff is a time after which each host of the zone answered and none
	// reached the store.
	cutOff time.Duration
}

// never is a time on the timeline before all others.
const never = time.Duration(-1) << 62

// isNever tells whether the time stands for never, ages taken off included.
func isNever(at time.Duration) bool { return at < never/2 }

// noPoll marks a member that owes no answer.
const noPoll = time.Duration(-1)

// Violation is an invariant that did not hold.
type Violation struct {
	// Invariant says what should have held.
	Invariant string
	Feed      string
}

// now sets the node up at its first use and returns the time on the timeline.
func (n *Node) now() time.Duration {
	clock := n.Clock
	if clock == nil {
		clock = time.Now
	}
	at := n.line.Update(clock())
	if !n.set {
		n.setUp(at)
	}
	return at
}

func (n *Node) setUp(now time.Duration) {
	n.set = true
	n.settings = n.Settings.withDefaults()
	n.started = now
	n.lastTick = now
	n.troubled = never
	n.repaired = never
	n.mismatched = now
	n.gained = true
	if n.Rand == nil {
		n.Rand = rand.New(rand.NewPCG(n.Incarnation, uint64(len(n.Self.Name))))
	}
	n.members = make(map[string]*member)
	n.index.byZone = make(map[string]*zoneIndex)
	n.zones = make(map[string]*zoneView)
	for _, source := range n.Feeds {
		n.feeds = append(n.feeds, newFeed(source))
	}
	n.adopt(MemberRecord{
		Host:        n.Self,
		Incarnation: n.Incarnation,
	}, now)
}

// stampAt writes a time of the timeline as a stamp.
func (n *Node) stampAt(at time.Duration) int64 {
	return int64(n.Incarnation) + at.Milliseconds()
}

// timeOf reads an echoed stamp of this incarnation back; ok is false for any
// other.
func (n *Node) timeOf(stamp int64, now time.Duration) (at time.Duration, ok bool) {
	at = time.Duration(stamp-int64(n.Incarnation)) * time.Millisecond
	return at, stamp != 0 && at >= 0 && at <= now
}

// self returns this host's own record.
func (n *Node) self() *member { return n.members[n.Self.Name] }

func (n *Node) violate(invariant, feed string) {
	n.violations++
	if n.OnViolation == nil {
		return
	}
	n.OnViolation(Violation{
		Invariant: invariant,
		Feed:      feed,
	})
}
