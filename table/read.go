package table

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"golang.org/x/sync/errgroup"

	"trefoilline.example/trefoilline/objectstore"
)

// MaxParallelReads is how many parts a reader asks for at once.
const MaxParallelReads = 8

// Reader loads versions of the table, each whole or not at all, and asks only
// for the parts that the version loaded before did not have. The zero value is
// ready; it is not safe for concurrent use.
type Reader struct {
	last *Snapshot
}

// Load returns the version in force. Errors are those of the source, a
// [NoTableError] if nothing has been published, or a [CorruptObjectError].
func (r *Reader) Load(ctx context.Context, source Getter) (*Snapshot, error) {
	content, err := getHead(ctx, source)
	if err != nil {
		return nil, err
	}
	if r.last != nil && bytes.Equal(content, r.last.head) {
		return r.last, nil
	}
	head, err := decodeHead(content)
	if err != nil {
		return nil, err
	}
	return r.LoadHead(ctx, source, head)
}

// LoadHead returns the version that the head names, for callers that have
// learned of the head by a watch.
func (r *Reader) LoadHead(ctx context.Context, source Getter, head Head) (*Snapshot, error) {
	if r.last != nil && r.last.Head.ManifestHash == head.ManifestHash {
		return r.last, nil
	}
	snapshot, err := r.load(ctx, source, head)
	if err != nil {
		return nil, err
	}
	r.last = snapshot
	return snapshot, nil
}

func getHead(ctx context.Context, source Getter) ([]byte, error) {
	object, err := source.Get(ctx, HeadKey)
	var missing *objectstore.NotFoundError
	if errors.As(err, &missing) {
		return nil, &NoTableError{}
	}
	return object.Value, err
}

// ParseHead reads the content of the object at [HeadKey]. Errors are a
// [CorruptObjectError].
func ParseHead(content []byte) (Head, error) { return decodeHead(content) }

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

func (r *Reader) load(ctx context.Context, source Getter, head Head) (*Snapshot, error) {
	content, manifest, err := getManifest(ctx, source, head.Version, head.ManifestHash)
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		Head:     head,
		Manifest: manifest,
		manifest: content,
	}
	if s.head, err = json.Marshal(head); err != nil {
		return nil, &EncodeError{
			Cause: err,
		}
	}
	if s.first, err = r.firstContent(ctx, source, manifest.PartHashes[0]); err != nil {
		return nil, err
	}
	first, err := decodePart(PartKey(manifest.PartHashes[0]), s.first)
	if err != nil {
		return nil, err
	}
	groups, err := r.groups(ctx, source, manifest.PartHashes[1:])
	if err != nil {
		return nil, err
	}
	s.Table = Table{
		Version: head.Version,
		Regions: first.Regions,
		Routes:  first.Routes,
		Teams:   first.Teams,
		Links:   first.Links,
		Drains:  first.Drains,
	}
	s.join(groups)
	if len(s.Table.Blocks) != manifest.BlockCount {
		return nil, &CorruptObjectError{
			Key: ManifestKey(head.Version, head.ManifestHash),
		}
	}
	return s, nil
}

// firstContent returns the part with the rows that are no blocks, without a call
// if the last snapshot has it.
func (r *Reader) firstContent(ctx context.Context, source Getter, sum Hash) ([]byte, error) {
	if r.last != nil && r.last.Manifest.PartHashes[0] == sum {
		return r.last.first, nil
	}
	return getContent(ctx, source, PartKey(sum), sum)
}

// getManifest reads a manifest and checks that it is the one that was named.
func getManifest(ctx context.Context, source Getter, version Version, sum Hash) ([]byte, Manifest, error) {
	key := ManifestKey(version, sum)
	content, err := getContent(ctx, source, key, sum)
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

// getContent reads an object and checks it against its sum.
func getContent(ctx context.Context, source Getter, key string, sum Hash) ([]byte, error) {
	object, err := source.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	if sumOf(object.Value) != sum {
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

// blockGroup is a part with blocks, by its sum.
type blockGroup struct {
	sum    Hash
	blocks []ClientBlock
}

// groups returns the parts with blocks, those of the last snapshot without a
// call.
func (r *Reader) groups(ctx context.Context, source Getter, sums []Hash) ([]blockGroup, error) {
	groups := make([]blockGroup, len(sums))
	calls, ctx := errgroup.WithContext(ctx)
	calls.SetLimit(MaxParallelReads)
	for i, sum := range sums {
		groups[i].sum = sum
		if blocks, held := r.held(sum); held {
			groups[i].blocks = blocks
			continue
		}
		calls.Go(func() error {
			content, err := getContent(ctx, source, PartKey(sum), sum)
			if err != nil {
				return err
			}
			part, err := decodePart(PartKey(sum), content)
			groups[i].blocks = part.Blocks
			return err
		})
	}
	return groups, calls.Wait()
}

func (r *Reader) held(sum Hash) ([]ClientBlock, bool) {
	if r.last == nil {
		return nil, false
	}
	place, held := r.last.groups[sum]
	return r.last.Table.Blocks[place.from:place.to], held
}

// join makes one list of the groups. All blocks of a region share one copy of
// its name, so that a large table stays small in memory.
func (s *Snapshot) join(groups []blockGroup) {
	names := make(map[string]string, len(s.Table.Regions))
	for _, r := range s.Table.Regions {
		names[r.Name] = r.Name
	}
	s.groups = make(map[Hash]blockRange, len(groups))
	s.Table.Blocks = make([]ClientBlock, 0, s.Manifest.BlockCount)
	for _, g := range groups {
		from := len(s.Table.Blocks)
		for _, b := range g.blocks {
			if name, known := names[b.Region]; known {
				b.Region = name
			}
			s.Table.Blocks = append(s.Table.Blocks, b)
		}
		s.groups[g.sum] = blockRange{
			from: from,
			to:   len(s.Table.Blocks),
		}
	}
}
