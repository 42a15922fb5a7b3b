package apikey

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
	// MaxWriteAttempts is the maximum number of attempts of one write.
	MaxWriteAttempts = 5
	// FirstRetryDelay is the delay before the first retry. It doubles with each
	// further retry.
	FirstRetryDelay = 50 * time.Millisecond
)

// KeyManager issues and withdraws API keys in the store.
type KeyManager struct {
	Store objectstore.Store
	// Clock returns the times that are stored in records; nil means [time.Now].
	Clock func() time.Time
	// Random is the source of the secrets; nil means the system's random source.
	Random io.Reader
}

// Issue issues an API key to a team. The key is returned and kept nowhere else.
// The note is stored in the record.
//
// Issue returns an [InvalidTeamNameError], a [RandomSourceError], an
// [EncodeError] or an error of the store if no key was issued, and a
// [KeyChangeUnknownError] if it is unknown whether the key was issued.
func (m *KeyManager) Issue(ctx context.Context, team, note string) (APIKey, KeyRecord, error) {
	if !table.IsValidName(team) {
		return APIKey{}, KeyRecord{}, &InvalidTeamNameError{
			Team: team,
		}
	}
	key, err := NewAPIKey(m.Random)
	if err != nil {
		return APIKey{}, KeyRecord{}, err
	}
	record := KeyRecord{
		Hash:     key.Hash(),
		Team:     team,
		Note:     note,
		IssuedAt: m.now(),
	}
	if err := m.create(ctx, record); err != nil {
		return APIKey{}, KeyRecord{}, err
	}
	if err := m.updateHead(ctx, record.Hash); err != nil {
		return APIKey{}, KeyRecord{}, err
	}
	return key, record, nil
}

func (m *KeyManager) now() time.Time {
	if m.Clock != nil {
		return m.Clock().UTC()
	}
	return time.Now().UTC()
}

// create writes the record of a new API key. Since the hash is random, nothing
// else writes an object with the same object key: if it exists already, an earlier
// attempt took effect.
func (m *KeyManager) create(ctx context.Context, record KeyRecord) error {
	value, err := json.Marshal(record)
	if err != nil {
		return &EncodeError{
			Cause: err,
		}
	}
	retries := retrier{
		hash: record.Hash,
	}
	return retries.run(ctx, func() error {
		_, err := m.Store.Put(ctx, ObjectKey(record.Hash), value, objectstore.IfAbsent{})
		var exists *objectstore.ConflictError
		if errors.As(err, &exists) {
			return nil
		}
		return err
	})
}

// Withdraw replaces the record of an API key by a tombstone. Withdrawing a key
// again changes nothing and is not an error. Withdraw returns a [NoSuchKeyError], a
// [CorruptRecordError], an [EncodeError], an error of the store, or a
// [KeyChangeUnknownError] if it is unknown whether the key was withdrawn.
func (m *KeyManager) Withdraw(ctx context.Context, hash Hash) (KeyRecord, error) {
	var record KeyRecord
	retries := retrier{
		hash: hash,
	}
	err := retries.run(ctx, func() error {
		var err error
		record, err = m.writeTombstone(ctx, hash)
		return err
	})
	if err != nil {
		return record, err
	}
	return record, m.updateHead(ctx, hash)
}

// updateHead writes the head, as the last step of a change of a record. A host
// that reads a head newer than its view learns that its watch is behind.
func (m *KeyManager) updateHead(ctx context.Context, hash Hash) error {
	retries := retrier{
		hash: hash,
		// The record is written already.
		mayHaveChanged: true,
	}
	return retries.run(ctx, func() error {
		isUpdated, err := m.isHeadUpdated(ctx, hash)
		if isUpdated || err != nil {
			return err
		}
		_, err = m.Store.Put(ctx, HeadObjectKey, []byte(hash.String()), objectstore.Always{})
		return err
	})
}

// isHeadUpdated reports whether the head is newer than the record. It also
// detects a write of the head that took effect although its reply was lost.
func (m *KeyManager) isHeadUpdated(ctx context.Context, hash Hash) (bool, error) {
	record, err := m.Store.Get(ctx, ObjectKey(hash))
	if err != nil {
		return false, err
	}
	head, err := m.Store.Get(ctx, HeadObjectKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return false, nil
	}
	return head.Version > record.Version, err
}

func (m *KeyManager) writeTombstone(ctx context.Context, hash Hash) (KeyRecord, error) {
	object, err := m.Store.Get(ctx, ObjectKey(hash))
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
	if err != nil || !record.WithdrawnAt.IsZero() {
		return record, err
	}
	record.WithdrawnAt = m.now()
	value, err := json.Marshal(record)
	if err != nil {
		return KeyRecord{}, &EncodeError{
			Cause: err,
		}
	}
	_, err = m.Store.Put(ctx, ObjectKey(hash), value, objectstore.IfVersion{
		Version: object.Version,
	})
	return record, err
}

// WithdrawTeam withdraws all API keys of a team and returns their records. It stops
// at the first error and returns the records of the keys withdrawn so far.
func (m *KeyManager) WithdrawTeam(ctx context.Context, team string) ([]KeyRecord, error) {
	records, err := ListKeyRecords(ctx, m.Store)
	if err != nil {
		return nil, err
	}
	var withdrawn []KeyRecord
	for _, r := range records {
		if r.Team != team {
			continue
		}
		record, err := m.Withdraw(ctx, r.Hash)
		if err != nil {
			return withdrawn, err
		}
		withdrawn = append(withdrawn, record)
	}
	return withdrawn, nil
}
