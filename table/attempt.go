package table

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// publication is the publishing of one edit.
type publication struct {
	publisher *Publisher
	edit      Edit
	contentHash   Hash
	publishedAt time.Time
	// headWriteUncertain is set once a write of the head was sent whose outcome is not
	// known: it may take effect at any time later.
	headWriteUncertain bool
}

// storedHead is the head with the store's version of it, zero if absent.
type storedHead struct {
	head   Head
	storeVersion objectstore.Version
}

func (a *publication) publish(ctx context.Context) (PublishResult, error) {
	var last error
	for try := range MaxAttempts {
		if err := waitBeforeRetry(ctx, try); err != nil {
			return PublishResult{}, a.publishError(err)
		}
		receipt, again, err := a.tryPublish(ctx)
		if !again {
			return receipt, err
		}
		last = err
	}
	return PublishResult{}, a.publishError(last)
}

// tryPublish reads the head and writes the next one. It says whether trying again can
// help.
func (a *publication) tryPublish(ctx context.Context) (PublishResult, bool, error) {
	current, err := a.readHead(ctx)
	if err != nil {
		return PublishResult{}, isRetryable(err), a.publishError(err)
	}
	if receipt, held, err := a.findRecentEdit(current.head); held || err != nil {
		return receipt, false, err
	}
	next, err := a.rebase(ctx, current.head)
	if err != nil {
		return PublishResult{}, isRetryable(err), err
	}
	head, err := a.writeVersion(ctx, current, next)
	if err != nil {
		return PublishResult{}, isRetryable(err), a.publishError(err)
	}
	if err := a.writeHead(ctx, current, head); err != nil {
		return PublishResult{}, isRetryable(err), a.publishError(err)
	}
	return PublishResult{
		Version:        head.Version,
		CurrentVersion: head.Version,
	}, false, nil
}

// publishError says whether the edit may have been published.
func (a *publication) publishError(cause error) error {
	var unknown *UnknownOutcomeError
	var refused *NotPublishedError
	if errors.As(cause, &unknown) || errors.As(cause, &refused) {
		return cause
	}
	if a.headWriteUncertain {
		return &UnknownOutcomeError{
			EditID: a.edit.ID,
			Cause:  cause,
		}
	}
	return &NotPublishedError{
		EditID: a.edit.ID,
		Cause:  cause,
	}
}

// isRetryable says whether the store may answer differently next time. A
// conflict on the head means that somebody else was faster: reading again
// decides.
func isRetryable(err error) bool {
	var conflict *objectstore.ConflictError
	var unreached *objectstore.UnavailableError
	var unknown *objectstore.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unreached) || errors.As(err, &unknown)
}

// pause waits before each try but the first.
func waitBeforeRetry(ctx context.Context, try int) error {
	if try == 0 {
		return nil
	}
	timer := time.NewTimer(InitialRetryDelay << (try - 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

func (a *publication) readHead(ctx context.Context) (storedHead, error) {
	object, err := a.publisher.Store.Get(ctx, HeadKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	head, err := decodeHead(object.Value)
	return storedHead{
		head:   head,
		storeVersion: object.Version,
	}, err
}

// remembered finds the edit among those that the head remembers.
func (a *publication) findRecentEdit(head Head) (PublishResult, bool, error) {
	for _, e := range head.RecentEdits {
		if e.ID != a.edit.ID {
			continue
		}
		if e.ContentHash != a.contentHash {
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

// rebase returns the table to publish over the head: the edit's own if the
// encodedHead is its base, else the merged one.
func (a *publication) rebase(ctx context.Context, head Head) (Table, error) {
	if head.Version == a.edit.Base {
		return a.edit.Table, nil
	}
	base, current, err := a.loadBaseAndCurrent(ctx, head)
	var pruned *VersionNotFoundError
	if errors.As(err, &pruned) {
		// The table has changed since the base, so nothing was published, although
		// the changes cannot be told.
		return Table{}, pruned
	}
	if err != nil {
		return Table{}, a.publishError(err)
	}
	if a.edit.AutoMerge {
		return Merge(base, a.edit.Table, current)
	}
	return Table{}, &ConflictError{
		Base:    a.edit.Base,
		Current: head.Version,
		Ours:    Diff(base, a.edit.Table),
		Theirs:  Diff(base, current),
	}
}

// loadBaseAndCurrent reads the edit's base and the version in force.
func (a *publication) loadBaseAndCurrent(ctx context.Context, head Head) (base, current Table, err error) {
	if head.Version > 0 {
		reader := Reader{}
		snapshot, err := reader.LoadHead(ctx, a.publisher.Store, head)
		if err != nil {
			return Table{}, Table{}, err
		}
		current = snapshot.Table
	}
	if a.edit.Base > 0 {
		snapshot, err := ReadVersion(ctx, a.publisher.Store, a.edit.Base)
		if err != nil {
			return Table{}, Table{}, err
		}
		base = snapshot.Table
	}
	return base, current, nil
}

func (a *publication) writeHead(ctx context.Context, current storedHead, head Head) error {
	content, err := json.Marshal(head)
	if err != nil {
		return &EncodeError{
			Cause: err,
		}
	}
	_, err = a.publisher.Store.Put(ctx, HeadKey, content, headCondition(current))
	if err != nil && !hadNoEffect(err) {
		a.headWriteUncertain = true
	}
	return err
}

// hadNoEffect says whether the store's error rules out that the write took
// effect.
func hadNoEffect(err error) bool {
	var conflict *objectstore.ConflictError
	var unreached *objectstore.UnavailableError
	var refused *objectstore.RefusedError
	return errors.As(err, &conflict) || errors.As(err, &unreached) || errors.As(err, &refused)
}

func headCondition(current storedHead) objectstore.Condition {
	if current.storeVersion == 0 {
		return objectstore.IfAbsent{}
	}
	return objectstore.IfVersion{
		Version: current.storeVersion,
	}
}
