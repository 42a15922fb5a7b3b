package objectstore

import "sync/atomic"

// CallKind names what a call to the platform does.
type CallKind int

// The kinds of calls.
const (
	GetCall CallKind = iota
	PutCall
	DeleteCall
	ListCall
	WatchCall
	MachinesCall
	callKinds
)

// IsWrite tells whether the kind counts as a write.
func (k CallKind) IsWrite() bool { return k == PutCall || k == DeleteCall }

func (k CallKind) String() string {
	switch k {
	case GetCall:
		return "get"
	case PutCall:
		return "put"
	case DeleteCall:
		return "delete"
	case ListCall:
		return "list"
	case WatchCall:
		return "watch"
	case MachinesCall:
		return "machines"
	}
	return "unknown"
}

// Counts counts calls by kind. A waiting watch is one call.
type CallCounts struct {
	Get      uint64 `json:"get"`
	Put      uint64 `json:"put"`
	Delete   uint64 `json:"delete"`
	List     uint64 `json:"list"`
	Watch    uint64 `json:"watch"`
	Machines uint64 `json:"machines"`
}

// Reads is the number of calls that change nothing.
func (c CallCounts) Reads() uint64 { return c.Get + c.List + c.Watch + c.Machines }

// Writes is the number of calls that may change something.
func (c CallCounts) Writes() uint64 { return c.Put + c.Delete }

// CallCounter counts calls; its zero value is ready and safe for concurrent
// use.
type CallCounter struct {
	counts [callKinds]atomic.Uint64
}

// Add counts one call.
func (c *CallCounter) Add(kind CallKind) { c.counts[kind].Add(1) }

// Counts returns the counts so far.
func (c *CallCounter) Counts() CallCounts {
	return CallCounts{
		Get:      c.counts[GetCall].Load(),
		Put:      c.counts[PutCall].Load(),
		Delete:   c.counts[DeleteCall].Load(),
		List:     c.counts[ListCall].Load(),
		Watch:    c.counts[WatchCall].Load(),
		Machines: c.counts[MachinesCall].Load(),
	}
}
