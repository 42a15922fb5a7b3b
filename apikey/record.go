package apikey

import (
	"encoding/json"
	"strings"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// KeyRecordPrefix starts the object keys of key records in the store.
const KeyRecordPrefix = "keys/"

// HeadObjectKey is the object key of the head. The head is a marker that is written
// after each change of a key record, so that its version is never older than that
// of the last completed change. A host that reads a head with a newer version than
// its view knows that its watch is behind.
const HeadObjectKey = "keys-head"

// KeyRecord is the stored record of an API key. The record of a withdrawn key is
// a tombstone: it is never deleted and the key stays withdrawn.
type KeyRecord struct {
	Hash     Hash      `json:"hash"`
	Team     string    `json:"team"`
	Note     string    `json:"note,omitempty"`
	IssuedAt time.Time `json:"issued"`
	// WithdrawnAt is the time of the withdrawal; zero for a valid key.
	WithdrawnAt time.Time `json:"withdrawn,omitzero"`
}

// ObjectKey returns the object key of the record of an API key.
func ObjectKey(h Hash) string { return KeyRecordPrefix + h.String() }

// ParseKeyRecord decodes an object of the store. It returns a
// [CorruptRecordError] if the object is not a record.
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
