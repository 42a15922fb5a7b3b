package table

import (
	"maps"
	"slices"
	"strings"
)

// FormatRow returns a readable description of a row: its kind, and its filled cells
// as column=value in the order of the file.
func FormatRow(row Row) string {
	cells := rowCells(row)
	var words []string
	for _, column := range columnNames[1:] {
		if column == ColumnRate {
			words = append(words, formatWeights(cells)...)
		}
		if value := cells[column]; value != "" {
			words = append(words, column+"="+value)
		}
	}
	return string(row.Key().Kind) + " " + strings.Join(words, " ")
}

func formatWeights(cells map[string]string) []string {
	var words []string
	for _, column := range slices.Sorted(maps.Keys(cells)) {
		if strings.HasPrefix(column, WeightColumnPrefix) {
			words = append(words, column+"="+cells[column])
		}
	}
	return words
}

// FormatChange returns a readable description of a change: "+" and the row if it was
// added, "-" and the row if it was removed, "~" and the cells that differ if it was
// changed.
func FormatChange(change Change) string {
	switch c := change.(type) {
	case Added:
		return "+ " + FormatRow(c.Row)
	case Removed:
		return "- " + FormatRow(c.Row)
	case Changed:
		return "~ " + c.Key().String() + ": " + strings.Join(formatChangedCells(c), ", ")
	}
	return ""
}

func formatChangedCells(c Changed) []string {
	before, after := rowCells(c.Before), rowCells(c.After)
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
