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

// UnknownKeyError reports an API key that is not in the view: it was never issued,
// or so recently that the view does not include it yet.
type UnknownKeyError struct{}

func (e *UnknownKeyError) Error() string { return "the key is not known" }

// WithdrawnKeyError reports an API key that was withdrawn.
type WithdrawnKeyError struct {
	Team string
}

func (e *WithdrawnKeyError) Error() string {
	return fmt.Sprintf("the key of team %q was withdrawn", e.Team)
}

// MalformedHashError reports a text that is not the hash of an API key, or a record
// whose hash differs from the one in its object key.
type MalformedHashError struct {
	Text string
}

func (e *MalformedHashError) Error() string {
	return fmt.Sprintf("invalid hash of a key %q; accepted: 64 hexadecimal digits, and in a record the hash in its object key", e.Text)
}

// InvalidTeamNameError reports a text that is not a valid team name.
type InvalidTeamNameError struct {
	Team string
}

func (e *InvalidTeamNameError) Error() string {
	return fmt.Sprintf("%q is not a valid team name; accepted: 1 to 63 lower-case letters, digits and hyphens, with no hyphen at either end", e.Team)
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

// KeyChangeUnknownError reports that an API key may or may not have been issued or
// withdrawn. In both cases it is safe to withdraw the key, any number of times.
type KeyChangeUnknownError struct {
	Hash  Hash
	Cause error
}

func (e *KeyChangeUnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether the change of key %s took effect; it is safe to withdraw the key: %v", e.Hash, e.Cause)
}

func (e *KeyChangeUnknownError) Unwrap() error { return e.Cause }
