package table

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"trefoilline.example/trefoilline/objectstore"
)

// attempt is the publishing of one edit.
type attempt struct {
	publisher *Publisher
	edit      Edit
	content   Hash
	published time.Time
	// uncertain is set once a write of the head was sent whose outcome is not
	// known: it may take effect at any time later.
	uncertain bool
}

// storedHead is the head with the store's version of it, zero if absent.
type storedHead struct {
	head   Head
	stored objectstore.Version
}

func (a *attempt) run(ctx context.Context) (PublishResult, error) {
	var last error
	for try := range MaxAttempts {
		if err := pause(ctx, try); err != nil {
			return PublishResult{}, a.failure(err)
		}
		receipt, again, err := a.try(ctx)
		if !again {
			return receipt, err
		}
		last = err
	}
	return PublishResult{}, a.failure(last)
}

// try reads the head and writes the next one. It says whether trying again can
// help.
func (a *attempt) try(ctx context.Context) (PublishResult, bool, error) {
	current, err := a.readHead(ctx)
	if err != nil {
		return PublishResult{}, worthRetry(err), a.failure(err)
	}
	if receipt, held, err := a.remembered(current.head); held || err != nil {
		return receipt, false, err
	}
	next, err := a.rebase(ctx, current.head)
	if err != nil {
		return PublishResult{}, worthRetry(err), err
	}
	head, err := a.writeVersion(ctx, current, next)
	if err != nil {
		return PublishResult{}, worthRetry(err), a.failure(err)
	}
	if err := a.writeHead(ctx, current, head); err != nil {
		return PublishResult{}, worthRetry(err), a.failure(err)
	}
	return PublishResult{
		Version:        head.Version,
		CurrentVersion: head.Version,
	}, false, nil
}

// failure says whether the edit may have been published.
func (a *attempt) failure(cause error) error {
	var unknown *UnknownOutcomeError
	var refused *NotPublishedError
	if errors.As(cause, &unknown) || errors.As(cause, &refused) {
		return cause
	}
	if a.uncertain {
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

// worthRetry says whether the store may answer differently next time. A
// conflict on the head means that somebody else was faster: reading again
// decides.
func worthRetry(err error) bool {
	var conflict *objectstore.ConflictError
	var unreached *objectstore.UnavailableError
	var unknown *objectstore.UnknownOutcomeError
	return errors.As(err, &conflict) || errors.As(err, &unreached) || errors.As(err, &unknown)
}

// pause waits before each try but the first.
func pause(ctx context.Context, try int) error {
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

func (a *attempt) readHead(ctx context.Context) (storedHead, error) {
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
		stored: object.Version,
	}, err
}

// remembered finds the edit among those that the head remembers.
func (a *attempt) remembered(head Head) (PublishResult, bool, error) {
	for _, e := range head.RecentEdits {
		if e.ID != a.edit.ID {
			continue
		}
		if e.ContentHash != a.content {
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
// head is its base, else the merged one.
func (a *attempt) rebase(ctx context.Context, head Head) (Table, error) {
	if head.Version == a.edit.Base {
		return a.edit.Table, nil
	}
	base, current, err := a.both(ctx, head)
	var pruned *VersionNotFoundError
	if errors.As(err, &pruned) {
		// The table has changed since the base, so nothing was published, although
		// the changes cannot be told.
		return Table{}, pruned
	}
	if err != nil {
		return Table{}, a.failure(err)
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

// both reads the edit's base and the version in force.
func (a *attempt) both(ctx context.Context, head Head) (base, current Table, err error) {
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

func (a *attempt) writeHead(ctx context.Context, current storedHead, head Head) error {
	content, err := json.Marshal(head)
	if err != nil {
		return &EncodeError{
			Cause: err,
		}
	}
	_, err = a.publisher.Store.Put(ctx, HeadKey, content, headCondition(current))
	if err != nil && !changedNothing(err) {
		a.uncertain = true
	}
	return err
}

// changedNothing says whether the store's error rules out that the write took
// effect.
func changedNothing(err error) bool {
	var conflict *objectstore.ConflictError
	var unreached *objectstore.UnavailableError
	var refused *objectstore.RefusedError
	return errors.As(err, &conflict) || errors.As(err, &unreached) || errors.As(err, &refused)
}

func headCondition(current storedHead) objectstore.Condition {
	if current.stored == 0 {
		return objectstore.IfAbsent{}
	}
	return objectstore.IfVersion{
		Version: current.stored,
	}
}
