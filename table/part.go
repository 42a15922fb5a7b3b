package table

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"trefoilline.example/trefoilline/objectstore"
)

// BlocksPerPart is the maximum average number of client blocks per part. It keeps
// the size of a part far below [objectstore.MaxValueSize], and limits what an edit of
// one block has to write.
const BlocksPerPart = 2048

// Hash is the SHA-256 hash of an object's content in hexadecimal.
type Hash string

func hashOf(content []byte) Hash {
	hash := sha256.Sum256(content)
	return Hash(hex.EncodeToString(hash[:]))
}

// Part is a subset of the rows of a table, stored as one object. The key of a part
// contains the hash of its content, so a part never changes, and versions share the
// parts that an edit does not change.
type Part struct {
	Regions []Region      `json:"regions,omitempty"`
	Routes  []Route       `json:"routes,omitempty"`
	Teams   []Team        `json:"teams,omitempty"`
	Links   []Link        `json:"links,omitempty"`
	Drains  []Drain       `json:"drains,omitempty"`
	Blocks  []ClientBlock `json:"blocks,omitempty"`
}

// encodedPart is a part in its stored form, with its hash.
type encodedPart struct {
	hash    Hash
	content []byte
	blocks  []ClientBlock
}

// encodeParts splits a table into parts and encodes them. The first part holds all
// rows except the client blocks; the blocks are distributed over the other parts by
// the hash of their prefix.
func encodeParts(t Table) ([]encodedPart, error) {
	groups := groupBlocks(t.Blocks)
	parts := make([]encodedPart, 0, 1+len(groups))
	mainPart := Part{
		Regions: t.Regions,
		Routes:  t.Routes,
		Teams:   t.Teams,
		Links:   t.Links,
		Drains:  t.Drains,
	}
	encoded, err := encodePart(mainPart)
	if err != nil {
		return nil, err
	}
	parts = append(parts, encoded)
	for _, blocks := range groups {
		encoded, err := encodePart(Part{
			Blocks: blocks,
		})
		if err != nil {
			return nil, err
		}
		parts = append(parts, encoded)
	}
	return parts, nil
}

func encodePart(p Part) (encodedPart, error) {
	content, err := json.Marshal(p)
	if err != nil {
		return encodedPart{}, &EncodeError{
			Cause: err,
		}
	}
	if len(content) > objectstore.MaxValueSize {
		return encodedPart{}, &PartTooLargeError{
			Size: len(content),
		}
	}
	return encodedPart{
		hash:    hashOf(content),
		content: content,
		blocks:  p.Blocks,
	}, nil
}

// groupBlocks distributes the blocks over groups by the hash of their prefix. The
// number of groups is a power of two, so that blocks keep their group while a table
// grows, until the number of groups doubles.
func groupBlocks(blocks []ClientBlock) [][]ClientBlock {
	if len(blocks) == 0 {
		return nil
	}
	count := 1 << bits.Len(uint((len(blocks)-1)/BlocksPerPart))
	groups := make([][]ClientBlock, count)
	for _, b := range blocks {
		g := groupIndex(b, count)
		groups[g] = append(groups[g], b)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) })
	}
	return groups
}

func groupIndex(b ClientBlock, count int) int {
	address := b.Prefix.Addr().As16()
	key := append(address[:], byte(b.Prefix.Bits()))
	return int(xxhash.Sum64(key) & uint64(count-1))
}
