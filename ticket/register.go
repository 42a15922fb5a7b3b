package ticket

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"
)

// The settings of a register that are not set.
const (
	// DefaultValidity is how long a caller may begin to use issued names.
	DefaultValidity = time.Minute
	// DefaultRetryWindow is how long after that a request can be sent again.
	DefaultRetryWindow = 5 * time.Minute
	// DefaultMaxTickets is how many names are remembered at once.
	DefaultMaxTickets = 500_000
)

// windowLength is how long the names of a window expire after each other. A
// window is forgotten as a whole.
const windowLength = 30 * time.Second

// secretSize is the length of the secret that codes are made with, in bytes.
const secretSize = 32

// Registry issues the names of one incarnation of a host and admits requests
// under them. The zero value is ready but for Host. It is safe for concurrent
// use and must not be copied.
type Registry struct {
	// Host is the address that other hosts pass requests to.
	Host netip.AddrPort
	// Incarnation is random if zero.
	Incarnation Incarnation
	// Secret makes codes; random if zero. It never leaves the process.
	Secret [secretSize]byte
	// Validity is how long callers may begin to use names; [DefaultValidity] if
	// zero. A host that leaves waits so long, so that no unused names are left.
	Validity time.Duration
	// RetryWindow is how long after that names are admitted and remembered, for
	// requests that are sent again; [DefaultRetryWindow] if zero.
	RetryWindow time.Duration
	// MaxTickets is how many names are remembered; [DefaultMaxTickets] if zero. At the
	// limit requests are refused; no name is forgotten before it expires.
	MaxTickets int
	// Clock tells the time; [time.Now] if nil.
	Clock func() time.Time
	// OnViolation is told of each broken invariant. It may be nil.
	OnViolation func(Violation)

	once    sync.Once
	start   time.Time
	mu      sync.Mutex
	serial  uint64
	windows map[uint32]map[used]Result
	length  int
	// current is the window that was running when windows were last forgotten.
	current uint32
}

// Violation is an invariant that did not hold: a request was reported not run,
// which lets its name be admitted again, and reported run as well.
type Violation struct {
	TicketID string
	// Recorded is what was reported first, Reported what came on top of it.
	Recorded Result
	Reported Result
}

// used tells an admitted name among those of the incarnation.
type used struct {
	serial uint64
	number uint32
}

// Admitted lets a request run. Settle tells what came of it.
type AdmittedByTicket struct {
	register *Registry
	name     Ticket
	// settled tells that result holds the first report.
	settled bool
	result  Result
}

// Issue returns a new exclusive range of names. Only requests of the holder,
// such as a team, are admitted under them; an empty holder is anyone.
func (r *Registry) Issue(holder string, count int) Range {
	r.init()
	expiry := r.elapsed() + r.validity() + r.repeat()
	r.mu.Lock()
	r.serial++
	serial := r.serial
	r.mu.Unlock()
	b := block{
		host:        r.Host,
		incarnation: r.Incarnation,
		serial:      serial,
		expiry:      uint32((expiry + time.Second - 1) / time.Second),
		count:       uint32(count),
	}
	b.code = r.code(b, holder)
	return Range{
		Prefix:   b.prefix(),
		Count:    count,
		ValidFor: r.validity(),
	}
}

// Admit decides on a request that came from the holder under the name.
func (r *Registry) Admit(name Ticket, holder string) Decision {
	r.init()
	if name.block.host != r.Host {
		return IssuedElsewhere{
			Host:        name.block.host,
			Incarnation: name.block.incarnation,
		}
	}
	if name.block.incarnation != r.Incarnation {
		return IssuerGone{}
	}
	if !r.issued(name, holder) {
		return Refused{
			Reason: NotIssued,
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	// The time is read under the lock: a process that was frozen in between
	// must not admit a name whose window is forgotten.
	now := r.elapsed()
	r.forget(now)
	if now >= time.Duration(name.block.expiry)*time.Second {
		return Expired{}
	}
	return r.enter(name)
}

// RecordResult tells what came of the request. Without it the name counts as running
// until it expires. Only the first call counts.
func (a *AdmittedByTicket) RecordResult(result Result) {
	if result == Running {
		result = Unknown
	}
	r := a.register
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.settled {
		a.check(result)
		return
	}
	a.settled, a.result = true, result
	key, window := a.name.used(), r.windows[windowOf(a.name)]
	if _, found := window[key]; !found {
		return
	}
	if result == NotRun {
		// As if it had not been admitted; so a team that is refused by its rate
		// takes no room from others.
		delete(window, key)
		r.length--
		return
	}
	window[key] = result
}

// check tells of a second report that takes back the first, if one of them says
// that the request did not run.
func (a *AdmittedByTicket) check(reported Result) {
	if a.register.OnViolation == nil || (a.result == NotRun) == (reported == NotRun) {
		return
	}
	a.register.OnViolation(Violation{
		TicketID: a.name.ID(),
		Recorded: a.result,
		Reported: reported,
	})
}

// enter admits the name if it was not yet.
func (r *Registry) enter(name Ticket) Decision {
	key, number := name.used(), windowOf(name)
	result, found := r.windows[number][key]
	if found {
		return Duplicate{
			Result: result,
		}
	}
	if r.length >= r.limit() {
		return Refused{
			Reason: RegistryFull,
		}
	}
	r.length++
	if r.windows[number] == nil {
		r.windows[number] = make(map[used]Result)
	}
	r.windows[number][key] = Running
	return &AdmittedByTicket{
		register: r,
		name:     name,
	}
}

// forget drops the windows in which every name has expired.
func (r *Registry) forget(now time.Duration) {
	current := uint32(now / windowLength)
	if current == r.current {
		return
	}
	r.current = current
	for number, names := range r.windows {
		if number < current {
			r.length -= len(names)
			delete(r.windows, number)
		}
	}
}

func (r *Registry) init() {
	r.once.Do(func() {
		r.start = r.now()
		r.windows = make(map[uint32]map[used]Result)
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

// elapsed is the time since the incarnation's start.
func (r *Registry) elapsed() time.Duration { return r.now().Sub(r.start) }

func (r *Registry) validity() time.Duration {
	if r.Validity == 0 {
		return DefaultValidity
	}
	return r.Validity
}

func (r *Registry) repeat() time.Duration {
	if r.RetryWindow == 0 {
		return DefaultRetryWindow
	}
	return r.RetryWindow
}

func (r *Registry) limit() int {
	if r.MaxTickets == 0 {
		return DefaultMaxTickets
	}
	return r.MaxTickets
}

// windowOf is the window in which the name expires.
func windowOf(n Ticket) uint32 {
	return n.block.expiry / uint32(windowLength/time.Second)
}

func (n Ticket) used() used {
	return used{
		serial: n.block.serial,
		number: n.number,
	}
}
