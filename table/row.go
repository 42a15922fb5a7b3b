package table

import (
	"cmp"
	"net/netip"
	"time"
)

// Kind is the type of a row of the table.
type Kind string

// The kinds of rows.
const (
	// KindVersion marks the row that holds the version a file was exported from;
	// the number is in column name.
	KindVersion Kind = "version"

	KindRegion Kind = "region"
	KindRoute  Kind = "route"
	KindTeam   Kind = "team"
	KindLink   Kind = "link"
	KindDrain  Kind = "drain"
	KindBlock  Kind = "block"
)

// RowKey identifies a row. A table has at most one row for each key.
type RowKey struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (k RowKey) String() string { return string(k.Kind) + " " + k.Name }

// Row is one row of the table: a [Region], [Route], [Team], [Link], [Drain] or
// [ClientBlock].
type Row interface {
	// Key returns the key that identifies the row within its table.
	Key() RowKey
	isRow()
}

func (Region) isRow()      {}
func (Route) isRow()       {}
func (Team) isRow()        {}
func (Link) isRow()        {}
func (Drain) isRow()       {}
func (ClientBlock) isRow() {}

// Key returns the key of the region: its name.
func (r Region) Key() RowKey {
	return RowKey{
		Kind: KindRegion,
		Name: r.Name,
	}
}

// Key returns the key of the route: its name.
func (r Route) Key() RowKey {
	return RowKey{
		Kind: KindRoute,
		Name: r.Name,
	}
}

// Key returns the key of the team: its name.
func (t Team) Key() RowKey {
	return RowKey{
		Kind: KindTeam,
		Name: t.Name,
	}
}

// Key returns the key of the link: its two regions.
func (l Link) Key() RowKey {
	return RowKey{
		Kind: KindLink,
		Name: l.From + ">" + l.To,
	}
}

// Key returns the key of the drain: its region and start time.
func (d Drain) Key() RowKey {
	return RowKey{
		Kind: KindDrain,
		Name: d.Region + "@" + d.Start.UTC().Format(time.RFC3339),
	}
}

// Key returns the key of the block: its prefix.
func (b ClientBlock) Key() RowKey {
	return RowKey{
		Kind: KindBlock,
		Name: b.Prefix.String(),
	}
}

// comparePrefixes orders prefixes by address, then by prefix length.
func comparePrefixes(a, b netip.Prefix) int {
	return cmp.Or(a.Addr().Compare(b.Addr()), cmp.Compare(a.Bits(), b.Bits()))
}
