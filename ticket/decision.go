package ticket

import (
	"net/netip"
)

// Decision says what to do with a request that came under a name: [*AdmittedByTicket],
// [Duplicate], [IssuedElsewhere], [IssuerGone], [Expired] or [Refused].
type Decision interface{ decision() }

// Duplicate says that the name was admitted before. The request must not run.
type Duplicate struct {
	// Result is what came of the request so far.
	Result Result
}

// IssuedElsewhere says that another host issued the name and must get the request.
type IssuedElsewhere struct {
	Host        netip.AddrPort
	Incarnation Incarnation
}

// IssuerGone says that an earlier incarnation of this host issued the name. The
// request must not run, and may have run before.
type IssuerGone struct{}

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
	RegistryFull RefusalReason = "ticket-register-full"
)

func (*AdmittedByTicket) decision() {}
func (Duplicate) decision()         {}
func (IssuedElsewhere) decision()   {}
func (IssuerGone) decision()        {}
func (Expired) decision()           {}
func (Refused) decision()           {}

// Result is what came of an admitted request.
type Result uint8

// The results. The zero result is the one that promises least.
const (
	// Unknown: it may have run.
	Unknown Result = iota
	// Running: it was admitted and has no result yet.
	Running
	// Answered: it ran, and its answer began.
	Responded
	// NotRun: it did not run, and the name can be admitted again.
	NotRun
)

// String returns the result in kebab case.
func (r Result) String() string {
	switch r {
	case Running:
		return "running"
	case Responded:
		return "answered"
	case NotRun:
		return "not-run"
	}
	return "unknown"
}
