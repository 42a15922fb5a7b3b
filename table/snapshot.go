package table

import (
	"context"

	"trefoilline.example/trefoilline/objectstore"
)

// Getter reads objects: a [objectstore.Store], or a peer's [Snapshot].
type Getter interface {
	// Get returns the object, or a [objectstore.NotFoundError].
	Get(ctx context.Context, key string) (objectstore.Object, error)
}

// Snapshot is one whole version of the table. It never changes. It serves its
// own objects to peers through [Snapshot.Get], so that they need not ask the
// store.
type Snapshot struct {
	Head     Head
	Manifest Manifest
	Table    Table

	encodedHead     []byte
	encodedManifest []byte
	encodedMainPart    []byte
	// fetchBlockGroups are the places of the parts with blocks within Table.Blocks.
	blockRanges map[Hash]blockRange
}

type blockRange struct {
	start int
	end   int
}

// Get returns an object of this version, or a [objectstore.NotFoundError]. Its
// versions are zero: they are the store's own.
func (s *Snapshot) Get(_ context.Context, key string) (objectstore.Object, error) {
	content, err := s.encodedObject(key)
	if err != nil {
		return objectstore.Object{}, err
	}
	return objectstore.Object{
		Key:   key,
		Value: content,
	}, nil
}

func (s *Snapshot) encodedObject(key string) ([]byte, error) {
	switch key {
	case HeadKey:
		return s.encodedHead, nil
	case ManifestKey(s.Head.Version, s.Head.ManifestHash):
		return s.encodedManifest, nil
	case PartKey(s.Manifest.PartHashes[0]):
		return s.encodedMainPart, nil
	}
	for sum, r := range s.blockRanges {
		if PartKey(sum) != key {
			continue
		}
		part, err := encodePart(Part{
			Blocks: s.Table.Blocks[r.start:r.end],
		})
		return part.content, err
	}
	return nil, &objectstore.NotFoundError{
		Key: key,
	}
}
