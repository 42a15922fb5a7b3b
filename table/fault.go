package table

import (
	"fmt"
	"strings"
)

// MaxProblemsShown is how many faults the text of an [InvalidError] names.
const MaxProblemsShown = 20

// Problem is one thing that is wrong with a table.
type Problem struct {
	// Row is the row of the file, from one; zero if the table was not read from
	// a file.
	Row int `json:"row,omitempty"`
	// Kind and Name say which row it is, as far as that is known.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Column is the name of the column.
	Column string `json:"column"`
	// Value is what was found.
	Value string `json:"value"`
	// Accepted says what may stand there.
	Accepted string `json:"accepted"`
}

func (f Problem) String() string {
	var place strings.Builder
	if f.Row > 0 {
		fmt.Fprintf(&place, "row %d, ", f.Row)
	}
	if f.Kind != "" {
		place.WriteString(string(f.Kind))
		if f.Name != "" {
			place.WriteString(" " + f.Name)
		}
		place.WriteString(", ")
	}
	return fmt.Sprintf("%scolumn %s: %q; accepted: %s", place.String(), f.Column, f.Value, f.Accepted)
}

// InvalidError reports every fault of a table at once.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the table has %d faults", len(e.Problems))
	for i, f := range e.Problems {
		if i == MaxProblemsShown {
			fmt.Fprintf(&text, "\n  and %d more", len(e.Problems)-i)
			break
		}
		text.WriteString("\n  " + f.String())
	}
	return text.String()
}

// SyntaxError reports that a file is not a CSV at all.
type SyntaxError struct {
	// Row and Column are places in the file, from one.
	Row    int
	Column int
	Cause  error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("row %d, character %d is not CSV: %v; accepted: cells separated by comma, semicolon or tab, quoted as RFC 4180 says, in UTF-8", e.Row, e.Column, e.Cause)
}

func (e *SyntaxError) Unwrap() error { return e.Cause }
