package team

import "fmt"

// NoKeyError reports a request without a key.
type NoKeyError struct{}

func (e *NoKeyError) Error() string { return "no key was given" }

// MalformedKeyError reports a text that cannot be a key. It does not repeat the
// text: it may be a real key with a slip in it.
type MalformedKeyError struct{}

func (e *MalformedKeyError) Error() string {
	return fmt.Sprintf("the key is malformed; accepted: %s and %d characters of URL-safe base 64", APIKeyPrefix, APIKeyLength-len(APIKeyPrefix))
}

// UnknownKeyError reports a key that was never issued, or so lately that this
// view does not have it yet.
type UnknownKeyError struct{}

func (e *UnknownKeyError) Error() string { return "the key is not known" }

// WithdrawnKeyError reports a key that was withdrawn.
type WithdrawnKeyError struct {
	Team string
}

func (e *WithdrawnKeyError) Error() string {
	return fmt.Sprintf("the key of team %q was withdrawn", e.Team)
}

// MalformedHashError reports a text that is no hash of a key.
type MalformedHashError struct {
	Text string
}

func (e *MalformedHashError) Error() string {
	return fmt.Sprintf("%q names no key; accepted: 64 hexadecimal digits", e.Text)
}

// InvalidTeamNameError reports a name that no team can have.
type InvalidTeamNameError struct {
	Team string
}

func (e *InvalidTeamNameError) Error() string {
	return fmt.Sprintf("%q is no name of a team; accepted: a name that the table's checks accept", e.Team)
}

// RandomSourceError reports that the random source failed.
type RandomSourceError struct {
	Cause error
}

func (e *RandomSourceError) Error() string { return "drawing a key: " + e.Cause.Error() }

func (e *RandomSourceError) Unwrap() error { return e.Cause }

// CorruptRecordError reports an object of the store that is no key's record.
type CorruptRecordError struct {
	ObjectKey string
	Cause     error
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("object %q is no record of a key: %v", e.ObjectKey, e.Cause)
}

func (e *CorruptRecordError) Unwrap() error { return e.Cause }

// EncodeError reports that a record could not be encoded.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return "encoding the record of a key: " + e.Cause.Error() }

func (e *EncodeError) Unwrap() error { return e.Cause }

// NoSuchKeyError reports that no key of this hash was issued.
type NoSuchKeyError struct {
	Hash Hash
}

func (e *NoSuchKeyError) Error() string { return fmt.Sprintf("no key %s was issued", e.Hash) }

// UnknownOutcomeError reports that the key may or may not have been issued or
// withdrawn. Withdrawing it is safe either way, as often as needed.
type KeyChangeUnknownError struct {
	Hash  Hash
	Cause error
}

func (e *KeyChangeUnknownError) Error() string {
	return fmt.Sprintf("the outcome for key %s is unknown, withdraw it (again): %v", e.Hash, e.Cause)
}

func (e *KeyChangeUnknownError) Unwrap() error { return e.Cause }
