package table

import (
	"cmp"
	"net/netip"
	"time"
)

// Kind says what a row of the table describes.
type Kind string

// The kinds of rows.
const (
	// KindVersion is the row that says which version a file was read from; its
	// number stands in column name.
	KindVersion Kind = "version"

	KindRegion Kind = "region"
	KindRoute  Kind = "route"
	KindTeam   Kind = "team"
	KindLink   Kind = "link"
	KindDrain  Kind = "drain"
	KindBlock  Kind = "block"
)

// RowKey names a row: two rows of one key cannot stand in one table.
type RowKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (k RowKey) String() string { return string(k.Kind) + " " + k.Name }

// Line is one row of the table: a [Region], [Route], [Team], [Link], [Drain] or
// [ClientBlock].
type Row interface {
	// Key names the row within its table.
	Key() RowKey
	row()
}

func (Region) row()      {}
func (Route) row()       {}
func (Team) row()        {}
func (Link) row()        {}
func (Drain) row()       {}
func (ClientBlock) row() {}

// Key names the region.
func (r Region) Key() RowKey {
	return RowKey{
		Kind: KindRegion,
		Name: r.Name,
	}
}

// Key names the route.
func (r Route) Key() RowKey {
	return RowKey{
		Kind: KindRoute,
		Name: r.Name,
	}
}

// Key names the team.
func (t Team) Key() RowKey {
	return RowKey{
		Kind: KindTeam,
		Name: t.Name,
	}
}

// Key names the link by its two ends.
func (l Link) Key() RowKey {
	return RowKey{
		Kind: KindLink,
		Name: l.From + ">" + l.To,
	}
}

// Key names the drain by its region and start.
func (d Drain) Key() RowKey {
	return RowKey{
		Kind: KindDrain,
		Name: d.Region + "@" + d.Start.UTC().Format(time.RFC3339),
	}
}

// Key names the block by its prefix.
func (b ClientBlock) Key() RowKey {
	return RowKey{
		Kind: KindBlock,
		Name: b.Prefix.String(),
	}
}

// comparePrefixes orders prefixes by address, then by length.
func comparePrefixes(a, b netip.Prefix) int {
	return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Bits(), b.Bits()))
}
