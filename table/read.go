package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/objectstore"
)

// MaxParallelReads is the maximum number of parts that a [Reader] requests at once.
const MaxParallelReads = 8

// Reader loads versions of the table, each completely or not at all. It requests
// only the parts that are not in the version it loaded before. The zero value is
// ready to use. A Reader is not safe for concurrent use.
type Reader struct {
	previous *Snapshot
}

// Load returns the current version. Errors are those of the source, a
// [NoTableError] if nothing has been published, or a [CorruptObjectError].
func (r *Reader) Load(ctx context.Context, source Getter) (*Snapshot, error) {
	content, err := fetchHead(ctx, source)
	if err != nil {
		return nil, err
	}
	if r.previous != nil && bytes.Equal(content, r.previous.encodedHead) {
		return r.previous, nil
	}
	head, err := decodeHead(content)
	if err != nil {
		return nil, err
	}
	return r.LoadVersion(ctx, source, head)
}

// LoadVersion returns the version that the head refers to, for callers that have
// received the head from a watch. Errors are those of the source or a
// [CorruptObjectError].
func (r *Reader) LoadVersion(ctx context.Context, source Getter, head Head) (*Snapshot, error) {
	if r.previous != nil && r.previous.Head.ManifestHash == head.ManifestHash {
		return r.previous, nil
	}
	snapshot, err := r.loadSnapshot(ctx, source, head)
	if err != nil {
		return nil, err
	}
	r.previous = snapshot
	return snapshot, nil
}

func fetchHead(ctx context.Context, source Getter) ([]byte, error) {
	object, err := source.Get(ctx, HeadKey)
	var notFound *objectstore.NotFoundError
	if errors.As(err, &notFound) {
		return nil, &NoTableError{}
	}
	return object.Value, err
}

// DecodeHead decodes the content of the object at [HeadKey]. Errors are a
// [CorruptObjectError].
func DecodeHead(content []byte) (Head, error) { return decodeHead(content) }

func decodeHead(content []byte) (Head, error) {
	var head Head
	if err := json.Unmarshal(content, &head); err != nil {
		return Head{}, &CorruptObjectError{
			Key:   HeadKey,
			Cause: err,
		}
	}
	if head.Version == 0 || head.ManifestHash == "" {
		return Head{}, &CorruptObjectError{
			Key: HeadKey,
		}
	}
	return head, nil
}

func (r *Reader) loadSnapshot(ctx context.Context, source Getter, head Head) (*Snapshot, error) {
	content, manifest, err := fetchManifest(ctx, source, head.Version, head.ManifestHash)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Head:            head,
		Manifest:        manifest,
		encodedManifest: content,
	}
	if s.encodedHead, err = json.Marshal(head); err != nil {
		return nil, &EncodeError{
			Cause: err,
		}
	}
	if s.encodedMainPart, err = r.fetchMainPart(ctx, source, manifest.PartHashes[0]); err != nil {
		return nil, err
	}
	mainPart, err := decodePart(PartKey(manifest.PartHashes[0]), s.encodedMainPart)
	if err != nil {
		return nil, err
	}
	groups, err := r.fetchBlockGroups(ctx, source, manifest.PartHashes[1:])
	if err != nil {
		return nil, err
	}
	s.Table = Table{
		Version: head.Version,
		Regions: mainPart.Regions,
		Routes:  mainPart.Routes,
		Teams:   mainPart.Teams,
		Links:   mainPart.Links,
		Drains:  mainPart.Drains,
	}
	s.assembleBlocks(groups)
	if len(s.Table.Blocks) != manifest.BlockCount {
		return nil, &CorruptObjectError{
			Key: ManifestKey(head.Version, head.ManifestHash),
		}
	}
	return s, nil
}

// fetchMainPart returns the encoded part that holds all rows except the client
// blocks. A part that is in the previous snapshot is not requested again.
func (r *Reader) fetchMainPart(ctx context.Context, source Getter, hash Hash) ([]byte, error) {
	if r.previous != nil && r.previous.Manifest.PartHashes[0] == hash {
		return r.previous.encodedMainPart, nil
	}
	return fetchObject(ctx, source, PartKey(hash), hash)
}

// fetchManifest reads a manifest and checks that it has the given hash and version.
func fetchManifest(ctx context.Context, source Getter, version Version, hash Hash) ([]byte, Manifest, error) {
	key := ManifestKey(version, hash)
	content, err := fetchObject(ctx, source, key, hash)
	if err != nil {
		return nil, Manifest{}, err
	}
	var m Manifest
	if err := json.Unmarshal(content, &m); err != nil {
		return nil, Manifest{}, &CorruptObjectError{
			Key:   key,
			Cause: err,
		}
	}
	if m.Version != version || len(m.PartHashes) == 0 {
		return nil, Manifest{}, &CorruptObjectError{
			Key: key,
		}
	}
	return content, m, nil
}

// fetchObject reads an object and checks that its content has the given hash.
func fetchObject(ctx context.Context, source Getter, key string, hash Hash) ([]byte, error) {
	object, err := source.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if hashOf(object.Value) != hash {
		return nil, &CorruptObjectError{
			Key: key,
		}
	}
	return object.Value, nil
}

func decodePart(key string, content []byte) (Part, error) {
	var p Part
	if err := json.Unmarshal(content, &p); err != nil {
		return Part{}, &CorruptObjectError{
			Key:   key,
			Cause: err,
		}
	}
	return p, nil
}

// blockGroup holds the client blocks of one part and the part's hash.
type blockGroup struct {
	hash   Hash
	blocks []ClientBlock
}

// fetchBlockGroups returns the blocks of the parts with the given hashes. Parts that
// are in the previous snapshot are not requested again.
func (r *Reader) fetchBlockGroups(ctx context.Context, source Getter, hashes []Hash) ([]blockGroup, error) {
	groups := make([]blockGroup, len(hashes))
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(MaxParallelReads)
	for i, hash := range hashes {
		groups[i].hash = hash
		if blocks, found := r.cachedBlocks(hash); found {
			groups[i].blocks = blocks
			continue
		}
		calls.Go(func() error {
			content, err := fetchObject(ctx, source, PartKey(hash), hash)
			if err != nil {
				return err
			}
			part, err := decodePart(PartKey(hash), content)
			groups[i].blocks = part.Blocks
			return err
		})
	}
	return groups, calls.Wait()
}

// cachedBlocks returns the blocks of the part from the previous snapshot, and
// whether that snapshot has the part.
func (r *Reader) cachedBlocks(hash Hash) ([]ClientBlock, bool) {
	if r.previous == nil {
		return nil, false
	}
	blocks, found := r.previous.blockRanges[hash]
	return r.previous.Table.Blocks[blocks.start:blocks.end], found
}

// assembleBlocks concatenates the groups into the blocks of the table. All blocks of
// a region share one copy of its name, so that a large table takes less memory.
func (s *Snapshot) assembleBlocks(groups []blockGroup) {
	names := make(map[string]string, len(s.Table.Regions))
	for _, r := range s.Table.Regions {
		names[r.Name] = r.Name
	}
	s.blockRanges = make(map[Hash]blockRange, len(groups))
	s.Table.Blocks = make([]ClientBlock, 0, s.Manifest.BlockCount)
	for _, g := range groups {
		start := len(s.Table.Blocks)
		for _, b := range g.blocks {
			if name, found := names[b.Region]; found {
				b.Region = name
			}
			s.Table.Blocks = append(s.Table.Blocks, b)
		}
		s.blockRanges[g.hash] = blockRange{
			start: start,
			end:   len(s.Table.Blocks),
		}
	}
}
