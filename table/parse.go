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
	if err := p.read(); err != nil {
		return Table{}, err
	}
	if p.columns == nil {
		p.fault(1, ColumnKind, "", "a first row that names the columns")
	}
	p.check.table(p.table)
	p.dropShadowed()
	if err := p.check.err(); err != nil {
		return Table{}, err
	}
	return p.table, nil
}

// parser turns the rows of one file into a table.
type parser struct {
	reader  *csv.Reader
	columns []string
	table   Table
	check   checker
	// cells are those of the row in hand, by column.
	cells map[string]string
	kind  Kind
	row   int
	// decimalComma is set for files with semicolons, whose numbers may be
	// written 0,5.
	decimalComma bool
	// unread holds the cells that were no number, time or prefix, so that the
	// checks do not report the same cell again.
	unread map[cellPlace]bool
	// regionNames keeps one copy of each region's name.
	regionNames map[string]string
}

type cellPlace struct {
	row    int
	column string
}

func newParser(text []byte) *parser {
	text = bytes.TrimPrefix(text, byteOrderMark)
	separator := findSeparator(text)
	reader := csv.NewReader(bytes.NewReader(text))
	reader.Comma = separator
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	return &parser{
		reader:       reader,
		cells:        make(map[string]string),
		decimalComma: separator == ';',
		unread:       make(map[cellPlace]bool),
		regionNames:  make(map[string]string),
		check: checker{
			rows: make(fileRows),
		},
	}
}

// findSeparator takes the separator that the first row with any text uses
// most; the names of columns contain none.
func findSeparator(text []byte) rune {
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

func (p *parser) read() error {
	for {
		record, err := p.reader.Read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return syntaxError(err)
		}
		if blank(record) {
			continue
		}
		p.row, _ = p.reader.FieldPos(0)
		if p.columns == nil {
			p.header(record)
			continue
		}
		p.record(record)
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

func blank(record []string) bool {
	return !slices.ContainsFunc(record, func(cell string) bool { return strings.TrimSpace(cell) != "" })
}

func (p *parser) header(record []string) {
	p.columns = make([]string, len(record))
	for i, cell := range record {
		column := strings.ToLower(strings.TrimSpace(cell))
		if column == "" {
			continue
		}
		if !knownColumn(column) {
			p.fault(p.row, "header", cell, "kind, "+strings.Join(columnNames[1:], ", ")+", "+WeightColumnPrefix+"<region>")
			continue
		}
		if slices.Contains(p.columns, column) {
			p.fault(p.row, "header", cell, acceptedUnique)
			continue
		}
		p.columns[i] = column
	}
	if !slices.Contains(p.columns, ColumnKind) {
		p.fault(p.row, ColumnKind, "", "a column of this name in the first row")
	}
}

func (p *parser) record(record []string) {
	clear(p.cells)
	p.kind = ""
	for i, cell := range record {
		value := strings.TrimSpace(cell)
		if value == "" {
			continue
		}
		if i >= len(p.columns) || p.columns[i] == "" {
			p.fault(p.row, "without a name", value, "an empty cell, or a name for the column in the first row")
			continue
		}
		if !utf8.ValidString(value) {
			p.fault(p.row, p.columns[i], value, "text in UTF-8")
			continue
		}
		p.cells[p.columns[i]] = value
	}
	p.kind = Kind(strings.ToLower(p.cells[ColumnKind]))
	if columnsOf(p.kind) == nil {
		p.fault(p.row, ColumnKind, p.cells[ColumnKind], "region, route, team, link, drain, block or version")
		return
	}
	for column, value := range p.cells {
		if !mayFill(p.kind, column) {
			p.fault(p.row, column, value, "an empty cell in a row of kind "+string(p.kind))
		}
	}
	p.check.rows[p.kind] = append(p.check.rows[p.kind], p.row)
	p.add()
}

func (p *parser) fault(row int, column, value, accepted string) {
	p.unread[cellPlace{
		row:    row,
		column: column,
	}] = true
	p.check.faults = append(p.check.faults, Problem{
		Row:      row,
		Kind:     p.kind,
		Column:   column,
		Value:    value,
		Accepted: accepted,
	})
}

// dropShadowed removes what the checks said of cells that could not be read,
// and keeps the first fault of each.
func (p *parser) dropShadowed() {
	seen := make(map[cellPlace]bool)
	p.check.faults = slices.DeleteFunc(p.check.faults, func(f Problem) bool {
		place := cellPlace{
			row:    f.Row,
			column: f.Column,
		}
		again := p.unread[place] && seen[place]
		seen[place] = true
		return again
	})
}
