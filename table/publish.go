package table

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

const (
	// MaxParallelWrites is how many parts a publisher writes at once.
	MaxParallelWrites = 8
	// MaxAttempts is how often a publisher sends one write.
	MaxAttempts = 5
	// InitialRetryDelay is the pause after the first failure; it doubles.
	InitialRetryDelay = 50 * time.Millisecond
)

// EditID is a table that an operator wants in force.
type Edit struct {
	// ID stays the same however often the edit is sent.
	ID EditID
	// Base is the version that the operator edited; zero if there was none.
	Base Version
	// Table is the whole table after the edit; its version is ignored.
	Table  Table
	Author string
	Note   string
	// Merge applies the edit to a table that has changed since Base, if no row
	// was changed by both.
	AutoMerge bool
}

// PublishResult says which version an edit made.
type PublishResult struct {
	Version Version `json:"version"`
	// AlreadyPublished is set if an earlier sending of the edit had made the version.
	AlreadyPublished bool `json:"held"`
	// CurrentVersion is the version in force when the receipt was written.
	CurrentVersion Version `json:"newest"`
}

// Publisher makes new versions of the table.
type Publisher struct {
	Store objectstore.Store
	// Clock gives the time of publication; nil means [time.Now].
	Clock func() time.Time
}

// Publish makes the edit the version in force. Until the last write, that of
// the head, nobody sees anything of it. Errors that mean that nothing was
// published: [InvalidError], [ConflictError], [MergeConflictError], [VersionNotFoundError]
// (a conflict whose base is gone), [EditIDReusedError], [MissingEditIDError],
// [NotPublishedError]. An
// [UnknownOutcomeError] means that it may have been.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (PublishResult, error) {
	if edit.ID == "" {
		return PublishResult{}, &MissingEditIDError{}
	}
	if err := Validate(edit.Table); err != nil {
		return PublishResult{}, err
	}
	parts, err := split(edit.Table)
	if err != nil {
		return PublishResult{}, err
	}
	a := attempt{
		publisher: p,
		edit:      edit,
		content:   sumOfParts(parts),
		published: p.now().UTC(),
	}
	return a.run(ctx)
}

// Restore publishes the content of an earlier version as a new one. Errors are
// those of [Publisher.Publish] and [ReadVersion].
func (p *Publisher) Restore(ctx context.Context, version Version, edit Edit) (PublishResult, error) {
	earlier, err := ReadVersion(ctx, p.Store, version)
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

// contentLength is how much of the sum over an edit's parts the head remembers,
// in hexadecimal digits.
const contentLength = 16

func sumOfParts(parts []encodedPart) Hash {
	var sums []byte
	for _, part := range parts {
		sums = append(sums, part.sum...)
	}
	return sumOf(sums)[:contentLength]
}
