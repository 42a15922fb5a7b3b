package quota

import (
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
)

const (
	// LeaseTime is how long a host uses what its record states after it last knew that the record stands.
	LeaseTime = 6 * time.Second
	// ReclaimTime is how long another host waits, once it has marked the record, before it removes it. It is longer than LeaseTime
	// by what the holder's loans last, and by clocks that run at different rates.
	ReclaimTime = 8 * time.Second
	// SilenceTime is how long a host is not heard from before its record is marked.
	SilenceTime = 3 * time.Second
)

// Lease is the time for which a host owns what its record states. The holder counts it from when it sent a check that
// showed that the record stands, so that it ends before another host, which marks the record first, may remove that. The zero
// value has ended. It is not safe for concurrent use.
type Lease struct {
	confirmedAt time.Time
}

// Confirm notes that the store has shown that the record stands, in response to a call that was sent at a time.
func (l *Lease) Confirm(sentAt time.Time) {
	if sentAt.After(l.confirmedAt) {
		l.confirmedAt = sentAt
	}
}

// Witness is what a host knows of another one that may remove its record.
type Witness struct {
	// IsLive is true if the other host is heard, and Holders is the hash of the holders on which it counts.
	IsLive  bool
	Holders uint64
	// AnsweredAt is when the last message was sent that the other host has answered, zero if there was none.
	AnsweredAt time.Time
}

// Extend extends the lease if all other hosts that may remove the record have answered, and count on the same holders as this host, so
// that they know of no others. Nobody removes the record of a host that it has just heard; but somebody may have done so before, so a
// lease that had ended by then stays so.
func (l *Lease) Extend(now time.Time, holders uint64, witnesses []Witness) {
	sentAt := now
	for _, w := range witnesses {
		if !w.IsLive || w.Holders != holders {
			return
		}
		if w.AnsweredAt.Before(sentAt) {
			sentAt = w.AnsweredAt
		}
	}
	if l.IsValid(sentAt) {
		l.Confirm(sentAt)
	}
}

// IsValid reports whether the host may use what its record states.
func (l *Lease) IsValid(now time.Time) bool { return isLeaseValid(l.confirmedAt, now) }

// ConfirmedAt returns when the last check was sent, zero if there was none.
func (l *Lease) ConfirmedAt() time.Time { return l.confirmedAt }

// Age returns how long ago the last check was sent, and false if there was none.
func (l *Lease) Age(now time.Time) (time.Duration, bool) {
	return elapsed.Between(l.confirmedAt, now), !l.confirmedAt.IsZero()
}

func isLeaseValid(confirmedAt, now time.Time) bool {
	return !confirmedAt.IsZero() && elapsed.Between(confirmedAt, now) <= LeaseTime
}

// ObservedRecord is what a host knows of another host's record.
type ObservedRecord struct {
	// IsLeased is true if the record's writer keeps to its lease. A host of an earlier build does not.
	IsLeased bool
	// IsSuspected is true if the record is marked, and ChangedAt when this host first saw it as it is.
	IsSuspected bool
	ChangedAt   time.Time
	// HeardAt is when this host last heard the writer, zero if it has not.
	HeardAt time.Time
}

// ReclaimAction is what a host does next about another host's record.
type ReclaimAction interface{ reclaimAction() }

// KeepRecord leaves the record as it is.
type KeepRecord struct{}

// SuspectRecord marks the record, so that its writer, if it runs, writes it anew.
type SuspectRecord struct{}

// RemoveRecord removes the record, whose lease has ended.
type RemoveRecord struct{}

func (KeepRecord) reclaimAction()    {}
func (SuspectRecord) reclaimAction() {}
func (RemoveRecord) reclaimAction()  {}

// NextReclaimAction returns what a host that is to have a part itself does about another host's record. Writes must be made on the
// condition that the record is still as it was observed. Times are those of the steady clock, which shows no more than what has
// passed.
func NextReclaimAction(now time.Time, record ObservedRecord) ReclaimAction {
	silence := now.Sub(record.ChangedAt)
	if !record.HeardAt.IsZero() {
		silence = min(silence, now.Sub(record.HeardAt))
	}
	switch {
	case !record.IsLeased:
		return KeepRecord{}
	case record.IsSuspected && silence > ReclaimTime:
		return RemoveRecord{}
	case !record.IsSuspected && silence > SilenceTime:
		return SuspectRecord{}
	}
	return KeepRecord{}
}
