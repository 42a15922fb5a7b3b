package ticket

import (
	"net/netip"
)

// Decision says what to do with a request that came under a name: [*Admitted],
// [Repeated], [Elsewhere], [Gone], [Expired] or [Refused].
type Decision interface{ decision() }

// Repeated says that the name was admitted before. The request must not run.
type Repeated struct {
	// Result is what came of the request so far.
	Result Result
}

// Elsewhere says that another host issued the name and must get the request.
type Elsewhere struct {
	Host        netip.AddrPort
	Incarnation Incarnation
}

// Gone says that an earlier incarnation of this host issued the name. The
// request must not run, and may have run before.
type Gone struct{}

// Expired says that the name is no longer admitted. The request must not run,
// and may have run before.
type Expired struct{}

// Refused says that the request must not run, and that no request of its holder
// ever ran under this name.
type Refused struct {
	Reason RefusalReason
}

// RefusalReason says why a name that never ran is not admitted.
type RefusalReason string

// The reasons of a refusal.
const (
	// NotIssued: no host issued this name to this holder.
	NotIssued RefusalReason = "ticket-not-issued"
	// RegisterFull: the host remembers as many names as it may.
	RegisterFull RefusalReason = "ticket-register-full"
)

func (*Admitted) decision() {}
func (Repeated) decision()  {}
func (Elsewhere) decision() {}
func (Gone) decision()      {}
func (Expired) decision()   {}
func (Refused) decision()   {}

// Result is what came of an admitted request.
type Result uint8

// The results. The zero result is the one that promises least.
const (
	// Unknown: it may have run.
	Unknown Result = iota
	// Running: it was admitted and has no result yet.
	Running
	// Answered: it ran, and its answer began.
	Answered
	// NotRun: it did not run, and the name can be admitted again.
	NotRun
)

// String returns the result in kebab case.
func (r Result) String() string {
	switch r {
	case Running:
		return "running"
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}
