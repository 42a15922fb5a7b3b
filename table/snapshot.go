package table

import (
	"context"

	"trefoilline.example/trefoilline/objectstore"
)

// Getter reads objects. [objectstore.Store] and [Snapshot] implement it.
type Getter interface {
	// Get returns the object, or an [objectstore.NotFoundError] if it does not exist.
	Get(ctx context.Context, key string) (objectstore.Object, error)
}

// Snapshot is one complete, immutable version of the table. Peers can read its
// stored objects through [Snapshot.Get] instead of calling the store.
type Snapshot struct {
	// Head refers to this version. In a snapshot from [LoadEarlierVersion] it is not the
	// stored head and lists no recent edits.
	Head     Head
	Manifest Manifest
	Table    Table

	encodedHead     []byte
	encodedManifest []byte
	encodedMainPart []byte
	// blockRanges holds the range of Table.Blocks that each part with client blocks
	// occupies.
	blockRanges map[Hash]blockRange
}

// blockRange is a range of indexes; end is exclusive.
type blockRange struct {
	start int
	end   int
}

// Get returns an object of this version, or an [objectstore.NotFoundError]. The
// Version of the object is 0, because only the store assigns object versions.
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
	for hash, r := range s.blockRanges {
		if PartKey(hash) != key {
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
