package ticket

import (
	"net/netip"
)

// Decision says whether a request with a ticket or an idempotency key may run.
// For a ticket it is [*AdmittedByTicket], [Duplicate], [IssuedElsewhere],
// [IssuerGone], [Expired] or [Rejected]; for an idempotency key it is
// [*AdmittedByKey] or [Duplicate].
type Decision interface{ decision() }

// Duplicate says that a request with the same ticket or idempotency key was
// admitted before. This request must not run.
type Duplicate struct {
	// Result is the result of the earlier request so far.
	Result Result
}

// IssuedElsewhere says that the ticket names another host, to which the request
// must be forwarded. The ticket may be forged: only the host that it names can
// verify it.
type IssuedElsewhere struct {
	Host        netip.AddrPort
	Incarnation Incarnation
}

// IssuerGone says that the ticket names another incarnation of this host, which
// has ended. The request must not run, and may have run before. The ticket may be
// forged: only the incarnation that it names could verify it.
type IssuerGone struct{}

// Expired says that the ticket has expired. The request must not run, and may
// have run before.
type Expired struct{}

// Rejected says that the request must not run, and that no request of the same
// team ever ran with this ticket.
type Rejected struct {
	Reason RejectionReason
}

// RejectionReason is the reason of a [Rejected] decision.
type RejectionReason string

// Reasons of a [Rejected] decision.
const (
	// NotIssued means that no host issued the ticket to this team.
	NotIssued RejectionReason = "ticket-not-issued"
	// RegistryFull means that the registry holds its maximum number of admitted
	// tickets.
	RegistryFull RejectionReason = "ticket-register-full"
)

func (*AdmittedByTicket) decision() {}
func (Duplicate) decision()         {}
func (IssuedElsewhere) decision()   {}
func (IssuerGone) decision()        {}
func (Expired) decision()           {}
func (Rejected) decision()          {}

// Result says whether an admitted request ran.
type Result uint8

// Results of an admitted request. The zero value is Unknown, which says nothing
// about the request.
const (
	// Unknown means that the request may have run.
	Unknown Result = iota
	// Running means that the request was admitted and has no result yet.
	Running
	// Responded means that the request ran and its response has started.
	Responded
	// NotRun means that the request did not run, and that its ticket or
	// idempotency key can be admitted again.
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
