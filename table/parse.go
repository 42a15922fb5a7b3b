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

// byteOrderMark is the UTF-8 byte order mark, which some spreadsheets write at the
// start of a file.
var byteOrderMark = []byte("\xef\xbb\xbf")

// separators are the cell separators that spreadsheets use.
const separators = ",;\t"

// ParseCSV parses and validates a table. The first row that is not blank holds the
// names of the columns; the other rows may come in any order. It returns a
// [SyntaxError] if the file is not CSV, or an [InvalidError] that lists all
// problems.
func ParseCSV(r io.Reader) (Table, error) {
	text, err := io.ReadAll(r)
	if err != nil {
		return Table{}, &SyntaxError{
			Line:   1,
			Column: 1,
			Cause:  err,
		}
	}
	p := newParser(text)
	if err := p.readRows(); err != nil {
		return Table{}, err
	}
	if p.columns == nil {
		p.addProblem(1, ColumnKind, "", "a first row with the names of the columns")
	}
	p.validator.validateTable(p.table)
	p.removeDuplicateProblems()
	if err := p.validator.invalidError(); err != nil {
		return Table{}, err
	}
	return p.table, nil
}

// parser converts the rows of one file into a table.
type parser struct {
	reader    *csv.Reader
	columns   []string
	table     Table
	validator validator
	// cells holds the filled cells of the current row by column.
	cells      map[string]string
	kind       Kind
	lineNumber int
	// decimalComma is set for files with semicolons, whose numbers may be
	// written 0,5.
	decimalComma bool
	// problemCells holds the cells that the parser has reported, such as those that
	// are not a valid number, time or prefix, so that validation does not report
	// them again.
	problemCells map[cellPosition]bool
	// regionNames holds one copy of each region's name.
	regionNames map[string]string
}

type cellPosition struct {
	line   int
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
		problemCells: make(map[cellPosition]bool),
		regionNames:  make(map[string]string),
		validator: validator{
			lineNumbers: make(lineNumbersByKind),
		},
	}
}

// detectSeparator returns the separator that occurs most often in the first row
// that is not blank. That row holds the names of the columns, which contain no
// separators.
func detectSeparator(text []byte) rune {
	for line := range bytes.Lines(text) {
		if len(bytes.Trim(line, separators+"\" \r\n")) == 0 {
			continue
		}
		separator, maxCount := ',', 0
		for _, s := range separators {
			if n := bytes.Count(line, []byte(string(s))); n > maxCount {
				separator, maxCount = s, n
			}
		}
		return separator
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
		p.lineNumber, _ = p.reader.FieldPos(0)
		if p.columns == nil {
			p.readHeader(record)
			continue
		}
		p.readRow(record)
	}
}

func syntaxError(err error) error {
	var parseError *csv.ParseError
	if errors.As(err, &parseError) {
		return &SyntaxError{
			Line:   parseError.Line,
			Column: parseError.Column,
			Cause:  parseError.Err,
		}
	}
	return &SyntaxError{
		Line:   1,
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
			p.addProblem(p.lineNumber, "header", cell, "kind, "+strings.Join(columnNames[1:], ", ")+", "+WeightColumnPrefix+"<region>")
			continue
		}
		if slices.Contains(p.columns, column) {
			p.addProblem(p.lineNumber, "header", cell, acceptedUnique)
			continue
		}
		p.columns[i] = column
	}
	if !slices.Contains(p.columns, ColumnKind) {
		p.addProblem(p.lineNumber, ColumnKind, "", "a column with this name in the first row")
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
			p.addProblem(p.lineNumber, "without a name", value, "an empty cell, or a column name in the first row")
			continue
		}
		if !utf8.ValidString(value) {
			p.addProblem(p.lineNumber, p.columns[i], value, "text in UTF-8")
			continue
		}
		p.cells[p.columns[i]] = value
	}
	p.kind = Kind(strings.ToLower(p.cells[ColumnKind]))
	if columnsForKind(p.kind) == nil {
		p.addProblem(p.lineNumber, ColumnKind, p.cells[ColumnKind], "region, route, team, link, drain, block or version")
		return
	}
	for column, value := range p.cells {
		if !isColumnAllowed(p.kind, column) {
			p.addProblem(p.lineNumber, column, value, "an empty cell in a row of kind "+string(p.kind))
		}
	}
	p.validator.lineNumbers[p.kind] = append(p.validator.lineNumbers[p.kind], p.lineNumber)
	p.addRow()
}

func (p *parser) addProblem(line int, column, value, accepted string) {
	p.problemCells[cellPosition{
		line:   line,
		column: column,
	}] = true
	p.validator.problems = append(p.validator.problems, Problem{
		Line:     line,
		Kind:     p.kind,
		Column:   column,
		Value:    value,
		Accepted: accepted,
	})
}

// removeDuplicateProblems keeps only the first problem of each cell that the parser
// reported, and removes what validation reported about the same cell.
func (p *parser) removeDuplicateProblems() {
	seen := make(map[cellPosition]bool)
	p.validator.problems = slices.DeleteFunc(p.validator.problems, func(problem Problem) bool {
		position := cellPosition{
			line:   problem.Line,
			column: problem.Column,
		}
		duplicate := p.problemCells[position] && seen[position]
		seen[position] = true
		return duplicate
	})
}
