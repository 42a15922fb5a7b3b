package table

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

const (
	// MaxParallelWrites is the maximum number of parts that a [Publisher] writes at
	// once.
	MaxParallelWrites = 8
	// MaxAttempts is the maximum number of times that a [Publisher] tries to write one
	// object, and to publish one edit.
	MaxAttempts = 5
	// InitialRetryDelay is the delay before the first retry; it doubles for each
	// further retry.
	InitialRetryDelay = 50 * time.Millisecond
)

// Edit is a new table to publish and its metadata.
type Edit struct {
	// ID identifies the edit; it must be the same when the edit is published again.
	ID EditID
	// Base is the version that the edit is based on, or 0 if no table had been
	// published.
	Base Version
	// Table is the complete table after the edit; its Version is ignored.
	Table  Table
	Author string
	Note   string
	// AutoMerge allows the edit to be merged if the table has changed since Base. The
	// merge fails if both sides changed the same row in different ways.
	AutoMerge bool
}

// PublishResult reports which version an edit created.
type PublishResult struct {
	Version Version `json:"version"`
	// AlreadyPublished is set if the edit had already been published by an earlier
	// call, or by an earlier attempt of the same call.
	AlreadyPublished bool `json:"held"`
	// CurrentVersion is the current version when Publish returned.
	CurrentVersion Version `json:"newest"`
}

// Publisher publishes new versions of the table.
type Publisher struct {
	Store objectstore.Store
	// Clock returns the time to record as the publication time; nil means
	// [time.Now].
	Clock func() time.Time
}

// Publish publishes the edit as the new current version. Readers see none of it until
// the last write, which replaces the head.
//
// The following errors mean that nothing was published: [InvalidError],
// [EncodeError], [PartTooLargeError], [ConflictError], [MergeConflictError],
// [VersionNotFoundError] (the table has changed since the base version, which was
// pruned), [EditIDReusedError], [MissingEditIDError] and [NotPublishedError]. An
// [UnknownOutcomeError] means that the edit may have been published.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (PublishResult, error) {
	if edit.ID == "" {
		return PublishResult{}, &MissingEditIDError{}
	}
	if err := Validate(edit.Table); err != nil {
		return PublishResult{}, err
	}
	parts, err := encodeParts(edit.Table)
	if err != nil {
		return PublishResult{}, err
	}
	run := publication{
		publisher:   p,
		edit:        edit,
		contentHash: hashParts(parts),
		publishedAt: p.now().UTC(),
	}
	return run.publish(ctx)
}

// Restore publishes the content of an earlier version as a new version; the Table of
// the edit is ignored. Errors are those of [Publisher.Publish] and [LoadEarlierVersion].
func (p *Publisher) Restore(ctx context.Context, version Version, edit Edit) (PublishResult, error) {
	earlier, err := LoadEarlierVersion(ctx, p.Store, version)
	if err != nil {
		return PublishResult{}, err
	}
	edit.Table = earlier.Table
	return p.Publish(ctx, edit)
}

func (p *Publisher) now() time.Time {
	if p.Clock != nil {
		return p.Clock()
	}
	return time.Now()
}

// contentHashLength is the length of [RecentEdit.ContentHash] in hexadecimal digits.
const contentHashLength = 16

// hashParts returns the content hash of an edit, as described at
// [RecentEdit.ContentHash].
func hashParts(parts []encodedPart) Hash {
	var hashes []byte
	for _, part := range parts {
		hashes = append(hashes, part.hash...)
	}
	return hashOf(hashes)[:contentHashLength]
}
