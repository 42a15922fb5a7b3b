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
	// DefaultValidity is how long after the issue callers may send the first
	// request with a ticket.
	DefaultValidity = time.Minute
	// DefaultRetryWindow is how long after the validity has ended requests can
	// be retried.
	DefaultRetryWindow = 5 * time.Minute
	// DefaultMaxTickets is the maximum number of admitted tickets that are
	// remembered.
	DefaultMaxTickets = 500_000
)

// bucketLength is the time that one bucket covers. Tickets that expire within the
// time of the same bucket are dropped together.
const bucketLength = 30 * time.Second

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
	// Validity is how long after the issue callers may send the first request
	// with a ticket; [DefaultValidity] if zero. A host that shuts down must keep
	// serving for this long, since only it can admit the tickets that it issued.
	Validity time.Duration
	// RetryWindow is how long after Validity has ended tickets are still admitted
	// and remembered, for retries; [DefaultRetryWindow] if zero. Retries are not
	// told apart from first requests.
	RetryWindow time.Duration
	// MaxTickets is the maximum number of admitted tickets that are remembered;
	// [DefaultMaxTickets] if zero. At the limit further tickets are refused; no
	// ticket is dropped before it expires.
	MaxTickets int
	// Clock returns the time; [time.Now] if nil.
	Clock func() time.Time
	// OnViolation is called for each broken invariant. It may be nil. It is called
	// while the registry is locked, so it must not call the registry.
	OnViolation func(Violation)

	once       sync.Once
	startTime  time.Time
	mu         sync.Mutex
	lastSerial uint64
	// buckets holds the admitted tickets by the number of the bucket in whose time
	// they expire.
	buckets map[uint32]map[ticketKey]Result
	// ticketCount is the number of tickets in all buckets.
	ticketCount int
	// lastDropBucket is the number of the bucket that was current when expired
	// buckets were last dropped.
	lastDropBucket uint32
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
	issued.authCode = r.computeAuthCode(issued, team)
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
		return Rejected{
			Reason: NotIssued,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The time is read while the lock is held. If it were read before, the
	// process could be suspended until another call has dropped the ticket's
	// bucket, and the ticket would be admitted a second time.
	now := r.elapsed()
	r.dropExpiredBuckets(now)
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
	key, bucket := a.ticket.key(), r.buckets[expiryBucketOf(a.ticket)]
	if _, found := bucket[key]; !found {
		return
	}
	if result == NotRun {
		// The ticket is removed, so that a retry with it is admitted and it does
		// not count towards MaxTickets. Otherwise a team over its rate limit could
		// fill the registry and take the space from other teams.
		delete(bucket, key)
		r.ticketCount--
		return
	}
	bucket[key] = result
}

// checkContradiction reports a violation if one of the first and the later result
// is NotRun and the other is not.
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
	key, bucketNumber := t.key(), expiryBucketOf(t)
	result, found := r.buckets[bucketNumber][key]
	if found {
		return Duplicate{
			Result: result,
		}
	}
	if r.ticketCount >= r.maxTickets() {
		return Rejected{
			Reason: RegistryFull,
		}
	}
	r.ticketCount++
	if r.buckets[bucketNumber] == nil {
		r.buckets[bucketNumber] = make(map[ticketKey]Result)
	}
	r.buckets[bucketNumber][key] = Running
	return &AdmittedByTicket{
		registry: r,
		ticket:   t,
	}
}

// dropExpiredBuckets drops the buckets in which every ticket has expired.
func (r *Registry) dropExpiredBuckets(now time.Duration) {
	current := uint32(now / bucketLength)
	if current == r.lastDropBucket {
		return
	}
	r.lastDropBucket = current
	for bucketNumber, tickets := range r.buckets {
		if bucketNumber < current {
			r.ticketCount -= len(tickets)
			delete(r.buckets, bucketNumber)
		}
	}
}

func (r *Registry) init() {
	r.once.Do(func() {
		r.startTime = r.now()
		r.buckets = make(map[uint32]map[ticketKey]Result)
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

// expiryBucketOf returns the number of the bucket in whose time the ticket expires.
func expiryBucketOf(t Ticket) uint32 {
	return t.issued.expiry / uint32(bucketLength/time.Second)
}

func (t Ticket) key() ticketKey {
	return ticketKey{
		serial: t.issued.serial,
		number: t.number,
	}
}
