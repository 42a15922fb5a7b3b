package table

import (
	"fmt"
	"slices"
	"strings"
)

// MergeConflictError reports rows that the edit and versions published since its base
// changed in different ways; applying either change would undo the other.
type MergeConflictError struct {
	// Ours are the changes that the edit made to these rows, Theirs the changes
	// published since, in the same order.
	Ours   []Change
	Theirs []Change
}

func (e *MergeConflictError) Error() string {
	names := make([]string, len(e.Ours))
	for i, c := range e.Ours {
		names[i] = c.Key().String()
	}
	return fmt.Sprintf("%d rows were edited by both this edit and versions published since its base: %s", len(names), strings.Join(names, ", "))
}

// Merge applies to the current table the changes that lead from the base table to the
// edited one. Rows that both sides changed in the same way do not conflict. It fails
// with a [MergeConflictError] if both sides changed a row in different ways, or with an
// [InvalidError] if the merged table is invalid; in the latter case it also returns
// the merged table.
func Merge(base, edited, current Table) (Table, error) {
	ours := Diff(base, edited)
	theirs := make(map[RowKey]Change)
	for _, c := range Diff(base, current) {
		theirs[c.Key()] = c
	}
	conflict := &MergeConflictError{}
	var pending []Change
	for _, c := range ours {
		other, both := theirs[c.Key()]
		switch {
		case !both:
			pending = append(pending, c)
		case !haveSameResult(c, other):
			conflict.Ours = append(conflict.Ours, c)
			conflict.Theirs = append(conflict.Theirs, other)
		}
	}
	if len(conflict.Ours) > 0 {
		return Table{}, conflict
	}
	merged := ApplyChanges(current, pending)
	return merged, Validate(merged)
}

// haveSameResult reports whether two changes of one row have the same result.
func haveSameResult(a, b Change) bool {
	rowA, rowB := resultingRow(a), resultingRow(b)
	if rowA == nil || rowB == nil {
		return rowA == nil && rowB == nil
	}
	return equalRows(rowA, rowB)
}

// resultingRow returns the row after a change, or nil if the change removes it.
func resultingRow(change Change) Row {
	switch c := change.(type) {
	case Added:
		return c.Row
	case Changed:
		return c.After
	}
	return nil
}

// ApplyChanges returns a copy of the table with the changes applied. It does not
// validate the result.
func ApplyChanges(t Table, changes []Change) Table {
	edits := make(map[RowKey]Change, len(changes))
	for _, c := range changes {
		edits[c.Key()] = c
	}
	t.Regions = applyRowChanges(t.Regions, KindRegion, changes, edits)
	t.Routes = applyRowChanges(t.Routes, KindRoute, changes, edits)
	t.Teams = applyRowChanges(t.Teams, KindTeam, changes, edits)
	t.Links = applyRowChanges(t.Links, KindLink, changes, edits)
	t.Drains = applyRowChanges(t.Drains, KindDrain, changes, edits)
	t.Blocks = applyRowChanges(t.Blocks, KindBlock, changes, edits)
	return t
}

func applyRowChanges[R Row](rows []R, kind Kind, changes []Change, edits map[RowKey]Change) []R {
	if !slices.ContainsFunc(changes, func(c Change) bool { return c.Key().Kind == kind }) {
		return rows
	}
	var result []R
	existing := make(map[RowKey]bool, len(rows))
	for _, r := range rows {
		existing[r.Key()] = true
		change, edited := edits[r.Key()]
		if !edited {
			result = append(result, r)
			continue
		}
		if row, remains := resultingRow(change).(R); remains {
			result = append(result, row)
		}
	}
	for _, c := range changes {
		row, adds := resultingRow(c).(R)
		if adds && !existing[c.Key()] {
			result = append(result, row)
		}
	}
	return result
}
