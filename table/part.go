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

// BlocksPerPart is how many blocks a part holds at most on average. It keeps a
// part far below [objectstore.MaxValueSize], and an edit of one block small.
const BlocksPerPart = 2048

// Hash is the SHA-256 of an object's content, in hexadecimal.
type Hash string

func sumOf(content []byte) Hash {
	sum := sha256.Sum256(content)
	return Hash(hex.EncodeToString(sum[:]))
}

// Part is one piece of a table. Parts are named by their content, so versions
// share the parts that an edit left alone, and a part never changes.
type Part struct {
	Regions []Region      `json:"regions,omitempty"`
	Routes  []Route       `json:"routes,omitempty"`
	Teams   []Team        `json:"teams,omitempty"`
	Links   []Link        `json:"links,omitempty"`
	Drains  []Drain       `json:"drains,omitempty"`
	Blocks  []ClientBlock `json:"blocks,omitempty"`
}

// encodedPart is a part as it lies in the store.
type encodedPart struct {
	sum     Hash
	content []byte
	blocks  []ClientBlock
}

// split cuts a table into parts: the first holds the rows that are not blocks,
// each of the others the blocks whose prefix hashes to it.
func split(t Table) ([]encodedPart, error) {
	groups := groupBlocks(t.Blocks)
	parts := make([]encodedPart, 0, 1+len(groups))
	first := Part{
		Regions: t.Regions,
		Routes:  t.Routes,
		Teams:   t.Teams,
		Links:   t.Links,
		Drains:  t.Drains,
	}
	encoded, err := encode(first)
	if err != nil {
		return nil, err
	}
	parts = append(parts, encoded)
	for _, blocks := range groups {
		encoded, err := encode(Part{
			Blocks: blocks,
		})
		if err != nil {
			return nil, err
		}
		parts = append(parts, encoded)
	}
	return parts, nil
}

func encode(p Part) (encodedPart, error) {
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
		sum:     sumOf(content),
		content: content,
		blocks:  p.Blocks,
	}, nil
}

// groupBlocks spreads the blocks over a power of two of groups, so that the
// groups stay the same while a table grows, until their number doubles.
func groupBlocks(blocks []ClientBlock) [][]ClientBlock {
	if len(blocks) == 0 {
		return nil
	}
	count := 1 << bits.Len(uint((len(blocks)-1)/BlocksPerPart))
	groups := make([][]ClientBlock, count)
	for _, b := range blocks {
		g := groupOf(b, count)
		groups[g] = append(groups[g], b)
	}
	for _, g := range groups {
		slices.SortFunc(g, func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) })
	}
	return groups
}

func groupOf(b ClientBlock, count int) int {
	address := b.Prefix.Addr().As16()
	key := append(address[:], byte(b.Prefix.Bits()))
	return int(xxhash.Sum64(key) & uint64(count-1))
}
