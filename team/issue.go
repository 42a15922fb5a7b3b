package team

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/table"
)

const (
	// MaxAttempts is how often one write is sent.
	MaxAttempts = 5
	// FirstRetryDelay is the pause after the first failure; it doubles.
	FirstRetryDelay = 50 * time.Millisecond
)

// Office issues and withdraws keys.
type Office struct {
	Store objectstore.Store
	// Clock gives the times in records; nil means [time.Now].
	Clock func() time.Time
	// Random gives the secrets; nil means the system's random source.
	Random io.Reader
}

// Issue makes a key for a team. The key exists nowhere but in the answer.
// Errors are a [MalformedTeamError], those of the store, which issued nothing,
// or an [UnknownOutcomeError].
func (o *Office) Issue(ctx context.Context, team, note string) (Key, Record, error) {
	if !table.IsValidName(team) {
		return Key{}, Record{}, &MalformedTeamError{
			Team: team,
		}
	}
	key, err := NewKey(o.Random)
	if err != nil {
		return Key{}, Record{}, err
	}
	record := Record{
		Hash:   key.Hash(),
		Team:   team,
		Note:   note,
		Issued: o.now(),
	}
	if err := o.create(ctx, record); err != nil {
		return Key{}, Record{}, err
	}
	if err := o.announce(ctx, record.Hash); err != nil {
		return Key{}, Record{}, err
	}
	return key, record, nil
}

func (o *Office) now() time.Time {
	if o.Clock != nil {
		return o.Clock().UTC()
	}
	return time.Now().UTC()
}

// create writes a record that nobody else can write: its hash is random. That
// it exists already means that an earlier sending took effect.
func (o *Office) create(ctx context.Context, record Record) error {
	value, err := json.Marshal(record)
	if err != nil {
		return &EncodeError{
			Cause: err,
		}
	}
	attempts := retrier{
		hash: record.Hash,
	}
	return attempts.run(ctx, func() error {
		_, err := o.Store.Put(ctx, ObjectKey(record.Hash), value, objectstore.IfAbsent{})
		var exists *objectstore.ConflictError
		if errors.As(err, &exists) {
			return nil
		}
		return err
	})
}

// Withdraw puts a tombstone in the place of a key's record. Withdrawing a key
// again changes nothing and is no error. Errors are a [NoSuchKeyError], a
// [CorruptError], those of the store, or an [UnknownOutcomeError].
func (o *Office) Withdraw(ctx context.Context, hash Hash) (Record, error) {
	var record Record
	attempts := retrier{
		hash: hash,
	}
	err := attempts.run(ctx, func() error {
		var err error
		record, err = o.withdraw(ctx, hash)
		return err
	})
	if err != nil {
		return record, err
	}
	return record, o.announce(ctx, hash)
}

// announce writes the head, which ends a change of a record: hosts that see a
// head newer than their view know that a watch of theirs lags.
func (o *Office) announce(ctx context.Context, hash Hash) error {
	attempts := retrier{
		hash: hash,
		// The record itself is written, so a failure here is no refusal.
		uncertain: true,
	}
	return attempts.run(ctx, func() error {
		announced, err := o.announced(ctx, hash)
		if announced || err != nil {
			return err
		}
		_, err = o.Store.Put(ctx, HeadKey, []byte(hash.String()), objectstore.Always{})
		return err
	})
}

// announced says whether the head is newer than the record, which also shows
// that a write took effect whose answer was lost.
func (o *Office) announced(ctx context.Context, hash Hash) (bool, error) {
	record, err := o.Store.Get(ctx, ObjectKey(hash))
	if err != nil {
		return false, err
	}
	head, err := o.Store.Get(ctx, HeadKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return head.Version > record.Version, err
}

func (o *Office) withdraw(ctx context.Context, hash Hash) (Record, error) {
	object, err := o.Store.Get(ctx, ObjectKey(hash))
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return Record{}, &NoSuchKeyError{
			Hash: hash,
		}
	}
	if err != nil {
		return Record{}, err
	}
	record, err := ParseRecord(object)
	if err != nil || !record.Withdrawn.IsZero() {
		return record, err
	}
	record.Withdrawn = o.now()
	value, err := json.Marshal(record)
	if err != nil {
		return Record{}, &EncodeError{
			Cause: err,
		}
	}
	_, err = o.Store.Put(ctx, ObjectKey(hash), value, objectstore.IfVersion{
		Version: object.Version,
	})
	return record, err
}

// WithdrawTeam withdraws every key of a team and returns the records that are
// withdrawn by then. It stops at the first error.
func (o *Office) WithdrawTeam(ctx context.Context, team string) ([]Record, error) {
	records, err := List(ctx, o.Store)
	if err != nil {
		return nil, err
	}
	var withdrawn []Record
	for _, r := range records {
		if r.Team != team {
			continue
		}
		record, err := o.Withdraw(ctx, r.Hash)
		if err != nil {
			return withdrawn, err
		}
		withdrawn = append(withdrawn, record)
	}
	return withdrawn, nil
}
