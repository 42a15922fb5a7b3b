package steer

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"trefoilline.example/trefoilline/table"
)

// ClientBlocks maps client addresses to regions by the longest client block
// that holds the address. The zero value has no block. ClientBlocks does not
// change after NewClientBlocks, so it is safe for concurrent use.
type ClientBlocks struct {
	regions []string
	// tree maps each block to an index in regions.
	tree *bart.Table[uint16]
}

// NewClientBlocks returns an index of the blocks.
func NewClientBlocks(blocks []table.ClientBlock) ClientBlocks {
	b := ClientBlocks{
		tree: new(bart.Table[uint16]),
	}
	numbers := make(map[string]uint16)
	for _, block := range blocks {
		number, known := numbers[block.Region]
		if !known {
			number = uint16(len(b.regions))
			numbers[block.Region] = number
			b.regions = append(b.regions, block.Region)
		}
		b.tree.Insert(block.Prefix.Masked(), number)
	}
	return b
}

// RegionOf returns the client's region, or an empty string if no block holds
// the address.
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
