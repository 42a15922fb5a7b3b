package steer

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"trefoilline.example/trefoilline/table"
)

// Blocks finds the region of a client by the longest block that holds it. The
// zero value knows no block. It never changes, so it is safe for concurrent
// use.
type ClientBlocks struct {
	regions []string
	tree    *bart.Table[uint16]
}

// NewClientBlocks returns the table's blocks, indexed.
func NewClientBlocks(blocks []table.ClientBlock) ClientBlocks {
	b := ClientBlocks{
		tree: new(bart.Table[uint16]),
	}
	index := make(map[string]uint16)
	for _, block := range blocks {
		number, known := index[block.Region]
		if !known {
			number = uint16(len(b.regions))
			index[block.Region] = number
			b.regions = append(b.regions, block.Region)
		}
		b.tree.Insert(block.Prefix.Masked(), number)
	}
	return b
}

// RegionOf returns the client's region, empty if no block holds it.
func (b ClientBlocks) RegionOf(client netip.Addr) string {
	if b.tree == nil {
		return ""
	}
	number, found := b.tree.Lookup(client.Unmap())
	if !found {
		return ""
	}
	return b.regions[number]
}
