/*
Package lease lets at most one process at a time hold a lease, which is kept in
the object store. It doesn't rely on a clock that the hosts share. It is used by
background work, not on the path of a request.

The lease's record in the store contains the holder and its epoch. All candidates
know the duration of the lease. A candidate that has seen the same record for
longer than the duration, by its own clock, replaces it with a record of the next
epoch, by a conditional update. A term starts when its holder sends the update
that the store then accepts, so it ends before any candidate may take over.

A holder may be paused between checking its term and writing. A [Fence] rejects
such a late write: the first write of a new holder puts the new epoch into the
fenced object, and after it the conditional updates of all earlier epochs fail.

# Usage

	l := &lease.Lease{
		Store:  store,
		Key:    "lease/plan",
		Holder: "host-3/" + incarnation,
	}
	// Call AcquireOrRenew about three times per duration:
	if err := l.AcquireOrRenew(ctx); err != nil {
		return err // a HeldByOtherError while another process holds the lease
	}
	fence := &lease.Fence{
		Lease: l,
		Key:   "plan/head",
	}
	err := fence.Write(ctx, func(current []byte) ([]byte, error) { return nextBody(current) })

# Errors

The errors of this package are [HeldByOtherError], [NotHeldError],
[StaleEpochError] and [CorruptValueError]. Errors of the store are returned
unchanged.
*/
package lease

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
	"trefoilline.example/trefoilline/objectstore"
)

// DefaultDuration is how long a lease lasts without renewal if
// [Lease.Duration] is zero.
const DefaultDuration = 9 * time.Second

// clockDriftDivisor sets the extra wait of a candidate: it waits for the duration
// plus the duration divided by clockDriftDivisor, since two clocks don't run at
// exactly the same rate.
const clockDriftDivisor = 8

// Epoch is the number of a term of a lease, starting at one. Each time that a
// candidate acquires the lease a new epoch starts.
type Epoch uint64

// Term identifies the time during which one holder holds the lease.
type Term struct {
	Holder string
	Epoch  Epoch
}

// Lease is one candidate's handle on a lease. Set its fields before the first
// use. Its methods are safe for concurrent use.
type Lease struct {
	Store objectstore.Store
	// Key is the object key of the lease's record in the store.
	Key string
	// Holder identifies this candidate. It must be unique to this run of the
	// process: after a restart a different value is needed.
	Holder string
	// Duration is how long the lease lasts without renewal; zero means
	// [DefaultDuration]. All candidates must use the same value.
	Duration time.Duration
	// Clock returns the time; [time.Now] if nil.
	Clock func() time.Time

	// writeMu makes calls of AcquireOrRenew and Release run one at a time.
	writeMu sync.Mutex

	mu   sync.Mutex
	held bool
	term Term
	// termStart is when the write that started or renewed the term was sent.
	termStart time.Time
	seen      seenRecord
}

// seenRecord is the version of the record that this candidate saw last, and since
// when it has seen that version.
type seenRecord struct {
	Version objectstore.Version
	Since   time.Time
}

// record is the stored record of a lease.
type record struct {
	Holder string `json:"holder"`
	Epoch  Epoch  `json:"epoch"`
	// Released is set when the holder releases the lease.
	Released bool `json:"released,omitempty"`
}

func (l *Lease) now() time.Time {
	if l.Clock != nil {
		return l.Clock()
	}
	return time.Now()
}

func (l *Lease) duration() time.Duration {
	if l.Duration > 0 {
		return l.Duration
	}
	return DefaultDuration
}

// takeoverDelay returns how long a record must be unchanged before a candidate
// takes the lease over.
func (l *Lease) takeoverDelay() time.Duration {
	return l.duration() + l.duration()/clockDriftDivisor
}

// Term returns the current term, or a [NotHeldError] if this candidate doesn't
// hold the lease now. It reads the clock on each call, so a holder that was
// paused until after the end of its term learns of it here.
func (l *Lease) Term() (Term, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && elapsed.Between(l.termStart, l.now()) < l.duration() {
		return l.term, nil
	}
	return Term{}, &NotHeldError{
		Key: l.Key,
	}
}

// Remaining returns how long the current term lasts without renewal. It returns
// zero if this candidate doesn't hold the lease.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return 0
	}
	return max(0, l.duration()-elapsed.Between(l.termStart, l.now()))
}
