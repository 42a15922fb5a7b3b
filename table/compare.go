package table

import (
	"cmp"
	"reflect"
	"slices"
)

// Change is one difference between two tables: [Added], [Removed] or
// [Changed].
type Change interface {
	// Key names the row that differs.
	Key() RowKey
	change()
}

// Added is a row that only the later table has.
type Added struct {
	Row Row
}

// Removed is a row that only the earlier table has.
type Removed struct {
	Row Row
}

// Changed is a row that both tables have, with different cells.
type Changed struct {
	Before Row
	After  Row
}

// Key names the row.
func (c Added) Key() RowKey { return c.Row.Key() }

// Key names the row.
func (c Removed) Key() RowKey { return c.Row.Key() }

// Key names the row.
func (c Changed) Key() RowKey { return c.After.Key() }

func (Added) change()   {}
func (Removed) change() {}
func (Changed) change() {}

// Diff returns the changes that lead from one table to the other: removed
// and changed rows in the order of the earlier table, then added ones in the
// order of the later. The order of rows makes no difference.
func Diff(before, after Table) []Change {
	changes := compareRows(nil, before.Regions, after.Regions)
	changes = compareRows(changes, before.Routes, after.Routes)
	changes = compareRows(changes, before.Teams, after.Teams)
	changes = compareRows(changes, before.Links, after.Links)
	changes = compareRows(changes, before.Drains, after.Drains)
	return compareBlocks(changes, before.Blocks, after.Blocks)
}

func compareRows[R Row](changes []Change, before, after []R) []Change {
	later := make(map[RowKey]R, len(after))
	for _, r := range after {
		later[r.Key()] = r
	}
	earlier := make(map[RowKey]bool, len(before))
	for _, r := range before {
		earlier[r.Key()] = true
		now, stays := later[r.Key()]
		if !stays {
			changes = append(changes, Removed{
				Row: r,
			})
			continue
		}
		if !sameRow(r, now) {
			changes = append(changes, Changed{
				Before: r,
				After:  now,
			})
		}
	}
	for _, r := range after {
		if !earlier[r.Key()] {
			changes = append(changes, Added{
				Row: r,
			})
		}
	}
	return changes
}

// sameRow ignores the order of a route's weights and the zone of a time.
func sameRow(a, b Row) bool {
	switch r := a.(type) {
	case Route:
		s, ok := b.(Route)
		return ok && sameRoute(r, s)
	case Drain:
		s, ok := b.(Drain)
		return ok && r.Region == s.Region && r.Start.Equal(s.Start) && r.End.Equal(s.End)
	}
	return reflect.DeepEqual(a, b)
}

func sameRoute(a, b Route) bool {
	a.Weights = slices.Clone(a.Weights)
	b.Weights = slices.Clone(b.Weights)
	sortWeights(a.Weights)
	sortWeights(b.Weights)
	same := slices.Equal(a.Weights, b.Weights)
	a.Weights, b.Weights = nil, nil
	return same && reflect.DeepEqual(a, b)
}

// compareBlocks walks both lists in order of prefix, so that a large table
// needs no text key for each block.
func compareBlocks(changes []Change, before, after []ClientBlock) []Change {
	before, after = sortedBlocks(before), sortedBlocks(after)
	for len(before) > 0 || len(after) > 0 {
		switch order := compareHeads(before, after); {
		case order < 0:
			changes = append(changes, Removed{
				Row: before[0],
			})
			before = before[1:]
		case order > 0:
			changes = append(changes, Added{
				Row: after[0],
			})
			after = after[1:]
		default:
			if before[0] != after[0] {
				changes = append(changes, Changed{
					Before: before[0],
					After:  after[0],
				})
			}
			before, after = before[1:], after[1:]
		}
	}
	return changes
}

func sortedBlocks(blocks []ClientBlock) []ClientBlock {
	order := func(a, b ClientBlock) int {
		return cmp.Or(comparePrefixes(a.Prefix, b.Prefix), cmp.Compare(a.Region, b.Region))
	}
	if slices.IsSortedFunc(blocks, order) {
		return blocks
	}
	blocks = slices.Clone(blocks)
	slices.SortFunc(blocks, order)
	return blocks
}

func compareHeads(before, after []ClientBlock) int {
	switch {
	case len(before) == 0:
		return 1
	case len(after) == 0:
		return -1
	}
	return comparePrefixes(before[0].Prefix, after[0].Prefix)
}
