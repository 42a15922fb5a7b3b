package table

import (
	"fmt"
	"strings"
)

// MaxProblemsShown is the number of problems that the text of an [InvalidError]
// lists.
const MaxProblemsShown = 20

// Problem describes one invalid value of a table.
type Problem struct {
	// Line is the line of the file on which the row starts, counted from 1, or 0 if the
	// table was not read from a file. Error texts call it the row, as spreadsheets do.
	Line int `json:"row,omitempty"`
	// Kind and Name identify the row; either is empty if it is not known.
	Kind Kind   `json:"kind,omitempty"`
	Name string `json:"name,omitempty"`
	// Column is the name of the column, "header" for an invalid column name, or
	// "without a name" for a cell whose column has no name.
	Column string `json:"column"`
	// Value is the invalid value. For a drain that leaves a route without a region, a
	// description follows the value.
	Value string `json:"value"`
	// Accepted describes the accepted values.
	Accepted string `json:"accepted"`
}

func (p Problem) String() string {
	var location strings.Builder
	if p.Line > 0 {
		fmt.Fprintf(&location, "row %d, ", p.Line)
	}
	if p.Kind != "" {
		location.WriteString(string(p.Kind))
		if p.Name != "" {
			location.WriteString(" " + p.Name)
		}
		location.WriteString(", ")
	}
	return fmt.Sprintf("%scolumn %s: %q; accepted: %s", location.String(), p.Column, p.Value, p.Accepted)
}

// InvalidError reports every problem of a table at once.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "the table has %d problems", len(e.Problems))
	for i, p := range e.Problems {
		if i == MaxProblemsShown {
			fmt.Fprintf(&text, "\n  and %d more", len(e.Problems)-i)
			break
		}
		text.WriteString("\n  " + p.String())
	}
	return text.String()
}

// SyntaxError reports that a file could not be read or is not CSV.
type SyntaxError struct {
	// Line and Column are the line and the byte within it, both counted from 1. Both
	// are 1 if reading the file failed.
	Line   int
	Column int
	Cause  error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("row %d, byte %d is not CSV: %v; accepted: cells separated by comma, semicolon or tab, quoted as in RFC 4180, in UTF-8", e.Line, e.Column, e.Cause)
}

func (e *SyntaxError) Unwrap() error { return e.Cause }
