package command

import (
	"fmt"
	"io"

	"trefoilline.example/trefoilline/table"
)

// maxChangesShown is the maximum number of changes in text output.
const maxChangesShown = 100

// changeRecord is one change as encoded in JSON.
type changeRecord struct {
	Action string     `json:"action"`
	Kind   table.Kind `json:"kind"`
	Name   string     `json:"name"`
	Before table.Row  `json:"before,omitempty"`
	After  table.Row  `json:"after,omitempty"`
}

// changeList is the result of "table diff".
type changeList struct {
	// From and To are the compared versions; To is zero if it is a file.
	From    table.Version  `json:"from"`
	To      table.Version  `json:"to,omitempty"`
	Changes []changeRecord `json:"changes"`

	tableChanges []table.Change
}

func newChangeList(from, to table.Version, changes []table.Change) changeList {
	list := changeList{
		From:         from,
		To:           to,
		Changes:      []changeRecord{},
		tableChanges: changes,
	}
	for _, change := range changes {
		list.Changes = append(list.Changes, newChangeRecord(change))
	}
	return list
}

func newChangeRecord(change table.Change) changeRecord {
	record := changeRecord{
		Kind: change.Key().Kind,
		Name: change.Key().Name,
	}
	switch c := change.(type) {
	case table.Added:
		record.Action = "added"
		record.After = c.Row
	case table.Removed:
		record.Action = "removed"
		record.Before = c.Row
	case table.Changed:
		record.Action = "changed"
		record.Before = c.Before
		record.After = c.After
	}
	return record
}

func (l changeList) textOutput() textOutput {
	return textOutput{
		linesBefore: formatChanges(l.tableChanges),
	}
}

func formatChanges(changes []table.Change) []string {
	if len(changes) == 0 {
		return []string{"no rows differ"}
	}
	var lines []string
	for i, change := range changes {
		if i == maxChangesShown {
			lines = append(lines, fmt.Sprintf("and %d more rows", len(changes)-i))
			break
		}
		lines = append(lines, table.FormatChange(change))
	}
	return lines
}

func printChanges(w io.Writer, title string, changes []table.Change) {
	fmt.Fprintln(w, title)
	for _, line := range formatChanges(changes) {
		fmt.Fprintln(w, "  "+line)
	}
}
