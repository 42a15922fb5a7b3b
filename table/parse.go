package table

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

// byteOrderMark is what some spreadsheets put before UTF-8 text.
var byteOrderMark = []byte("\xef\xbb\xbf")

// separators are what spreadsheets put between cells.
const separators = ",;\t"

// ParseCSV reads and checks a table. The first row that is not blank names the
// columns; the others may come in any order. It returns a [SyntaxError] if the
// file is not CSV, or an [InvalidError] with all faults.
func ParseCSV(r io.Reader) (Table, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return Table{}, &SyntaxError{
			Row:    1,
			Column: 1,
			Cause:  err,
		}
	}
	p := newParser(text)
	if err := p.readRows(); err != nil {
		return Table{}, err
	}
	if p.columns == nil {
		p.addProblem(1, ColumnKind, "", "a first row that names the columns")
	}
	p.validator.validateTable(p.table)
	p.removeDuplicateProblems()
	if err := p.validator.invalidError(); err != nil {
		return Table{}, err
	}
	return p.table, nil
}

// parser turns the rows of one file into a table.
type parser struct {
	reader  *csv.Reader
	columns []string
	table   Table
	validator   validator
	// writeCells are those of the row in hand, by column.
	cells map[string]string
	kind  Kind
	rowNumber   int
	// decimalComma is set for files with semicolons, whose numbers may be
	// written 0,5.
	decimalComma bool
	// problemCells holds the cells that were no number, time or prefix, so that the
	// checks do not report the same cell again.
	problemCells map[cellPosition]bool
	// regionNames keeps one copy of each region's name.
	regionNames map[string]string
}

type cellPosition struct {
	row    int
	column string
}

func newParser(text []byte) *parser {
	text = bytes.TrimPrefix(text, byteOrderMark)
	separator := detectSeparator(text)
	reader := csv.NewReader(bytes.NewReader(text))
	reader.Comma = separator
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	return &parser{
		reader:       reader,
		cells:        make(map[string]string),
		decimalComma: separator == ';',
		problemCells:       make(map[cellPosition]bool),
		regionNames:  make(map[string]string),
		validator: validator{
			rowNumbers: make(rowNumbers),
		},
	}
}

// detectSeparator takes the separator that the first row with any text uses
// most; the names of columns contain none.
func detectSeparator(text []byte) rune {
	for line := range bytes.Lines(text) {
		if len(bytes.Trim(line, separators+"\" \r\n")) == 0 {
			continue
		}
		best, most := ',', 0
		for _, s := range separators {
			if n := bytes.Count(line, []byte(string(s))); n > most {
				best, most = s, n
			}
		}
		return best
	}
	return ','
}

func (p *parser) readRows() error {
	for {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return syntaxError(err)
		}
		if isBlank(record) {
			continue
		}
		p.rowNumber, _ = p.reader.FieldPos(0)
		if p.columns == nil {
			p.readHeader(record)
			continue
		}
		p.readRow(record)
	}
}

func syntaxError(err error) error {
	var parse *csv.ParseError
	if errors.As(err, &parse) {
		return &SyntaxError{
			Row:    parse.Line,
			Column: parse.Column,
			Cause:  parse.Err,
		}
	}
	return &SyntaxError{
		Row:    1,
		Column: 1,
		Cause:  err,
	}
}

func isBlank(record []string) bool {
	return !slices.ContainsFunc(record, func(cell string) bool { return strings.TrimSpace(cell) != "" })
}

func (p *parser) readHeader(record []string) {
	p.columns = make([]string, len(record))
	for i, cell := range record {
		column := strings.ToLower(strings.TrimSpace(cell))
		if column == "" {
			continue
		}
		if !isKnownColumn(column) {
			p.addProblem(p.rowNumber, "header", cell, "kind, "+strings.Join(columnNames[1:], ", ")+", "+WeightColumnPrefix+"<region>")
			continue
		}
		if slices.Contains(p.columns, column) {
			p.addProblem(p.rowNumber, "header", cell, acceptedUnique)
			continue
		}
		p.columns[i] = column
	}
	if !slices.Contains(p.columns, ColumnKind) {
		p.addProblem(p.rowNumber, ColumnKind, "", "a column of this name in the first row")
	}
}

func (p *parser) readRow(record []string) {
	clear(p.cells)
	p.kind = ""
	for i, cell := range record {
		value := strings.TrimSpace(cell)
		if value == "" {
			continue
		}
		if i >= len(p.columns) || p.columns[i] == "" {
			p.addProblem(p.rowNumber, "without a name", value, "an empty cell, or a name for the column in the first row")
			continue
		}
		if !utf8.ValidString(value) {
			p.addProblem(p.rowNumber, p.columns[i], value, "text in UTF-8")
			continue
		}
		p.cells[p.columns[i]] = value
	}
	p.kind = Kind(strings.ToLower(p.cells[ColumnKind]))
	if columnsForKind(p.kind) == nil {
		p.addProblem(p.rowNumber, ColumnKind, p.cells[ColumnKind], "region, route, team, link, drain, block or version")
		return
	}
	for column, value := range p.cells {
		if !isColumnAllowed(p.kind, column) {
			p.addProblem(p.rowNumber, column, value, "an empty cell in a row of kind "+string(p.kind))
		}
	}
	p.validator.rowNumbers[p.kind] = append(p.validator.rowNumbers[p.kind], p.rowNumber)
	p.addRow()
}

func (p *parser) addProblem(row int, column, value, accepted string) {
	p.problemCells[cellPosition{
		row:    row,
		column: column,
	}] = true
	p.validator.problems = append(p.validator.problems, Problem{
		Row:      row,
		Kind:     p.kind,
		Column:   column,
		Value:    value,
		Accepted: accepted,
	})
}

// dropShadowed removes what the checks said of cells that could not be read,
// and keeps the first fault of each.
func (p *parser) removeDuplicateProblems() {
	seen := make(map[cellPosition]bool)
	p.validator.problems = slices.DeleteFunc(p.validator.problems, func(f Problem) bool {
		place := cellPosition{
			row:    f.Row,
			column: f.Column,
		}
		again := p.problemCells[place] && seen[place]
		seen[place] = true
		return again
	})
}
