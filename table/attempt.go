package table

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// publication is the process of publishing one edit, including retries.
type publication struct {
	publisher   *Publisher
	edit        Edit
	contentHash Hash
	publishedAt time.Time
	// headWriteUncertain is set once the outcome of a write of the head is unknown.
	// Such a write may still take effect at any later time.
	headWriteUncertain bool
}

// storedHead is the head as read from the store. The store's version of the object
// is 0 if there is no head yet.
type storedHead struct {
	head             Head
	headStoreVersion objectstore.Version
}

func (p *publication) publish(ctx context.Context) (PublishResult, error) {
	var lastError error
	for attempt := range MaxAttempts {
		if err := waitBeforeRetry(ctx, attempt); err != nil {
			return PublishResult{}, p.publishError(err)
		}
		result, retryable, err := p.tryPublish(ctx)
		if !retryable {
			return result, err
		}
		lastError = err
	}
	return PublishResult{}, p.publishError(lastError)
}

// tryPublish reads the current head, writes the version that the edit creates, and
// replaces the head. The second result reports whether a retry may succeed.
func (p *publication) tryPublish(ctx context.Context) (PublishResult, bool, error) {
	current, err := p.readHead(ctx)
	if err != nil {
		return PublishResult{}, isRetryable(err), p.publishError(err)
	}
	if result, found, err := p.findRecentEdit(current.head); found || err != nil {
		return result, false, err
	}
	next, err := p.rebase(ctx, current.head)
	if err != nil {
		return PublishResult{}, isRetryable(err), err
	}
	head, err := p.writeVersion(ctx, current, next)
	if err != nil {
		return PublishResult{}, isRetryable(err), p.publishError(err)
	}
	if err := p.writeHead(ctx, current, head); err != nil {
		return PublishResult{}, isRetryable(err), p.publishError(err)
	}
	return PublishResult{
		Version:        head.Version,
		CurrentVersion: head.Version,
	}, false, nil
}

// publishError wraps the cause in an [UnknownOutcomeError] if the edit may have been
// published, else in a [NotPublishedError]. It returns a cause that is one of these
// errors as it is.
func (p *publication) publishError(cause error) error {
	var unknown *UnknownOutcomeError
	var notPublished *NotPublishedError
	if errors.As(cause, &unknown) || errors.As(cause, &notPublished) {
		return cause
	}
	if p.headWriteUncertain {
		return &UnknownOutcomeError{
			EditID: p.edit.ID,
			Cause:  cause,
		}
	}
	return &NotPublishedError{
		EditID: p.edit.ID,
		Cause:  cause,
	}
}

// isRetryable reports whether the operation may succeed on a retry. A conflict on
// the head means that another edit was published first: the retry reads the new
// head and decides whether the edit still applies.
func isRetryable(err error) bool {
	var conflict *objectstore.ConflictError
	var unavailable *objectstore.UnavailableError
	var unknown *objectstore.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) || errors.As(err, &unknown)
}

// waitBeforeRetry waits before each attempt except the first, with a delay that
// doubles each time.
func waitBeforeRetry(ctx context.Context, attempt int) error {
	if attempt == 0 {
		return nil
	}
	timer := time.NewTimer(InitialRetryDelay << (attempt - 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (p *publication) readHead(ctx context.Context) (storedHead, error) {
	object, err := p.publisher.Store.Get(ctx, HeadKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := decodeHead(object.Value)
	return storedHead{
		head:             head,
		headStoreVersion: object.Version,
	}, err
}

// findRecentEdit looks up the edit among the recent edits of the head, and reports
// whether it is there. It returns an [EditIDReusedError] if the ID is there with
// different content.
func (p *publication) findRecentEdit(head Head) (PublishResult, bool, error) {
	for _, e := range head.RecentEdits {
		if e.ID != p.edit.ID {
			continue
		}
		if e.ContentHash != p.contentHash {
			return PublishResult{}, false, &EditIDReusedError{
				EditID:  e.ID,
				Version: e.Version,
			}
		}
		return PublishResult{
			Version:          e.Version,
			AlreadyPublished: true,
			CurrentVersion:   head.Version,
		}, true, nil
	}
	return PublishResult{}, false, nil
}

// rebase returns the table to publish on top of the head: the table of the edit if
// the head is at the edit's base version, else the merged table if the edit allows merging,
// else a [ConflictError].
func (p *publication) rebase(ctx context.Context, head Head) (Table, error) {
	if head.Version == p.edit.Base {
		return p.edit.Table, nil
	}
	base, current, err := p.loadBaseAndCurrent(ctx, head)
	var notFound *VersionNotFoundError
	if errors.As(err, &notFound) {
		// The base version was pruned or never existed, so the changes since it are
		// unknown. Nothing was published, because the head is not at the base version.
		return Table{}, notFound
	}
	if err != nil {
		return Table{}, p.publishError(err)
	}
	if p.edit.AutoMerge {
		return Merge(base, p.edit.Table, current)
	}
	return Table{}, &ConflictError{
		Base:    p.edit.Base,
		Current: head.Version,
		Ours:    Diff(base, p.edit.Table),
		Theirs:  Diff(base, current),
	}
}

// loadBaseAndCurrent loads the base version of the edit and the current version.
func (p *publication) loadBaseAndCurrent(ctx context.Context, head Head) (base, current Table, err error) {
	if head.Version > 0 {
		reader := Reader{}
		snapshot, err := reader.LoadVersion(ctx, p.publisher.Store, head)
		if err != nil {
			return Table{}, Table{}, err
		}
		current = snapshot.Table
	}
	if p.edit.Base > 0 {
		snapshot, err := LoadEarlierVersion(ctx, p.publisher.Store, p.edit.Base)
		if err != nil {
			return Table{}, Table{}, err
		}
		base = snapshot.Table
	}
	return base, current, nil
}

func (p *publication) writeHead(ctx context.Context, current storedHead, head Head) error {
	content, err := json.Marshal(head)
	if err != nil {
		return &EncodeError{
			Cause: err,
		}
	}
	_, err = p.publisher.Store.Put(ctx, HeadKey, content, headCondition(current))
	if err != nil && !hadNoEffect(err) {
		p.headWriteUncertain = true
	}
	return err
}

// hadNoEffect reports whether the store's error guarantees that the write did not
// take effect.
func hadNoEffect(err error) bool {
	var conflict *objectstore.ConflictError
	var unavailable *objectstore.UnavailableError
	var refused *objectstore.RefusedError
	return errors.As(err, &conflict) || errors.As(err, &unavailable) || errors.As(err, &refused)
}

func headCondition(current storedHead) objectstore.Condition {
	if current.headStoreVersion == 0 {
		return objectstore.IfAbsent{}
	}
	return objectstore.IfVersion{
		Version: current.headStoreVersion,
	}
}
