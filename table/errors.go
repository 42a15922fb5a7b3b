package table

import (
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// EncodeError reports that an object of the table could not be encoded as JSON.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return "encode the table as JSON: " + e.Cause.Error() }

func (e *EncodeError) Unwrap() error { return e.Cause }

// PartTooLargeError reports an encoded part that exceeds the store's limit,
// [objectstore.MaxValueSize].
type PartTooLargeError struct {
	// Size is the size of the part in bytes.
	Size int
}

func (e *PartTooLargeError) Error() string {
	return fmt.Sprintf("a part of the table has %d bytes; accepted: up to %d", e.Size, objectstore.MaxValueSize)
}

// CorruptObjectError reports a stored object whose content cannot be decoded, does
// not match the hash in its key, or does not match the object that refers to it.
type CorruptObjectError struct {
	Key string
	// Cause is the decoding error; nil if the content could be decoded but does not
	// match, or was not decoded.
	Cause error
}

func (e *CorruptObjectError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("the content of object %q is corrupt: it does not match its hash or the object that refers to it", e.Key)
	}
	return fmt.Sprintf("the content of object %q cannot be decoded: %v", e.Key, e.Cause)
}

func (e *CorruptObjectError) Unwrap() error { return e.Cause }

// NoTableError reports that no table has been published.
type NoTableError struct{}

func (e *NoTableError) Error() string { return "no table has been published" }

// VersionNotFoundError reports that a version does not exist or was pruned.
type VersionNotFoundError struct {
	Version Version
	// Oldest is the oldest version that was searched and Newest the current one. The
	// search ends at the requested version, so a Version above Newest gives an Oldest
	// equal to Newest, even if there are older versions.
	Oldest Version
	Newest Version
}

func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("version %d of the table does not exist; accepted: %d to %d", e.Version, e.Oldest, e.Newest)
}

// ConflictError reports that the table has changed since the base version of the
// edit; nothing was published.
type ConflictError struct {
	Base    Version
	Current Version
	// Ours are the changes made by the edit, Theirs the changes published since
	// the base version.
	Ours   []Change
	Theirs []Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit is based on version %d, but the current version is %d: the edit changes %d rows, versions published since changed %d",
		e.Base, e.Current, len(e.Ours), len(e.Theirs))
}

// EditIDReusedError reports that an earlier edit with different content has the
// same ID; nothing was published.
type EditIDReusedError struct {
	EditID  EditID
	Version Version
}

func (e *EditIDReusedError) Error() string {
	return fmt.Sprintf("edit ID %q is already used by the edit that created version %d with different content", e.EditID, e.Version)
}

// MissingEditIDError reports an edit without an ID.
type MissingEditIDError struct{}

func (e *MissingEditIDError) Error() string {
	return "the edit has no ID; accepted: any text that no other edit uses"
}

// UnknownOutcomeError reports that the edit may or may not have been published.
// Publishing it again with the same ID is safe while the edit is recognized; see
// [MaxRecentEdits].
type UnknownOutcomeError struct {
	EditID EditID
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("edit %q may or may not have been published; publish it again with the same ID: %v", e.EditID, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotPublishedError reports that an error, usually one of the store, prevented the
// edit; nothing was published.
type NotPublishedError struct {
	EditID EditID
	Cause  error
}

func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("edit %q was not published: %v", e.EditID, e.Cause)
}

func (e *NotPublishedError) Unwrap() error { return e.Cause }
