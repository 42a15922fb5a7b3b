package table

import (
	"context"
	"errors"
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// partShards is how many lists the parts are read in, so that no list holds a
// large table whole.
const partShards = 256

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
		_, err = getHead(ctx, p.Store)
		return PruneResult{}, err
	}
	s := sweep{
		store:  p.Store,
		before: head.Version,
		dryRun: p.DryRun,
		kept:   make(map[string]bool),
	}
	if err := s.keep(ctx, head.Value, max(p.KeepVersions, 1)); err != nil {
		return PruneResult{}, err
	}
	// Manifests go first: one that is left never names a part that is gone.
	s.found.DeletedVersions, err = s.delete(ctx, ManifestKeyPrefix)
	if err != nil {
		return s.found, err
	}
	for shard := range partShards {
		deleted, err := s.delete(ctx, fmt.Sprintf("%s%02x", PartKeyPrefix, shard))
		s.found.DeletedParts += deleted
		if err != nil {
			return s.found, err
		}
	}
	return s.found, nil
}

// sweep is one run of a pruner.
type sweep struct {
	store objectstore.Store
	// before is the store's version of the head; newer objects stay.
	before objectstore.Version
	dryRun bool
	kept   map[string]bool
	found  PruneResult
}

// keep marks the objects of the versions that stay.
func (s *sweep) keep(ctx context.Context, content []byte, versions int) error {
	head, err := decodeHead(content)
	if err != nil {
		return err
	}
	return walkFrom(ctx, s.store, head, func(m Manifest, sum Hash) bool {
		s.found.OldestKept = m.Version
		s.kept[ManifestKey(m.Version, sum)] = true
		for _, part := range m.PartHashes {
			s.kept[PartKey(part)] = true
		}
		versions--
		return versions > 0
	})
}

// delete deletes the objects under a prefix that are older than the head and not
// kept. One that was written meanwhile stays.
func (s *sweep) delete(ctx context.Context, prefix string) (int, error) {
	objects, err := s.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, object := range objects {
		if s.kept[object.Key] || object.Version >= s.before {
			continue
		}
		err := s.remove(ctx, object)
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

func (s *sweep) remove(ctx context.Context, object objectstore.Object) error {
	if s.dryRun {
		return nil
	}
	return s.store.Delete(ctx, object.Key, objectstore.IfVersion{
		Version: object.Version,
	})
}
