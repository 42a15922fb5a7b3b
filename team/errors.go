package team

import "fmt"

// NoKeyError reports a request without an API key.
type NoKeyError struct{}

func (e *NoKeyError) Error() string { return "no key was given" }

// MalformedKeyError reports a text that cannot be an API key. It does not repeat
// the text, which may be a real key with a typing error.
type MalformedKeyError struct{}

func (e *MalformedKeyError) Error() string {
	return fmt.Sprintf("the key is malformed; accepted: %s and %d characters of URL-safe base 64", APIKeyPrefix, APIKeyLength-len(APIKeyPrefix))
}

// UnknownKeyError reports an API key that was never issued, or so recently that
// this view does not include it yet.
type UnknownKeyError struct{}

func (e *UnknownKeyError) Error() string { return "the key is not known" }

// WithdrawnKeyError reports an API key that was withdrawn.
type WithdrawnKeyError struct {
	Team string
}

func (e *WithdrawnKeyError) Error() string {
	return fmt.Sprintf("the key of team %q was withdrawn", e.Team)
}

// MalformedHashError reports a text that is not the hash of an API key.
type MalformedHashError struct {
	Text string
}

func (e *MalformedHashError) Error() string {
	return fmt.Sprintf("%q is not the hash of a key; accepted: 64 hexadecimal digits", e.Text)
}

// InvalidTeamNameError reports a text that is not a valid team name.
type InvalidTeamNameError struct {
	Team string
}

func (e *InvalidTeamNameError) Error() string {
	return fmt.Sprintf("%q is not a valid team name; accepted: the names that are valid in the table", e.Team)
}

// RandomSourceError reports that the random source failed.
type RandomSourceError struct {
	Cause error
}

func (e *RandomSourceError) Error() string { return "generating a key: " + e.Cause.Error() }

func (e *RandomSourceError) Unwrap() error { return e.Cause }

// CorruptRecordError reports an object of the store that is not a valid
// [KeyRecord].
type CorruptRecordError struct {
	ObjectKey string
	Cause     error
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("object %q is not a valid record of a key: %v", e.ObjectKey, e.Cause)
}

func (e *CorruptRecordError) Unwrap() error { return e.Cause }

// EncodeError reports that a record could not be encoded.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return "encoding the record of a key: " + e.Cause.Error() }

func (e *EncodeError) Unwrap() error { return e.Cause }

// NoSuchKeyError reports that no API key with this hash was issued.
type NoSuchKeyError struct {
	Hash Hash
}

func (e *NoSuchKeyError) Error() string { return fmt.Sprintf("no key with hash %s was issued", e.Hash) }

// UnknownOutcomeError reports that an API key may or may not have been issued or
// withdrawn. In both cases it is safe to withdraw the key, any number of times.
type KeyChangeUnknownError struct {
	Hash  Hash
	Cause error
}

func (e *KeyChangeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether the change of key %s took effect, withdraw the key (again): %v", e.Hash, e.Cause)
}

func (e *KeyChangeUnknownError) Unwrap() error { return e.Cause }
