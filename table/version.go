package table

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/objectstore"
)

// writeVersion writes the parts that the version in force does not have, then
// the manifest, and returns the head that will name it.
func (a *attempt) writeVersion(ctx context.Context, from storedHead, t Table) (Head, error) {
	current := from.head
	parts, err := split(t)
	if err != nil {
		return Head{}, err
	}
	if err := a.writeParts(ctx, from, parts); err != nil {
		return Head{}, err
	}
	m := Manifest{
		Version:          current.Version + 1,
		EditID:           a.edit.ID,
		Base:             a.edit.Base,
		PreviousManifest: current.ManifestHash,
		Author:           a.edit.Author,
		Note:             a.edit.Note,
		PublishedAt:      a.published,
		BlockCount:       len(t.Blocks),
	}
	for _, part := range parts {
		m.PartHashes = append(m.PartHashes, part.sum)
	}
	content, err := json.Marshal(m)
	if err != nil {
		return Head{}, &EncodeError{
			Cause: err,
		}
	}
	sum := sumOf(content)
	if err := a.writeContent(ctx, from, ManifestKey(m.Version, sum), content); err != nil {
		return Head{}, err
	}
	edits := append(current.RecentEdits[:len(current.RecentEdits):len(current.RecentEdits)], RecentEdit{
		ID:          a.edit.ID,
		Version:     m.Version,
		ContentHash: a.content,
	})
	return Head{
		Version:      m.Version,
		ManifestHash: sum,
		RecentEdits:  edits[max(0, len(edits)-MaxRecentEdits):],
	}, nil
}

func (a *attempt) writeParts(ctx context.Context, from storedHead, parts []encodedPart) error {
	held := make(map[Hash]bool)
	if from.head.Version > 0 {
		_, m, err := getManifest(ctx, a.publisher.Store, from.head.Version, from.head.ManifestHash)
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
		if held[part.sum] {
			continue
		}
		calls.Go(func() error {
			return a.writeContent(ctx, from, PartKey(part.sum), part.content)
		})
	}
	return calls.Wait()
}

// writeContent writes an object that is named by its content. One that exists holds
// the same; it is written all the same, so that it is newer than the head and a
// [Pruner] leaves it alone.
func (a *attempt) writeContent(ctx context.Context, from storedHead, key string, content []byte) error {
	var last error
	for try := range MaxAttempts {
		if err := pause(ctx, try); err != nil {
			return err
		}
		if try > 0 && a.written(ctx, from, key) {
			return nil
		}
		_, err := a.publisher.Store.Put(ctx, key, content, objectstore.Always{})
		if err == nil || !worthRetry(err) {
			return err
		}
		last = err
	}
	return last
}

// written says whether an object is newer than the head, which shows that a
// write took effect whose answer was lost.
func (a *attempt) written(ctx context.Context, from storedHead, key string) bool {
	object, err := a.publisher.Store.Get(ctx, key)
	return err == nil && object.Version > from.stored
}
