/*
Package ticket makes a request run at most once without a write to any store.

A host hands out ranges of names, each range to one caller. Only the process
that handed out a name, one incarnation of a host, may admit a request under it,
and it remembers the names that it admitted until they expire. A host that gets
a request under another's name passes it to the host in the name. When that
incarnation is gone nobody may admit the name again, so the outcome of the
request is unknown and it never runs twice.

Names can't be guessed: a range carries a code that only its incarnation can
make, so a caller uses up only names that it was given. Since the incarnation
recognizes its own ranges, it keeps nothing for names that were never used.

Exclusive names in place of locks follow D. P. Reed, "Using Naming for
Synchronizing Access to Decentralized Data", M.I.T. LCS, 1979; see
docs/at-most-once.md for the measurement behind the choice.

A request under a key that the caller chose itself, which any host may see
first, goes through [Claims]: a conditional create in the platform's store.

# Usage

On the host that answers a look-up:

	register := &ticket.Register{
		Host: netip.MustParseAddrPort("10.0.0.1:8000"),
	}
	names := register.Issue("", 64)

At the caller, for each request a new name:

	request.Header.Set("Trefoilline-Ticket", names.Name(number))

On the host that gets the request:

	switch d := register.Admit(name, "").(type) {
	case *ticket.Admitted:
		// Run it, then tell d.Settle(ticket.Responded).
	case ticket.Repeated:
		// It was admitted before; d.Result says what came of it.
	case ticket.Elsewhere:
		// Pass the request to d.Host.
	case ticket.Gone, ticket.Expired:
		// The outcome is unknown.
	case ticket.Refused:
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

// Incarnation tells the processes apart that run on one host one after the
// other. It is random, so that a replaced host never takes an old one's.
type Incarnation uint64

// String returns the incarnation in hexadecimal.
func (i Incarnation) String() string { return strconv.FormatUint(uint64(i), incarnationBase) }

// codeSize is the length of a range's code in bytes.
const codeSize = 16

// code proves that a range was issued.
type code [codeSize]byte

// block is an issued range as its names carry it.
type block struct {
	host        netip.AddrPort
	incarnation Incarnation
	// serial tells the blocks of an incarnation apart.
	serial uint64
	// expiry is the time after the incarnation's start, in whole seconds, from
	// which on no name of the block is admitted.
	expiry uint32
	// count is how many names the block has.
	count uint32
	code  code
}

// Ticket is one name: at most one request runs under it.
type Ticket struct {
	block  block
	number uint32
}

// Host returns the address of the host that issued the name.
func (n Ticket) Host() netip.AddrPort { return n.block.host }

// Incarnation returns the incarnation that issued the name.
func (n Ticket) Incarnation() Incarnation { return n.block.incarnation }

// ID returns the name without its code. It is as unique and safe to show to
// backend servers and in logs, where it can't be used to admit a request.
func (n Ticket) ID() string {
	return strings.Join(append(n.block.fields(), strconv.FormatUint(uint64(n.number), decimal)), fieldSeparator)
}

// String returns the name as it is sent.
func (n Ticket) String() string {
	return n.block.prefix() + fieldSeparator + strconv.FormatUint(uint64(n.number), decimal)
}

// Range is an exclusive range of names, as a look-up answers it.
type Range struct {
	// Prefix starts each name of the range.
	Prefix string `json:"prefix"`
	// Count is how many names there are, numbered from zero.
	Count int `json:"count"`
	// ValidFor is how long a caller may begin to use the names. A request can be
	// sent again for longer.
	ValidFor time.Duration `json:"valid-for"`
}

// Ticket returns the name with the number, as it is sent.
func (r Range) Ticket(number int) string {
	return r.Prefix + fieldSeparator + strconv.Itoa(number)
}

func (b block) fields() []string {
	return []string{
		b.host.String(),
		b.incarnation.String(),
		strconv.FormatUint(b.serial, decimal),
		strconv.FormatUint(uint64(b.expiry), decimal),
		strconv.FormatUint(uint64(b.count), decimal),
	}
}

func (b block) prefix() string {
	text := base64.RawURLEncoding.EncodeToString(b.code[:])
	return strings.Join(append(b.fields(), text), fieldSeparator)
}
