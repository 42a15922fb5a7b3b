package table

import (
	"context"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

const (
	// ParallelWrites is how many parts a publisher writes at once.
	ParallelWrites = 8
	// MaxAttempts is how often a publisher sends one write.
	MaxAttempts = 5
	// FirstRetryDelay is the pause after the first failure; it doubles.
	FirstRetryDelay = 50 * time.Millisecond
)

// Edit is a table that an operator wants in force.
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
	Merge bool
}

// Receipt says which version an edit made.
type Receipt struct {
	Version Version `json:"version"`
	// Held is set if an earlier sending of the edit had made the version.
	Held bool `json:"held"`
	// Newest is the version in force when the receipt was written.
	Newest Version `json:"newest"`
}

// Publisher makes new versions of the table.
type Publisher struct {
	Store objectstore.Store
	// Clock gives the time of publication; nil means [time.Now].
	Clock func() time.Time
}

// Publish makes the edit the version in force. Until the last write, that of
// the head, nobody sees anything of it. Errors that mean that nothing was
// published: [InvalidError], [ConflictError], [OverlapError], [NoVersionError]
// (a conflict whose base is gone), [EditReusedError], [NoEditError],
// [NotPublishedError]. An
// [UnknownOutcomeError] means that it may have been.
func (p *Publisher) Publish(ctx context.Context, edit Edit) (Receipt, error) {
	if edit.ID == "" {
		return Receipt{}, &NoEditError{}
	}
	if err := Check(edit.Table); err != nil {
		return Receipt{}, err
	}
	parts, err := split(edit.Table)
	if err != nil {
		return Receipt{}, err
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
func (p *Publisher) Restore(ctx context.Context, version Version, edit Edit) (Receipt, error) {
	earlier, err := ReadVersion(ctx, p.Store, version)
	if err != nil {
		return Receipt{}, err
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

func sumOfParts(parts []encodedPart) Sum {
	var sums []byte
	for _, part := range parts {
		sums = append(sums, part.sum...)
	}
	return sumOf(sums)[:contentLength]
}
