package table

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/objectstore"
)

// writeVersion writes the parts that are not in the current version, then the
// manifest, and returns the head that refers to it.
func (p *publication) writeVersion(ctx context.Context, stored storedHead, t Table) (Head, error) {
	current := stored.head
	parts, err := encodeParts(t)
	if err != nil {
		return Head{}, err
	}
	if err := p.writeMissingParts(ctx, stored, parts); err != nil {
		return Head{}, err
	}
	m := Manifest{
		Version:          current.Version + 1,
		EditID:           p.edit.ID,
		Base:             p.edit.Base,
		PreviousManifest: current.ManifestHash,
		Author:           p.edit.Author,
		Note:             p.edit.Note,
		PublishedAt:      p.publishedAt,
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
	hash := hashOf(content)
	if err := p.writeObject(ctx, stored, ManifestKey(m.Version, hash), content); err != nil {
		return Head{}, err
	}
	// The full slice expression makes append copy the edits instead of changing the
	// array of the current head.
	edits := append(current.RecentEdits[:len(current.RecentEdits):len(current.RecentEdits)], RecentEdit{
		ID:          p.edit.ID,
		Version:     m.Version,
		ContentHash: p.contentHash,
	})
	return Head{
		Version:      m.Version,
		ManifestHash: hash,
		RecentEdits:  edits[max(0, len(edits)-MaxRecentEdits):],
	}, nil
}

func (p *publication) writeMissingParts(ctx context.Context, stored storedHead, parts []encodedPart) error {
	existing := make(map[Hash]bool)
	if stored.head.Version > 0 {
		_, m, err := fetchManifest(ctx, p.publisher.Store, stored.head.Version, stored.head.ManifestHash)
		if err != nil {
			return err
		}
		for _, hash := range m.PartHashes {
			existing[hash] = true
		}
	}
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(MaxParallelWrites)
	for _, part := range parts {
		if existing[part.hash] {
			continue
		}
		calls.Go(func() error {
			return p.writeObject(ctx, stored, PartKey(part.hash), part.content)
		})
	}
	return calls.Wait()
}

// writeObject writes an object whose key contains the hash of its content. If the
// object exists, it has the same content, but it is written nevertheless, so that
// it becomes newer than the head and a [Pruner] does not delete it.
func (p *publication) writeObject(ctx context.Context, stored storedHead, key string, content []byte) error {
	var lastError error
	for attempt := range MaxAttempts {
		if err := waitBeforeRetry(ctx, attempt); err != nil {
			return err
		}
		if attempt > 0 && p.wasWritten(ctx, stored, key) {
			return nil
		}
		_, err := p.publisher.Store.Put(ctx, key, content, objectstore.Always{})
		if err == nil || !isRetryable(err) {
			return err
		}
		lastError = err
	}
	return lastError
}

// wasWritten reports whether the object is newer than the head, which shows that an
// earlier write took effect although its response was lost.
func (p *publication) wasWritten(ctx context.Context, stored storedHead, key string) bool {
	object, err := p.publisher.Store.Get(ctx, key)
	return err == nil && object.Version > stored.headStoreVersion
}
