package table

import (
	"maps"
	"slices"
	"strings"
)

// FormatRow returns a row in words for people: its filled cells in the order of
// the file.
func FormatRow(row Row) string {
	cells := cellsOf(row)
	var words []string
	for _, column := range columnNames[1:] {
		if column == ColumnRate {
			words = append(words, weightWords(cells)...)
		}
		if value := cells[column]; value != "" {
			words = append(words, column+"="+value)
		}
	}
	return string(row.Key().Kind) + " " + strings.Join(words, " ")
}

func weightWords(cells map[string]string) []string {
	var words []string
	for _, column := range slices.Sorted(maps.Keys(cells)) {
		if strings.HasPrefix(column, WeightColumnPrefix) {
			words = append(words, column+"="+cells[column])
		}
	}
	return words
}

// FormatChange returns a change in words for people: "+" and the row for an
// added one, "-" and the row for a removed one, "~" and the cells that differ
// for a changed one.
func FormatChange(change Change) string {
	switch c := change.(type) {
	case Added:
		return "+ " + FormatRow(c.Row)
	case Removed:
		return "- " + FormatRow(c.Row)
	case Changed:
		return "~ " + c.Key().String() + ": " + strings.Join(changedCells(c), ", ")
	}
	return ""
}

func changedCells(c Changed) []string {
	before, after := cellsOf(c.Before), cellsOf(c.After)
	columns := make(map[string]bool)
	for column := range before {
		columns[column] = true
	}
	for column := range after {
		columns[column] = true
	}
	var words []string
	for _, column := range slices.Sorted(maps.Keys(columns)) {
		if before[column] != after[column] {
			words = append(words, column+" "+orNone(before[column])+" -> "+orNone(after[column]))
		}
	}
	return words
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}
