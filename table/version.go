package table

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/objectstore"
)

// writeVersion writes the parts that the version in force does not have, then
// the manifest, and returns the head that will name it.
func (a *publication) writeVersion(ctx context.Context, from storedHead, t Table) (Head, error) {
	current := from.head
	parts, err := encodeParts(t)
	if err != nil {
		return Head{}, err
	}
	if err := a.writeMissingParts(ctx, from, parts); err != nil {
		return Head{}, err
	}
	m := Manifest{
		Version:          current.Version + 1,
		EditID:           a.edit.ID,
		Base:             a.edit.Base,
		PreviousManifest: current.ManifestHash,
		Author:           a.edit.Author,
		Note:             a.edit.Note,
		PublishedAt:      a.publishedAt,
		BlockCount:       len(t.Blocks),
	}
	for _, part := range parts {
		m.PartHashes = append(m.PartHashes, part.hash)
	}
	content, err := json.Marshal(m)
	if err != nil {
		return Head{}, &EncodeError{
			Cause: err,
		}
	}
	sum := hashOf(content)
	if err := a.writeObject(ctx, from, ManifestKey(m.Version, sum), content); err != nil {
		return Head{}, err
	}
	edits := append(current.RecentEdits[:len(current.RecentEdits):len(current.RecentEdits)], RecentEdit{
		ID:          a.edit.ID,
		Version:     m.Version,
		ContentHash: a.contentHash,
	})
	return Head{
		Version:      m.Version,
		ManifestHash: sum,
		RecentEdits:  edits[max(0, len(edits)-MaxRecentEdits):],
	}, nil
}

func (a *publication) writeMissingParts(ctx context.Context, from storedHead, parts []encodedPart) error {
	held := make(map[Hash]bool)
	if from.head.Version > 0 {
		_, m, err := fetchManifest(ctx, a.publisher.Store, from.head.Version, from.head.ManifestHash)
		if err != nil {
			return err
		}
		for _, sum := range m.PartHashes {
			held[sum] = true
		}
	}
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(MaxParallelWrites)
	for _, part := range parts {
		if held[part.hash] {
			continue
		}
		calls.Go(func() error {
			return a.writeObject(ctx, from, PartKey(part.hash), part.content)
		})
	}
	return calls.Wait()
}

// writeObject writes an object that is named by its content. One that exists holds
// the same; it is written all the same, so that it is newer than the head and a
// [Pruner] leaves it alone.
func (a *publication) writeObject(ctx context.Context, from storedHead, key string, content []byte) error {
	var last error
	for try := range MaxAttempts {
		if err := waitBeforeRetry(ctx, try); err != nil {
			return err
		}
		if try > 0 && a.wasWritten(ctx, from, key) {
			return nil
		}
		_, err := a.publisher.Store.Put(ctx, key, content, objectstore.Always{})
		if err == nil || !isRetryable(err) {
			return err
		}
		last = err
	}
	return last
}

// wasWritten says whether an object is newer than the head, which shows that a
// write took effect whose answer was lost.
func (a *publication) wasWritten(ctx context.Context, from storedHead, key string) bool {
	object, err := a.publisher.Store.Get(ctx, key)
	return err == nil && object.Version > from.storeVersion
}
