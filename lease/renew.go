package lease

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilline.example/trefoilline/internal/elapsed"
	"trefoilline.example/trefoilline/objectstore"
)

// Renew extends the term, or takes the lease if it is free or its holder has
// stopped renewing. It returns a [HeldByOtherError] while another has it, or an error
// of the platform, after which a running term goes on until its time is out.
//
// Call it about three times per duration. A write whose outcome is unknown is
// settled by the next call, which reads the record first.
func (l *Lease) AcquireOrRenew(ctx context.Context) error {
	l.renewing.Lock()
	defer l.renewing.Unlock()
	found, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	next, err := l.successor(found, version)
	if err != nil {
		l.drop()
		return err
	}
	return l.write(ctx, next, conditionOn(version))
}

// Release gives the lease up, so that another need not wait for its time to
// run out. It returns a [NotHeldError] if it isn't held here.
func (l *Lease) Release(ctx context.Context) error {
	l.renewing.Lock()
	defer l.renewing.Unlock()
	found, version, err := l.read(ctx)
	if err != nil {
		return err
	}
	l.drop()
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
	_, err = l.Store.Put(ctx, l.Key, value, conditionOn(version))
	return err
}

// read returns the record and its version, both zero if there is none.
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

// successor decides what this candidate may write after the record found.
func (l *Lease) successor(found record, version objectstore.Version) (record, error) {
	if found.Holder == l.Holder && !found.Released && version != 0 {
		return found, nil
	}
	if version != 0 && !found.Released {
		if err := l.await(found, version); err != nil {
			return record{}, err
		}
	}
	return record{
		Holder: l.Holder,
		Epoch:  found.Epoch + 1,
	}, nil
}

// await returns a HeldError until the record has stood unchanged for longer
// than its holder may act on it.
func (l *Lease) await(found record, version objectstore.Version) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if l.seen.Version != version {
		l.seen = sighting{
			Version: version,
			At:      now,
		}
	}
	// Only the monotonic clock counts here: a wall clock set forward must not
	// shorten the wait.
	left := l.patience() - now.Sub(l.seen.At)
	if left <= 0 {
		return nil
	}
	return &HeldByOtherError{
		Key: l.Key,
		Term: Term{
			Holder: found.Holder,
			Epoch:  found.Epoch,
		},
		RetryAfter: left,
	}
}

// write stores the record and starts the term at the time before the write.
func (l *Lease) write(ctx context.Context, next record, condition objectstore.Condition) error {
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	sent := l.now()
	_, err = l.Store.Put(ctx, l.Key, value, condition)
	if err != nil {
		return err
	}
	l.begin(next, sent)
	return nil
}

// begin records an accepted write. A term that ran out meanwhile stays out.
func (l *Lease) begin(accepted record, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.term = Term{
		Holder: accepted.Holder,
		Epoch:  accepted.Epoch,
	}
	l.since = sent
	l.held = elapsed.Between(sent, l.now()) < l.duration()
}

func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
}

func conditionOn(version objectstore.Version) objectstore.Condition {
	if version == 0 {
		return objectstore.IfAbsent{}
	}
	return objectstore.IfVersion{
		Version: version,
	}
}
