package ticket

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// Defaults of the settings of a [Registry].
const (
	// DefaultValidity is how long callers may start to use issued tickets.
	DefaultValidity = time.Minute
	// DefaultRetryWindow is how long after the validity requests can be retried.
	DefaultRetryWindow = 5 * time.Minute
	// DefaultMaxTickets is the number of admitted tickets that are remembered.
	DefaultMaxTickets = 500_000
)

// windowLength is the length of an expiry window. Tickets that expire in the
// same window are dropped together.
const windowLength = 30 * time.Second

// secretSize is the length of the HMAC key of authentication codes, in bytes.
const secretSize = 32

// Registry issues the tickets of one incarnation of a host and admits requests
// with them. The zero value is ready to use once Host is set. It is safe for
// concurrent use and must not be copied. Set its fields before the first use.
type Registry struct {
	// Host is the address that other hosts forward requests to.
	Host netip.AddrPort
	// Incarnation is random if zero.
	Incarnation Incarnation
	// Secret is the HMAC key of authentication codes; random if zero. It never
	// leaves the process.
	Secret [secretSize]byte
	// Validity is how long callers may start to use issued tickets;
	// [DefaultValidity] if zero. A host that shuts down keeps running for this
	// long, so that no unused tickets remain.
	Validity time.Duration
	// RetryWindow is how long after Validity tickets are still admitted and
	// remembered, for requests that are sent again; [DefaultRetryWindow] if zero.
	RetryWindow time.Duration
	// MaxTickets is the number of admitted tickets that are remembered;
	// [DefaultMaxTickets] if zero. At the limit further tickets are refused; no
	// ticket is dropped before it expires.
	MaxTickets int
	// Clock returns the time; [time.Now] if nil.
	Clock func() time.Time
	// OnViolation is called for each broken invariant. It may be nil.
	OnViolation func(Violation)

	once       sync.Once
	startTime  time.Time
	mu         sync.Mutex
	lastSerial uint64
	// windows holds the admitted tickets by the number of their expiry window.
	windows map[uint32]map[ticketKey]Result
	// ticketCount is the number of tickets in all windows.
	ticketCount int
	// currentWindow is the number of the window in which expired windows were
	// last dropped.
	currentWindow uint32
}

// Violation reports a broken invariant: the same request was reported both as
// not run, after which its ticket can be admitted again, and as run.
type Violation struct {
	TicketID string
	// Recorded is the first reported result, Reported the contradicting one.
	Recorded Result
	Reported Result
}

// ticketKey identifies an admitted ticket within its incarnation.
type ticketKey struct {
	serial uint64
	number uint32
}

// AdmittedByTicket is the [Decision] that a request with a ticket may run. Call
// RecordResult when its result is known.
type AdmittedByTicket struct {
	registry *Registry
	ticket   Ticket
	// hasResult is set once result holds the first reported result.
	hasResult bool
	result    Result
}

// Issue returns a new range of tickets that no other caller gets. Only requests
// of the team are admitted with them; if team is empty, requests of any caller
// are.
func (r *Registry) Issue(team string, count int) Range {
	r.init()
	expiry := r.elapsed() + r.validity() + r.retryWindow()
	r.mu.Lock()
	r.lastSerial++
	serial := r.lastSerial
	r.mu.Unlock()
	issued := issuedRange{
		host:        r.Host,
		incarnation: r.Incarnation,
		serial:      serial,
		expiry:      uint32((expiry + time.Second - 1) / time.Second),
		count:       uint32(count),
	}
	issued.code = r.authCode(issued, team)
	return Range{
		Prefix:   issued.prefix(),
		Count:    count,
		ValidFor: r.validity(),
	}
}

// Admit decides whether a team's request with the ticket may run. The team is
// empty if the request came without an API key.
func (r *Registry) Admit(t Ticket, team string) Decision {
	r.init()
	if t.issued.host != r.Host {
		return IssuedElsewhere{
			Host:        t.issued.host,
			Incarnation: t.issued.incarnation,
		}
	}
	if t.issued.incarnation != r.Incarnation {
		return IssuerGone{}
	}
	if !r.isIssuedTo(t, team) {
		return Refused{
			Reason: NotIssued,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The time is read while the lock is held: a process that was suspended
	// between the two must not admit a ticket whose window was dropped.
	now := r.elapsed()
	r.dropExpiredWindows(now)
	if now >= time.Duration(t.issued.expiry)*time.Second {
		return Expired{}
	}
	return r.admitOnce(t)
}

// RecordResult records the result of the request. Until it is called, the
// request counts as running, at most until the ticket expires. Only the first
// call has an effect.
func (a *AdmittedByTicket) RecordResult(result Result) {
	if result == Running {
		result = Unknown
	}
	r := a.registry
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.hasResult {
		a.checkContradiction(result)
		return
	}
	a.hasResult, a.result = true, result
	key, window := a.ticket.key(), r.windows[expiryWindowOf(a.ticket)]
	if _, found := window[key]; !found {
		return
	}
	if result == NotRun {
		// The ticket is dropped as if it had not been admitted, so that a team
		// whose requests are rejected by its rate limit takes no space from
		// other teams.
		delete(window, key)
		r.ticketCount--
		return
	}
	window[key] = result
}

// checkContradiction reports a violation if a later result contradicts the
// first one: exactly one of them says that the request did not run.
func (a *AdmittedByTicket) checkContradiction(reported Result) {
	if a.registry.OnViolation == nil || (a.result == NotRun) == (reported == NotRun) {
		return
	}
	a.registry.OnViolation(Violation{
		TicketID: a.ticket.ID(),
		Recorded: a.result,
		Reported: reported,
	})
}

// admitOnce admits the ticket unless it was admitted before or the registry is
// full.
func (r *Registry) admitOnce(t Ticket) Decision {
	key, number := t.key(), expiryWindowOf(t)
	result, found := r.windows[number][key]
	if found {
		return Duplicate{
			Result: result,
		}
	}
	if r.ticketCount >= r.maxTickets() {
		return Refused{
			Reason: RegistryFull,
		}
	}
	r.ticketCount++
	if r.windows[number] == nil {
		r.windows[number] = make(map[ticketKey]Result)
	}
	r.windows[number][key] = Running
	return &AdmittedByTicket{
		registry: r,
		ticket:   t,
	}
}

// dropExpiredWindows drops the windows in which every ticket has expired.
func (r *Registry) dropExpiredWindows(now time.Duration) {
	current := uint32(now / windowLength)
	if current == r.currentWindow {
		return
	}
	r.currentWindow = current
	for number, tickets := range r.windows {
		if number < current {
			r.ticketCount -= len(tickets)
			delete(r.windows, number)
		}
	}
}

func (r *Registry) init() {
	r.once.Do(func() {
		r.startTime = r.now()
		r.windows = make(map[uint32]map[ticketKey]Result)
		if r.Secret == [secretSize]byte{} {
			_, _ = rand.Read(r.Secret[:])
		}
		for r.Incarnation == 0 {
			var random [8]byte
			_, _ = rand.Read(random[:])
			r.Incarnation = Incarnation(binary.BigEndian.Uint64(random[:]))
		}
	})
}

func (r *Registry) now() time.Time {
	if r.Clock == nil {
		return time.Now()
	}
	return r.Clock()
}

// elapsed returns the time since the incarnation started.
func (r *Registry) elapsed() time.Duration { return r.now().Sub(r.startTime) }

func (r *Registry) validity() time.Duration {
	if r.Validity == 0 {
		return DefaultValidity
	}
	return r.Validity
}

func (r *Registry) retryWindow() time.Duration {
	if r.RetryWindow == 0 {
		return DefaultRetryWindow
	}
	return r.RetryWindow
}

func (r *Registry) maxTickets() int {
	if r.MaxTickets == 0 {
		return DefaultMaxTickets
	}
	return r.MaxTickets
}

// expiryWindowOf returns the number of the window in which the ticket expires.
func expiryWindowOf(t Ticket) uint32 {
	return t.issued.expiry / uint32(windowLength/time.Second)
}

func (t Ticket) key() ticketKey {
	return ticketKey{
		serial: t.issued.serial,
		number: t.number,
	}
}
