package connection

import (
	"cmp"
	"container/heap"
	"net/netip"
	"slices"
	"time"
)

// Phase is what a connection waits for. Those with lower phases are closed first, since their callers lose less.
type Phase int

const (
	// Closing is the phase of a connection whose last answer has arrived, and that waits until its caller closes it.
	Closing Phase = iota
	// Idle connections wait for the next request.
	Idle
	// InHeader is the phase from the first byte, or from the opening of the connection, until the header is complete.
	InHeader
	// InBody is the phase of a request whose body is being read, and for which no backend server is sought yet.
	InBody
	// Serving connections are not closed for others: their requests may run, or answers are on their way.
	Serving
)

// QuietTime is how long a connection must have made no progress so that it is closed before those that have. It
// spares the connections that callers are using while a crowd opens others.
const QuietTime = time.Second

// Candidate is a connection that may be closed for another one.
type Candidate struct {
	Caller netip.Addr
	Phase  Phase
	// ProgressAt is when the phase began, or for a body when the last bytes arrived.
	ProgressAt time.Time
}

// SelectEvicted returns the indexes of up to count candidates that are to be closed. The caller address with the most
// connections comes first, and among its connections those without progress for [QuietTime], by phase and then by the time
// of their progress. The others follow by time, with bodies that arrive at the end.
func SelectEvicted(now time.Time, candidates []Candidate, count int) []int {
	groups := &groupHeap{
		now:        now,
		candidates: candidates,
		groups:     groupByCaller(now, candidates),
	}
	heap.Init(groups)
	var selected []int
	for len(selected) < count && groups.Len() > 0 {
		first := &groups.groups[0]
		selected = append(selected, first.evictable[0])
		first.evictable = first.evictable[1:]
		first.size--
		if len(first.evictable) == 0 {
			heap.Pop(groups)
			continue
		}
		heap.Fix(groups, 0)
	}
	return selected
}

// group holds the connections of a caller address.
type group struct {
	// size is the number of connections, and evictable holds the indexes of those that may be closed, in the order in
	// which they are.
	size      int
	evictable []int
}

// groupHeap is a heap of groups by which loses its next connection first.
type groupHeap struct {
	now        time.Time
	candidates []Candidate
	groups     []group
}

func (h *groupHeap) Len() int      { return len(h.groups) }
func (h *groupHeap) Swap(i, j int) { h.groups[i], h.groups[j] = h.groups[j], h.groups[i] }
func (h *groupHeap) Push(g any)    { h.groups = append(h.groups, g.(group)) }

func (h *groupHeap) Less(i, j int) bool {
	a, b := h.groups[i], h.groups[j]
	if a.size != b.size {
		return a.size > b.size
	}
	return compareCandidates(h.now, h.candidates[a.evictable[0]], h.candidates[b.evictable[0]]) < 0
}

func (h *groupHeap) Pop() any {
	last := h.groups[len(h.groups)-1]
	h.groups = h.groups[:len(h.groups)-1]
	return last
}

// groupByCaller returns the connections of each caller address that has some that may be closed.
func groupByCaller(now time.Time, candidates []Candidate) []group {
	indexes := make(map[netip.Addr]int)
	var groups []group
	for i, c := range candidates {
		g, isKnown := indexes[c.Caller]
		if !isKnown {
			g = len(groups)
			indexes[c.Caller] = g
			groups = append(groups, group{})
		}
		groups[g].size++
		if c.Phase != Serving {
			groups[g].evictable = append(groups[g].evictable, i)
		}
	}
	for _, g := range groups {
		slices.SortStableFunc(g.evictable, func(a, b int) int { return compareCandidates(now, candidates[a], candidates[b]) })
	}
	return slices.DeleteFunc(groups, func(g group) bool { return len(g.evictable) == 0 })
}

// compareCandidates returns a negative number if the first candidate is closed before the second.
func compareCandidates(now time.Time, a, b Candidate) int {
	if order := cmp.Compare(a.rank(now), b.rank(now)); order != 0 {
		return order
	}
	return a.ProgressAt.Compare(b.ProgressAt)
}

// rank returns the phase of a candidate that has made no progress for [QuietTime], and a larger number for others.
func (c Candidate) rank(now time.Time) int {
	switch {
	case now.Sub(c.ProgressAt) >= QuietTime:
		return int(c.Phase)
	case c.Phase == InBody:
		return int(Serving) + 1
	}
	return int(Serving)
}
