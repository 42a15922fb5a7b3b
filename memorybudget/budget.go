package memorybudget

import (
	"net/netip"
	"sync"
	"time"
)

const (
	// DefaultLimit is the limit of a budget for which none is set, in bytes.
	DefaultLimit = 64 << 20
	// Window is the time over which progress is measured. It is longer than a round trip between regions and a repeated
	// packet, and shorter than the time that most callers wait for a response.
	Window = time.Second
	// MinRate is the progress in bytes per second below which a holding is slow.
	MinRate = 8 << 10
	// MaxWait is how long a reservation waits. It is longer than Window, so that stalled holdings are
	// evicted before.
	MaxWait = 3 * Window / 2
	// reviewInterval is the time between two reviews while reservations wait.
	reviewInterval = Window / 10
)

// Class is what a reservation is for. It determines how much of the budget may be in use after it.
type Class int

// The classes. Each may use what the ones after it may, and more.
const (
	// ResponseStart is the first [ResponseStartBytes] of a response. It waits until its context ends.
	ResponseStart Class = iota
	// ResponseRest is the rest of a response.
	ResponseRest
	// ShortUpload is a request body of up to [ShortUploadBytes], and the start of one whose length is not known.
	ShortUpload
	// LongUpload is any other request body.
	LongUpload
	classCount
)

const (
	// ResponseStartBytes is the part of each response that is in the class ResponseStart.
	ResponseStartBytes = 128 << 10
	// ShortUploadBytes is the size of the longest body in the class ShortUpload.
	ShortUploadBytes = 8 << 10
)

// eighths is the part of the limit that each class may fill.
var eighths = [classCount]int64{8, 7, 6, 5}

// Group is whom holdings are for.
type Group struct {
	// Caller is the address of the caller, or the network of one that has many addresses.
	Caller netip.Addr
	Team   string
}

// callerNetworkBits is the length of the prefix of IPv6 addresses that one caller usually has for itself.
const callerNetworkBits = 64

// NewGroup returns the group of a caller and its team. IPv6 addresses of one network of 64 bits are one caller.
func NewGroup(caller netip.Addr, team string) Group {
	caller = caller.Unmap().WithZone("")
	if caller.Is6() {
		// The length is valid for all IPv6 addresses.
		network, _ := caller.Prefix(callerNetworkBits)
		caller = network.Addr()
	}
	return Group{
		Caller: caller,
		Team:   team,
	}
}

// Budget is the memory budget of a host. The zero value is ready for use; it is safe for concurrent use.
type Budget struct {
	// Clock returns the current time; [time.Now] if nil.
	Clock func() time.Time

	mu sync.Mutex
	// limit is zero if none was set.
	limit int64
	used  int64
	// leaving is the part of used that evicted holdings have not released yet.
	leaving int64
	groups  map[Group]*group
	// queues holds the reservations that wait, by class; the most urgent first, and among equals the oldest.
	queues [classCount][]*reservation
	// lastReview is when holdings to evict were last looked for.
	lastReview time.Time
	// isReviewDue is true while a timer for the next review runs.
	isReviewDue bool
}

// group is what the holdings of a Group have in common.
type group struct {
	id      Group
	used    int64
	leaving int64
	// first is the start of the list of its holdings. A map would cost each request an allocation.
	first *Holding
}

func (g *group) add(h *Holding) {
	h.group, h.next = g, g.first
	if g.first != nil {
		g.first.previous = h
	}
	g.first = h
}

func (g *group) remove(h *Holding) {
	if h.previous == nil {
		g.first = h.next
	} else {
		h.previous.next = h.next
	}
	if h.next != nil {
		h.next.previous = h.previous
	}
	h.previous, h.next = nil, nil
}

// staying returns how many bytes the group will hold when its evicted holdings are gone.
func (g *group) staying() int64 { return g.used - g.leaving }

// SetLimit sets the limit in bytes; zero sets [DefaultLimit]. If more is in use, nothing is reserved until
// enough has been released.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.grant()
}

// Usage is the state of a budget.
type Usage struct {
	// Limit and Used are in bytes.
	Limit int64
	Used  int64
	// Waiting is the number of reservations that wait.
	Waiting int
	// Largest is the group that holds the most, and LargestUsed how much that is.
	Largest     Group
	LargestUsed int64
}

// Usage returns the current state.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	usage := Usage{
		Limit:   b.limitOrDefault(),
		Used:    b.used,
		Waiting: b.waiting(),
	}
	for _, g := range b.groups {
		if g.used > usage.LargestUsed {
			usage.Largest, usage.LargestUsed = g.id, g.used
		}
	}
	return usage
}

func (b *Budget) waiting() int {
	waiting := 0
	for _, queue := range b.queues {
		waiting += len(queue)
	}
	return waiting
}

func (b *Budget) limitOrDefault() int64 {
	if b.limit == 0 {
		return DefaultLimit
	}
	return b.limit
}

// ceiling returns how much may be in use after a reservation of the class.
func (b *Budget) ceiling(class Class) int64 {
	return b.limitOrDefault() / 8 * eighths[class]
}

func (b *Budget) now() time.Time {
	if b.Clock == nil {
		return time.Now()
	}
	return b.Clock()
}
