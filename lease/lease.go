/*
Package lease gives one holder at a time a lease kept in the platform's store,
with no clock shared between hosts.

The record in the store names the holder, its epoch and the duration. A
candidate that sees the same record for longer than the duration, by its own
clock, replaces it under the next epoch by a conditional update. A holder
counts its time from before it sent the update that the store accepted, so it
gives up before any candidate may take over.

A holder that is paused between its check and its write is stopped by the
[Fence]: whoever takes a fenced object over writes its own epoch into it first,
after which the conditional updates of every earlier epoch fail.

# Usage

	l := &lease.Lease{
		Store:  store,
		Key:    "lease/plan",
		Holder: "host-3/" + incarnation,
	}
	// About three times per duration:
	if err := l.Renew(ctx); err != nil {
		return err // a HeldError while another holds it
	}
	fence := &lease.Fence{
		Lease: l,
		Key:   "plan/head",
	}
	err := fence.Write(ctx, func(last []byte) ([]byte, error) { return next(last) })

# Errors

[HeldError], [LapsedError], [StaleEpochError] and [RecordError] are the
package's own; those of the platform pass through unchanged.
*/
package lease

import (
	"sync"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
	"trefoilline.example/trefoilline/objectstore"
)

// DefaultDuration is how long a lease lasts without renewal if none is set.
const DefaultDuration = 9 * time.Second

// driftDivisor sets how much longer than the duration a candidate waits, as a
// part of it, since two clocks don't run at quite the same rate.
const driftDivisor = 8

// Epoch numbers the terms of a lease, from one. Each change of holder starts a
// new one.
type Epoch uint64

// Term is one holder's time with the lease.
type Term struct {
	Holder string
	Epoch  Epoch
}

// Lease is one candidate's side of a lease. Its fields are set before first
// use; its methods are safe for concurrent use.
type Lease struct {
	Store objectstore.Store
	// Key is the record's key in the store.
	Key string
	// Holder names one incarnation of a process: a process that restarts must
	// not use the name again.
	Holder string
	// Duration is how long the lease lasts without renewal; zero means
	// [DefaultDuration]. All candidates set the same.
	Duration time.Duration
	// Clock is nil for time.Now.
	Clock func() time.Time

	// renewing lets one renewal run at a time.
	renewing sync.Mutex

	mu    sync.Mutex
	held  bool
	term  Term
	since time.Time
	seen  sighting
}

// sighting is a record as first seen at one version.
type sighting struct {
	Version objectstore.Version
	At      time.Time
}

// record is the value in the store.
type record struct {
	Holder string `json:"holder"`
	Epoch  Epoch  `json:"epoch"`
	// Released marks a lease that its holder gave up.
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

// patience is how long a candidate waits on an unchanged record.
func (l *Lease) patience() time.Duration {
	return l.duration() + l.duration()/driftDivisor
}

// Term returns the running term, or a [NotHeldError] if this candidate doesn't
// hold the lease now. It looks at the clock each time, so a holder that was
// paused past its time learns it here.
func (l *Lease) Term() (Term, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held && elapsed.Between(l.since, l.now()) < l.duration() {
		return l.term, nil
	}
	return Term{}, &NotHeldError{
		Key: l.Key,
	}
}

// Remaining returns how long the term runs without renewal, zero if none does.
func (l *Lease) Remaining() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held {
		return 0
	}
	return max(0, l.duration()-elapsed.Between(l.since, l.now()))
}
