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

	head     []byte
	manifest []byte
	first    []byte
	// groups are the places of the parts with blocks within Table.Blocks.
	groups map[Hash]blockRange
}

type blockRange struct {
	from int
	to   int
}

// Get returns an object of this version, or a [objectstore.NotFoundError]. Its
// versions are zero: they are the store's own.
func (s *Snapshot) Get(_ context.Context, key string) (objectstore.Object, error) {
	content, err := s.content(key)
	if err != nil {
		return objectstore.Object{}, err
	}
	return objectstore.Object{
		Key:   key,
		Value: content,
	}, nil
}

func (s *Snapshot) content(key string) ([]byte, error) {
	switch key {
	case HeadKey:
		return s.head, nil
	case ManifestKey(s.Head.Version, s.Head.ManifestHash):
		return s.manifest, nil
	case PartKey(s.Manifest.PartHashes[0]):
		return s.first, nil
	}
	for sum, r := range s.groups {
		if PartKey(sum) != key {
			continue
		}
		part, err := encode(Part{
			Blocks: s.Table.Blocks[r.from:r.to],
		})
		return part.content, err
	}
	return nil, &objectstore.NotFoundError{
		Key: key,
	}
}
