package team

import (
	"encoding/json"
	"strings"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// RecordPrefix starts the keys of the store under which the records lie.
const KeyRecordPrefix = "keys/"

// HeadObjectKey is written after each change of a record, so that its version is that
// of the last change or later.
const HeadObjectKey = "keys-head"

// KeyRecord is what the store holds of a key. A withdrawn record is a tombstone:
// it stays, and stays withdrawn.
type KeyRecord struct {
	Hash   Hash      `json:"hash"`
	Team   string    `json:"team"`
	Note   string    `json:"note,omitempty"`
	Issued time.Time `json:"issued"`
	// Withdrawn is the time of the withdrawal, zero for a key that is good.
	Withdrawn time.Time `json:"withdrawn,omitzero"`
}

// ObjectKey returns the key of the store under which a record lies.
func ObjectKey(h Hash) string { return KeyRecordPrefix + h.String() }

// ParseKeyRecord reads an object of the store. Errors are a [CorruptRecordError].
func ParseKeyRecord(object objectstore.Object) (KeyRecord, error) {
	corrupt := func(cause error) error {
		return &CorruptRecordError{
			ObjectKey: object.Key,
			Cause:     cause,
		}
	}
	hash, err := ParseHash(strings.TrimPrefix(object.Key, KeyRecordPrefix))
	if err != nil {
		return KeyRecord{}, corrupt(err)
	}
	var r KeyRecord
	if err := json.Unmarshal(object.Value, &r); err != nil {
		return KeyRecord{}, corrupt(err)
	}
	if r.Hash != hash {
		return KeyRecord{}, corrupt(&MalformedHashError{
			Text: r.Hash.String(),
		})
	}
	return r, nil
}
