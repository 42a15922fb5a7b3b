package table

import (
	"cmp"
	"reflect"
	"slices"
)

// Change is the difference in one row between two tables: [Added], [Removed] or
// [Changed].
type Change interface {
	// Key returns the key of the row that differs.
	Key() RowKey
	isChange()
}

// Added is a row that only the second table has.
type Added struct {
	Row Row
}

// Removed is a row that only the first table has.
type Removed struct {
	Row Row
}

// Changed is a row that both tables have with different cells.
type Changed struct {
	Before Row
	After  Row
}

// Key returns the key of the row.
func (c Added) Key() RowKey { return c.Row.Key() }

// Key returns the key of the row.
func (c Removed) Key() RowKey { return c.Row.Key() }

// Key returns the key of the row.
func (c Changed) Key() RowKey { return c.After.Key() }

func (Added) isChange()   {}
func (Removed) isChange() {}
func (Changed) isChange() {}

// Diff returns the changes that lead from the first table to the second. For each
// kind of row it returns the removed and changed rows in the order of the first
// table, then the added rows in the order of the second; changes of client blocks
// are ordered by prefix. A different order of rows is not a change.
func Diff(before, after Table) []Change {
	changes := diffRows(nil, before.Regions, after.Regions)
	changes = diffRows(changes, before.Routes, after.Routes)
	changes = diffRows(changes, before.Teams, after.Teams)
	changes = diffRows(changes, before.Links, after.Links)
	changes = diffRows(changes, before.Drains, after.Drains)
	return diffBlocks(changes, before.Blocks, after.Blocks)
}

func diffRows[R Row](changes []Change, before, after []R) []Change {
	later := make(map[RowKey]R, len(after))
	for _, r := range after {
		later[r.Key()] = r
	}
	earlier := make(map[RowKey]bool, len(before))
	for _, r := range before {
		earlier[r.Key()] = true
		current, remains := later[r.Key()]
		if !remains {
			changes = append(changes, Removed{
				Row: r,
			})
			continue
		}
		if !equalRows(r, current) {
			changes = append(changes, Changed{
				Before: r,
				After:  current,
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

// equalRows reports whether two rows are equal. It ignores the order of a route's
// weights and the time zones of a drain's times.
func equalRows(a, b Row) bool {
	switch r := a.(type) {
	case Route:
		s, ok := b.(Route)
		return ok && equalRoutes(r, s)
	case Drain:
		s, ok := b.(Drain)
		return ok && r.Region == s.Region && r.Start.Equal(s.Start) && r.End.Equal(s.End)
	}
	return reflect.DeepEqual(a, b)
}

func equalRoutes(a, b Route) bool {
	a.Weights = slices.Clone(a.Weights)
	b.Weights = slices.Clone(b.Weights)
	sortWeights(a.Weights)
	sortWeights(b.Weights)
	same := slices.Equal(a.Weights, b.Weights)
	a.Weights, b.Weights = nil, nil
	return same && reflect.DeepEqual(a, b)
}

// diffBlocks compares both lists in order of prefix, which needs no text key for each
// block of a large table.
func diffBlocks(changes []Change, before, after []ClientBlock) []Change {
	before, after = sortedBlocks(before), sortedBlocks(after)
	for len(before) > 0 || len(after) > 0 {
		switch order := compareFirstBlocks(before, after); {
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

func compareFirstBlocks(before, after []ClientBlock) int {
	switch {
	case len(before) == 0:
		return 1
	case len(after) == 0:
		return -1
	}
	return comparePrefixes(before[0].Prefix, after[0].Prefix)
}
