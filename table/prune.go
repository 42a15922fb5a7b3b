package table

import (
	"context"
	"errors"
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// partShardCount is how many lists the parts are read in, so that no list holds a
// large table whole.
const partShardCount = 256

// PruneResult says what a [Pruner] deleted and what it kept.
type PruneResult struct {
	// Versions and Parts were deleted.
	DeletedVersions int `json:"versions"`
	DeletedParts    int `json:"parts"`
	// OldestKept is the oldest version that was kept.
	OldestKept Version `json:"oldest"`
}

// Pruner deletes old versions and the parts that no version names any more.
//
// A publisher writes every part that the version in force does not have, even if
// the store holds it, and its version takes effect only if the head has not
// changed since. So what is older than the head and is named by no version that
// is kept cannot be named by one that comes.
type Pruner struct {
	Store objectstore.Store
	// KeepVersions is how many versions stay, the one in force included; at least one.
	KeepVersions int
	// DryRun counts what may go and deletes nothing.
	DryRun bool
}

// Prune deletes what may go. It may be stopped at any moment and run again.
// Errors are those of the store, a [NoTableError] or a [CorruptObjectError].
func (p *Pruner) Prune(ctx context.Context) (PruneResult, error) {
	head, err := p.Store.Get(ctx, HeadKey)
	if err != nil {
		_, err = fetchHead(ctx, p.Store)
		return PruneResult{}, err
	}
	s := pruneRun{
		store:  p.Store,
		headVersion: head.Version,
		dryRun: p.DryRun,
		keptKeys:   make(map[string]bool),
	}
	if err := s.markKept(ctx, head.Value, max(p.KeepVersions, 1)); err != nil {
		return PruneResult{}, err
	}
	// Manifests go first: one that is left never names a part that is gone.
	s.result.DeletedVersions, err = s.deleteUnkept(ctx, ManifestKeyPrefix)
	if err != nil {
		return s.result, err
	}
	for shard := range partShardCount {
		deleted, err := s.deleteUnkept(ctx, fmt.Sprintf("%s%02x", PartKeyPrefix, shard))
		s.result.DeletedParts += deleted
		if err != nil {
			return s.result, err
		}
	}
	return s.result, nil
}

// pruneRun is one run of a pruner.
type pruneRun struct {
	store objectstore.Store
	// headVersion is the store's version of the head; newer objects stay.
	headVersion objectstore.Version
	dryRun bool
	keptKeys   map[string]bool
	result  PruneResult
}

// keep marks the objects of the versions that stay.
func (s *pruneRun) markKept(ctx context.Context, content []byte, versions int) error {
	head, err := decodeHead(content)
	if err != nil {
		return err
	}
	return walkHistoryFrom(ctx, s.store, head, func(m Manifest, sum Hash) bool {
		s.result.OldestKept = m.Version
		s.keptKeys[ManifestKey(m.Version, sum)] = true
		for _, part := range m.PartHashes {
			s.keptKeys[PartKey(part)] = true
		}
		versions--
		return versions > 0
	})
}

// delete deletes the objects under a prefix that are older than the head and not
// kept. One that was written meanwhile stays.
func (s *pruneRun) deleteUnkept(ctx context.Context, prefix string) (int, error) {
	objects, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, object := range objects {
		if s.keptKeys[object.Key] || object.Version >= s.headVersion {
			continue
		}
		err := s.deleteObject(ctx, object)
		var changed *objectstore.ConflictError
		var gone *objectstore.NotFoundError
		switch {
		case err == nil:
			deleted++
		case !errors.As(err, &changed) && !errors.As(err, &gone):
			return deleted, err
		}
	}
	return deleted, nil
}

func (s *pruneRun) deleteObject(ctx context.Context, object objectstore.Object) error {
	if s.dryRun {
		return nil
	}
	return s.store.Delete(ctx, object.Key, objectstore.IfVersion{
		Version: object.Version,
	})
}
