package table

import (
	"context"
	"encoding/json"
	"errors"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/platform"
)

// writeVersion writes the parts that the version in force does not have, then
// the manifest, and returns the head that will name it.
func (a *attempt) writeVersion(ctx context.Context, current Head, t Table) (Head, error) {
	parts, err := split(t)
	if err != nil {
		return Head{}, err
	}
	if err := a.writeParts(ctx, current, parts); err != nil {
		return Head{}, err
	}
	m := Manifest{
		Version:   current.Version + 1,
		Edit:      a.edit.ID,
		Base:      a.edit.Base,
		Previous:  current.Manifest,
		Author:    a.edit.Author,
		Note:      a.edit.Note,
		Published: a.published,
		Blocks:    len(t.Blocks),
	}
	for _, part := range parts {
		m.Parts = append(m.Parts, part.sum)
	}
	content, err := json.Marshal(m)
	if err != nil {
		return Head{}, &EncodeError{
			Cause: err,
		}
	}
	sum := sumOf(content)
	if err := a.writeOnce(ctx, ManifestKey(m.Version, sum), content); err != nil {
		return Head{}, err
	}
	edits := append(current.Edits[:len(current.Edits):len(current.Edits)], RememberedEdit{
		Edit:    a.edit.ID,
		Version: m.Version,
		Content: a.content,
	})
	return Head{
		Version:  m.Version,
		Manifest: sum,
		Edits:    edits[max(0, len(edits)-RememberedEdits):],
	}, nil
}

func (a *attempt) writeParts(ctx context.Context, current Head, parts []encodedPart) error {
	held := make(map[Sum]bool)
	if current.Version > 0 {
		_, m, err := getManifest(ctx, a.publisher.Store, current.Version, current.Manifest)
		if err != nil {
			return err
		}
		for _, sum := range m.Parts {
			held[sum] = true
		}
	}
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(ParallelWrites)
	for _, part := range parts {
		if held[part.sum] {
			continue
		}
		calls.Go(func() error {
			return a.writeOnce(ctx, PartKey(part.sum), part.content)
		})
	}
	return calls.Wait()
}

// writeOnce writes an object that is named by its content. If it exists, it
// holds what is to be written.
func (a *attempt) writeOnce(ctx context.Context, key string, content []byte) error {
	var last error
	for try := range MaxAttempts {
		if err := pause(ctx, try); err != nil {
			return err
		}
		_, err := a.publisher.Store.Put(ctx, key, content, platform.IfAbsent{})
		var exists *platform.ConflictError
		if err == nil || errors.As(err, &exists) {
			return nil
		}
		if !worthRetry(err) {
			return err
		}
		last = err
	}
	return last
}
