package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
	"trefoilline.example/trefoilline/objectstore"
)

// AcquireOrRenew extends the current term, or acquires the lease if it is free or
// its holder has stopped renewing it. It returns a [HeldByOtherError] while another
// candidate holds the lease, a [CorruptValueError], or an error of the store. After
// an error of the store the current term continues until its duration ends.
//
// Call AcquireOrRenew about three times per duration. If the outcome of a write is
// unknown, the next call resolves it, since it reads the record first.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	found, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	next, err := l.nextRecord(found, version)
	if err != nil {
		l.endTerm()
		return err
	}
	return l.write(ctx, next, ifUnchanged(version))
}

// Release releases the lease, so that other candidates need not wait until its
// duration ends. It returns a [NotHeldError] if this candidate doesn't hold the
// lease, a [CorruptValueError], or an error of the store.
func (l *Lease) Release(ctx context.Context) error {
	l.writeMu.Lock()
	defer l.writeMu.Unlock()
	found, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.endTerm()
	if found.Holder != l.Holder || found.Released {
		return &NotHeldError{
			Key: l.Key,
		}
	}
	found.Released = true
	value, err := json.Marshal(found)
	if err != nil {
		return err
	}
	_, err = l.Store.Put(ctx, l.Key, value, ifUnchanged(version))
	return err
}

// read returns the stored record and its version, both zero if there is none.
func (l *Lease) read(ctx context.Context) (record, objectstore.Version, error) {
	object, err := l.Store.Get(ctx, l.Key)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, err
	}
	var found record
	if err := json.Unmarshal(object.Value, &found); err != nil {
		return record{}, 0, &CorruptValueError{
			Key:   l.Key,
			Cause: err,
		}
	}
	return found, object.Version, nil
}

// nextRecord returns the record that this candidate may write in place of the one
// that it found, or a [HeldByOtherError] if it may not write any yet.
func (l *Lease) nextRecord(found record, version objectstore.Version) (record, error) {
	if found.Holder == l.Holder && !found.Released && version != 0 {
		return found, nil
	}
	if version != 0 && !found.Released {
		if err := l.checkTakeover(found, version); err != nil {
			return record{}, err
		}
	}
	return record{
		Holder: l.Holder,
		Epoch:  found.Epoch + 1,
	}, nil
}

// checkTakeover returns a [HeldByOtherError] until the record has been unchanged
// for longer than the term of its holder can last.
func (l *Lease) checkTakeover(found record, version objectstore.Version) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.seen.Version != version {
		l.seen = seenRecord{
			Version: version,
			Since:   now,
		}
	}
	// Sub uses only the monotonic clock: setting the wall clock forward must not
	// shorten the wait.
	remaining := l.takeoverDelay() - now.Sub(l.seen.Since)
	if remaining <= 0 {
		return nil
	}
	return &HeldByOtherError{
		Key: l.Key,
		Term: Term{
			Holder: found.Holder,
			Epoch:  found.Epoch,
		},
		RetryAfter: remaining,
	}
}

// write stores the record. The term starts when the write is sent.
func (l *Lease) write(ctx context.Context, next record, condition objectstore.Condition) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sentAt := l.now()
	_, err = l.Store.Put(ctx, l.Key, value, condition)
	if err != nil {
		return err
	}
	l.startTerm(next, sentAt)
	return nil
}

// startTerm starts the term of a record that the store accepted. If the term's
// duration has ended since the write was sent, the lease is not held.
func (l *Lease) startTerm(accepted record, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = Term{
		Holder: accepted.Holder,
		Epoch:  accepted.Epoch,
	}
	l.termStart = sentAt
	l.held = elapsed.Between(sentAt, l.now()) < l.duration()
}

func (l *Lease) endTerm() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

// ifUnchanged returns the condition that the object still has the version; zero
// means that it must not exist.
func ifUnchanged(version objectstore.Version) objectstore.Condition {
	if version == 0 {
		return objectstore.IfAbsent{}
	}
	return objectstore.IfVersion{
		Version: version,
	}
}
