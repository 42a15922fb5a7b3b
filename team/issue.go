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
	// MaxWriteAttempts is how often one write is sent.
	MaxWriteAttempts = 5
	// FirstRetryDelay is the pause after the first failure; it doubles.
	FirstRetryDelay = 50 * time.Millisecond
)

// KeyManager issues and withdraws keys.
type KeyManager struct {
	Store objectstore.Store
	// Clock gives the times in records; nil means [time.Now].
	Clock func() time.Time
	// Random gives the secrets; nil means the system's random source.
	Random io.Reader
}

// Issue makes a key for a team. The key exists nowhere but in the answer.
// Errors are a [InvalidTeamNameError], those of the store, which issued nothing,
// or an [KeyChangeUnknownError].
func (o *KeyManager) Issue(ctx context.Context, team, note string) (APIKey, KeyRecord, error) {
	if !table.IsValidName(team) {
		return APIKey{}, KeyRecord{}, &InvalidTeamNameError{
			Team: team,
		}
	}
	key, err := NewAPIKey(o.Random)
	if err != nil {
		return APIKey{}, KeyRecord{}, err
	}
	record := KeyRecord{
		Hash:   key.Hash(),
		Team:   team,
		Note:   note,
		Issued: o.now(),
	}
	if err := o.create(ctx, record); err != nil {
		return APIKey{}, KeyRecord{}, err
	}
	if err := o.announce(ctx, record.Hash); err != nil {
		return APIKey{}, KeyRecord{}, err
	}
	return key, record, nil
}

func (o *KeyManager) now() time.Time {
	if o.Clock != nil {
		return o.Clock().UTC()
	}
	return time.Now().UTC()
}

// create writes a record that nobody else can write: its hash is random. That
// it exists already means that an earlier sending took effect.
func (o *KeyManager) create(ctx context.Context, record KeyRecord) error {
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
// [CorruptRecordError], those of the store, or an [KeyChangeUnknownError].
func (o *KeyManager) Withdraw(ctx context.Context, hash Hash) (KeyRecord, error) {
	var record KeyRecord
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
func (o *KeyManager) announce(ctx context.Context, hash Hash) error {
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
		_, err = o.Store.Put(ctx, HeadObjectKey, []byte(hash.String()), objectstore.Always{})
		return err
	})
}

// announced says whether the head is newer than the record, which also shows
// that a write took effect whose answer was lost.
func (o *KeyManager) announced(ctx context.Context, hash Hash) (bool, error) {
	record, err := o.Store.Get(ctx, ObjectKey(hash))
	if err != nil {
		return false, err
	}
	head, err := o.Store.Get(ctx, HeadObjectKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return head.Version > record.Version, err
}

func (o *KeyManager) withdraw(ctx context.Context, hash Hash) (KeyRecord, error) {
	object, err := o.Store.Get(ctx, ObjectKey(hash))
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return KeyRecord{}, &NoSuchKeyError{
			Hash: hash,
		}
	}
	if err != nil {
		return KeyRecord{}, err
	}
	record, err := ParseKeyRecord(object)
	if err != nil || !record.Withdrawn.IsZero() {
		return record, err
	}
	record.Withdrawn = o.now()
	value, err := json.Marshal(record)
	if err != nil {
		return KeyRecord{}, &EncodeError{
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
func (o *KeyManager) WithdrawTeam(ctx context.Context, team string) ([]KeyRecord, error) {
	records, err := ListKeyRecords(ctx, o.Store)
	if err != nil {
		return nil, err
	}
	var withdrawn []KeyRecord
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
