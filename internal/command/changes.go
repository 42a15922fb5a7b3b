package command

import (
	"fmt"
	"io"

	"trefoilline.example/trefoilline/table"
)

// maxChangesShown is how many changes are listed for people.
const maxChangesShown = 100

// changeLine is one change as it encodes in JSON.
type changeLine struct {
	Action string     `json:"action"`
	Kind   table.Kind `json:"kind"`
	Name   string     `json:"name"`
	Before table.Row  `json:"before,omitempty"`
	After  table.Row  `json:"after,omitempty"`
}

// changeList is the answer of "table diff".
type changeList struct {
	// From and To are zero where a file stands in for a version.
	From    table.Version `json:"from"`
	To      table.Version `json:"to,omitempty"`
	Changes []changeLine  `json:"changes"`

	changes []table.Change
}

func listChanges(from, to table.Version, changes []table.Change) changeList {
	list := changeList{
		From:    from,
		To:      to,
		Changes: []changeLine{},
		changes: changes,
	}
	for _, change := range changes {
		list.Changes = append(list.Changes, lineOf(change))
	}
	return list
}

func lineOf(change table.Change) changeLine {
	line := changeLine{
		Kind: change.Key().Kind,
		Name: change.Key().Name,
	}
	switch c := change.(type) {
	case table.Added:
		line.Action = "added"
		line.After = c.Row
	case table.Removed:
		line.Action = "removed"
		line.Before = c.Row
	case table.Changed:
		line.Action = "changed"
		line.Before = c.Before
		line.After = c.After
	}
	return line
}

func (l changeList) grid() grid {
	return grid{
		before: changeLines(l.changes),
	}
}

func changeLines(changes []table.Change) []string {
	if len(changes) == 0 {
		return []string{"no row differs"}
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
	for _, line := range changeLines(changes) {
		fmt.Fprintln(w, "  "+line)
	}
}
