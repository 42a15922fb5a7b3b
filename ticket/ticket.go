/*
Package ticket lets each request run at most once. On the path of a request, package
dedup calls it to decide whether the request may run. A request with a ticket costs
no write to a store; a request with an idempotency key costs a conditional create
and an update.

A caller looks up which entry hosts to use. The entry host that answers includes
a range of tickets for this caller in its response, and the caller sends one
ticket with each request. Only the incarnation that issued a ticket may admit a
request with it. An incarnation is one run of the process on a host. It
remembers the tickets that it admitted until they expire. A host that gets a
request with another host's ticket forwards it to the host that is named in the
ticket. After the issuing incarnation has ended, the ticket can't be admitted:
whether its request ran is unknown, but it can't run a second time.

Tickets can't be guessed: a range carries an authentication code that only the
issuing incarnation can compute, so a caller can use only tickets that it was
given. Since the incarnation recognizes its own ranges by the code, it stores
nothing for tickets that are never used.

Identifying each request by a unique ticket, instead of locking, follows D. P.
Reed, "Using Naming for Synchronizing Access to Decentralized Data", M.I.T. LCS,
1979. The measurement that led to this choice is in docs/at-most-once.md.

A request with an idempotency key, which the caller chooses and any host may see
first, is admitted by [IdempotencyKeys] with a conditional create in the object
store.

# Usage

On the host that answers the look-up:

	registry := &ticket.Registry{
		Host: netip.MustParseAddrPort("10.0.0.1:8000"),
	}
	tickets := registry.Issue("", 64)

At the caller, a new ticket for each request:

	request.Header.Set("Trefoilline-Ticket", tickets.Ticket(number))

On the host that gets the request, with the parsed ticket:

	switch d := registry.Admit(parsed, "").(type) {
	case *ticket.AdmittedByTicket:
		// Run the request, then call d.RecordResult(ticket.Responded).
	case ticket.Duplicate:
		// It was admitted before; d.Result is its result so far.
	case ticket.IssuedElsewhere:
		// Forward the request to d.Host.
	case ticket.IssuerGone, ticket.Expired:
		// The outcome is unknown.
	case ticket.Rejected:
		// It was not run.
	}
*/
package ticket

import (
	"encoding/base64"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// Incarnation identifies one run of the process on a host. It is random, so
// that a restarted process, or a new host with the same address, gets a different
// one. The numbers say nothing of the order of the runs, unlike the incarnations
// of package globallimit, which grow.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), incarnationBase) }

// authCodeSize is the length of a range's authentication code, in bytes.
const authCodeSize = 16

// authCode is the truncated HMAC that proves that a range was issued.
type authCode [authCodeSize]byte

// issuedRange is an issued range of tickets, in the form in which each of its
// tickets carries it.
type issuedRange struct {
	host        netip.AddrPort
	incarnation Incarnation
	// serial identifies the range within its incarnation.
	serial uint64
	// expiry is when the tickets of the range expire, in whole seconds after
	// the incarnation's start.
	expiry uint32
	// count is the number of tickets in the range.
	count    uint32
	authCode authCode
}

// Ticket identifies a request. At most one request runs with a ticket.
type Ticket struct {
	issued issuedRange
	number uint32
}

// Host returns the address of the host that issued the ticket.
func (t Ticket) Host() netip.AddrPort { return t.issued.host }

// Incarnation returns the incarnation that issued the ticket.
func (t Ticket) Incarnation() Incarnation { return t.issued.incarnation }

// ID returns the ticket without its authentication code. It is as unique as the
// ticket, and safe to send to backend servers and to log, since it can't be used
// to admit a request.
func (t Ticket) ID() string {
	return strings.Join(append(t.issued.fields(), strconv.FormatUint(uint64(t.number), decimal)), fieldSeparator)
}

// String returns the text form of the ticket, as sent by callers.
func (t Ticket) String() string {
	return t.issued.prefix() + fieldSeparator + strconv.FormatUint(uint64(t.number), decimal)
}

// Range is a range of tickets for one caller, as included in the response to the
// caller's look-up.
type Range struct {
	// Prefix starts the text form of each ticket of the range.
	Prefix string `json:"prefix"`
	// Count is the number of tickets, numbered from zero.
	Count int `json:"count"`
	// ValidFor is how long after the issue a caller may send the first request
	// with a ticket. Requests can be retried for longer. The issuing host does
	// not check this limit; see [Registry.RetryWindow].
	ValidFor time.Duration `json:"valid-for"`
}

// Ticket returns the text form of the ticket with the number.
func (r Range) Ticket(number int) string {
	return r.Prefix + fieldSeparator + strconv.Itoa(number)
}

func (r issuedRange) fields() []string {
	return []string{
		r.host.String(),
		r.incarnation.String(),
		strconv.FormatUint(r.serial, decimal),
		strconv.FormatUint(uint64(r.expiry), decimal),
		strconv.FormatUint(uint64(r.count), decimal),
	}
}

func (r issuedRange) prefix() string {
	text := base64.RawURLEncoding.EncodeToString(r.authCode[:])
	return strings.Join(append(r.fields(), text), fieldSeparator)
}
