package table

import (
	"fmt"
	"slices"
	"strings"
)

// OverlapError reports two edits of the same rows; neither can be applied over
// the other without losing it.
type MergeConflictError struct {
	// Ours and Theirs are the changes of the overlapping rows.
	Ours   []Change
	Theirs []Change
}

func (e *MergeConflictError) Error() string {
	names := make([]string, len(e.Ours))
	for i, c := range e.Ours {
		names[i] = c.Key().String()
	}
	return fmt.Sprintf("%d rows were edited by both: %s", len(names), strings.Join(names, ", "))
}

// Merge applies to the current table what the edit changed in its base. Rows
// that both changed in the same way are no overlap. It returns an
// [MergeConflictError], or an [InvalidError] if the outcome fails the checks.
func Merge(base, edited, current Table) (Table, error) {
	ours := Diff(base, edited)
	theirs := make(map[RowKey]Change)
	for _, c := range Diff(base, current) {
		theirs[c.Key()] = c
	}
	overlap := &MergeConflictError{}
	var wanted []Change
	for _, c := range ours {
		other, both := theirs[c.Key()]
		switch {
		case !both:
			wanted = append(wanted, c)
		case !sameOutcome(c, other):
			overlap.Ours = append(overlap.Ours, c)
			overlap.Theirs = append(overlap.Theirs, other)
		}
	}
	if len(overlap.Ours) > 0 {
		return Table{}, overlap
	}
	merged := ApplyChanges(current, wanted)
	return merged, Validate(merged)
}

// sameOutcome says whether two changes of one row leave it the same.
func sameOutcome(a, b Change) bool {
	before, after := outcome(a), outcome(b)
	if before == nil || after == nil {
		return before == nil && after == nil
	}
	return sameRow(before, after)
}

// outcome returns the row that a change leaves, nil for none.
func outcome(change Change) Row {
	switch c := change.(type) {
	case Added:
		return c.Row
	case Changed:
		return c.After
	}
	return nil
}

// ApplyChanges returns the table with the changes made; the given table stays as it
// is. It checks nothing.
func ApplyChanges(t Table, changes []Change) Table {
	edits := make(map[RowKey]Change, len(changes))
	for _, c := range changes {
		edits[c.Key()] = c
	}
	t.Regions = applyRows(t.Regions, KindRegion, changes, edits)
	t.Routes = applyRows(t.Routes, KindRoute, changes, edits)
	t.Teams = applyRows(t.Teams, KindTeam, changes, edits)
	t.Links = applyRows(t.Links, KindLink, changes, edits)
	t.Drains = applyRows(t.Drains, KindDrain, changes, edits)
	t.Blocks = applyRows(t.Blocks, KindBlock, changes, edits)
	return t
}

func applyRows[R Row](rows []R, kind Kind, changes []Change, edits map[RowKey]Change) []R {
	if !slices.ContainsFunc(changes, func(c Change) bool { return c.Key().Kind == kind }) {
		return rows
	}
	var kept []R
	held := make(map[RowKey]bool, len(rows))
	for _, r := range rows {
		held[r.Key()] = true
		change, edited := edits[r.Key()]
		if !edited {
			kept = append(kept, r)
			continue
		}
		if row, stays := outcome(change).(R); stays {
			kept = append(kept, row)
		}
	}
	for _, c := range changes {
		row, adds := outcome(c).(R)
		if adds && !held[c.Key()] {
			kept = append(kept, row)
		}
	}
	return kept
}
