package table

import (
	"context"
	"errors"
	"fmt"

	"trefoilline.example/trefoilline/objectstore"
)

// partListCount is the number of calls that list the parts, one for each value of the
// first two hexadecimal digits of the hash, so that no list contains all parts of a
// large table.
const partListCount = 256

// PruneResult reports what a [Pruner] deleted and kept.
type PruneResult struct {
	// DeletedVersions and DeletedParts are the numbers of deleted objects, or, in a
	// dry run, of the objects that would be deleted.
	DeletedVersions int `json:"versions"`
	DeletedParts    int `json:"parts"`
	// OldestKept is the oldest version that still exists after the run.
	OldestKept Version `json:"oldest"`
}

// Pruner deletes old versions and the parts that no remaining version refers to.
//
// It deletes only objects that are older than the head, by the store's object
// versions, and that no kept version refers to. This is safe while edits are
// published. A publisher writes every part that is not in the current version, even if
// the store already has it, which makes the part newer than the head. The new version
// takes effect only if the head has not changed since. A future version therefore
// never refers to an object that the pruner may delete.
type Pruner struct {
	Store objectstore.Store
	// KeepVersions is the number of versions to keep, including the current one. A
	// value below 1 means 1.
	KeepVersions int
	// DryRun counts the objects that would be deleted and deletes nothing.
	DryRun bool
}

// Prune deletes the versions and parts that are not kept. It can be interrupted at any
// time and run again. Errors are those of the store, a [NoTableError] or a
// [CorruptObjectError]; with an error, the result counts what was deleted before it.
func (p *Pruner) Prune(ctx context.Context) (PruneResult, error) {
	head, err := p.Store.Get(ctx, HeadKey)
	if err != nil {
		_, err = fetchHead(ctx, p.Store)
		return PruneResult{}, err
	}
	r := pruneRun{
		store:            p.Store,
		headStoreVersion: head.Version,
		dryRun:           p.DryRun,
		referencedKeys:   make(map[string]bool),
	}
	if err := r.markReferenced(ctx, head.Value, max(p.KeepVersions, 1)); err != nil {
		return PruneResult{}, err
	}
	// Manifests are deleted before parts, so that no remaining manifest refers to a
	// deleted part.
	r.result.DeletedVersions, err = r.deleteUnreferenced(ctx, ManifestKeyPrefix)
	if err != nil {
		return r.result, err
	}
	for firstByte := range partListCount {
		deleted, err := r.deleteUnreferenced(ctx, fmt.Sprintf("%s%02x", PartKeyPrefix, firstByte))
		r.result.DeletedParts += deleted
		if err != nil {
			return r.result, err
		}
	}
	return r.result, nil
}

// pruneRun is one run of a [Pruner].
type pruneRun struct {
	store objectstore.Store
	// headStoreVersion is the store's version of the head; newer objects are not deleted.
	headStoreVersion objectstore.Version
	dryRun           bool
	referencedKeys   map[string]bool
	result           PruneResult
}

// markReferenced records the keys of the objects that the latest versions refer to;
// remaining is the number of versions to keep.
func (r *pruneRun) markReferenced(ctx context.Context, content []byte, remaining int) error {
	head, err := decodeHead(content)
	if err != nil {
		return err
	}
	return walkHistoryFrom(ctx, r.store, head, func(m Manifest, hash Hash) bool {
		r.result.OldestKept = m.Version
		r.referencedKeys[ManifestKey(m.Version, hash)] = true
		for _, part := range m.PartHashes {
			r.referencedKeys[PartKey(part)] = true
		}
		remaining--
		return remaining > 0
	})
}

// deleteUnreferenced deletes the objects with the key prefix that are older than the
// head and not referenced, and returns their number. It skips an object that was overwritten or
// deleted since it was listed.
func (r *pruneRun) deleteUnreferenced(ctx context.Context, prefix string) (int, error) {
	objects, err := r.store.List(ctx, prefix)
	if err != nil {
		return 0, err
	}
	deleted := 0
	for _, object := range objects {
		if r.referencedKeys[object.Key] || object.Version >= r.headStoreVersion {
			continue
		}
		err := r.deleteObject(ctx, object)
		var conflict *objectstore.ConflictError
		var notFound *objectstore.NotFoundError
		switch {
		case err == nil:
			deleted++
		case !errors.As(err, &conflict) && !errors.As(err, &notFound):
			return deleted, err
		}
	}
	return deleted, nil
}

func (r *pruneRun) deleteObject(ctx context.Context, object objectstore.Object) error {
	if r.dryRun {
		return nil
	}
	return r.store.Delete(ctx, object.Key, objectstore.IfVersion{
		Version: object.Version,
	})
}
