package table

import (
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// EncodeError reports that an object could not be encoded.
type EncodeError struct {
	Cause error
}

func (e *EncodeError) Error() string { return "encoding the table: " + e.Cause.Error() }

func (e *EncodeError) Unwrap() error { return e.Cause }

// TooLargeError reports a part over the store's limit.
type PartTooLargeError struct {
	// Size is in bytes.
	Size int
}

func (e *PartTooLargeError) Error() string {
	return fmt.Sprintf("a part of the table has %d bytes; accepted: up to %d", e.Size, objectstore.MaxValueSize)
}

// CorruptError reports an object of the store whose content is not what its
// name or the head promise.
type CorruptObjectError struct {
	Key   string
	Cause error
}

func (e *CorruptObjectError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("object %q does not hold what its sum promises", e.Key)
	}
	return fmt.Sprintf("object %q cannot be read: %v", e.Key, e.Cause)
}

func (e *CorruptObjectError) Unwrap() error { return e.Cause }

// NoTableError reports that no table has been published.
type NoTableError struct{}

func (e *NoTableError) Error() string { return "no table has been published" }

// NoVersionError reports that there is no such version, or that it was pruned.
type VersionNotFoundError struct {
	Version Version
	// OldestKept is the oldest version that was looked at, Newest the one in force.
	Oldest Version
	Newest Version
}

func (e *VersionNotFoundError) Error() string {
	return fmt.Sprintf("there is no version %d; accepted: %d to %d", e.Version, e.Oldest, e.Newest)
}

// ConflictError reports that the table has changed since the version that the
// edit started from; nothing was published.
type ConflictError struct {
	Base    Version
	Current Version
	// Ours are the changes of the edit, Theirs what was published meanwhile.
	Ours   []Change
	Theirs []Change
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the edit starts from version %d, the table is at version %d: the edit changes %d rows, others changed %d",
		e.Base, e.Current, len(e.Ours), len(e.Theirs))
}

// EditReusedError reports an identifier that an earlier edit of another
// content has; nothing was published.
type EditIDReusedError struct {
	EditID  EditID
	Version Version
}

func (e *EditIDReusedError) Error() string {
	return fmt.Sprintf("edit %q has already made version %d, with another content", e.EditID, e.Version)
}

// NoEditError reports an edit without an identifier.
type MissingEditIDError struct{}

func (e *MissingEditIDError) Error() string {
	return "the edit has no identifier; accepted: any text that no other edit has"
}

// UnknownOutcomeError reports that the edit may or may not have been
// published. Publishing it again under the same identifier is safe.
type UnknownOutcomeError struct {
	EditID EditID
	Cause  error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("edit %q may have been published, send it again under the same identifier: %v", e.EditID, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// NotPublishedError reports that the store did not let the edit through;
// nothing was published.
type NotPublishedError struct {
	EditID EditID
	Cause  error
}

func (e *NotPublishedError) Error() string {
	return fmt.Sprintf("edit %q was not published: %v", e.EditID, e.Cause)
}

func (e *NotPublishedError) Unwrap() error { return e.Cause }
