package table

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
)

// CSVWriteError reports that a table could not be written as CSV.
type CSVWriteError struct {
	Cause error
}

func (e *CSVWriteError) Error() string { return "write the table as CSV: " + e.Cause.Error() }

func (e *CSVWriteError) Unwrap() error { return e.Cause }

// WriteCSV writes the table in the format that [ParseCSV] reads, with the blocks
// ordered by prefix. Errors are a [CSVWriteError].
func WriteCSV(w io.Writer, t Table) error {
	tw := &tableWriter{
		csv:     csv.NewWriter(w),
		columns: csvColumns(t),
	}
	tw.writeRecord(tw.columns)
	tw.writeVersionRow(t.Version)
	for _, r := range nonBlockRows(t) {
		tw.writeRow(r)
	}
	blocks := slices.Clone(t.Blocks)
	slices.SortFunc(blocks, func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) })
	for _, b := range blocks {
		tw.writeRow(b)
	}
	tw.csv.Flush()
	if err := tw.csv.Error(); err != nil {
		return &CSVWriteError{
			Cause: err,
		}
	}
	return nil
}

// nonBlockRows returns all rows of the table except the client blocks, of which a
// table has many.
func nonBlockRows(t Table) []Row {
	var rows []Row
	rows = appendRows(rows, t.Regions)
	rows = appendRows(rows, t.Routes)
	rows = appendRows(rows, t.Teams)
	rows = appendRows(rows, t.Links)
	return appendRows(rows, t.Drains)
}

func appendRows[R Row](rows []Row, added []R) []Row {
	for _, r := range added {
		rows = append(rows, r)
	}
	return rows
}

// csvColumns returns the columns of the file. The weight columns come before the
// rate column: first those of the table's regions in order, then those of regions
// that have weights but no row of their own.
func csvColumns(t Table) []string {
	var weights []string
	add := func(region string) {
		if column := WeightColumnPrefix + region; !slices.Contains(weights, column) {
			weights = append(weights, column)
		}
	}
	for _, r := range t.Regions {
		add(r.Name)
	}
	for _, r := range t.Routes {
		for _, w := range r.Weights {
			add(w.Region)
		}
	}
	return slices.Insert(slices.Clone(columnNames), slices.Index(columnNames, ColumnRate), weights...)
}

// tableWriter writes the rows of a table; the CSV writer keeps the first error.
type tableWriter struct {
	csv     *csv.Writer
	columns []string
	fields  []string
}

func (tw *tableWriter) writeRecord(fields []string) {
	// The writer keeps the error; its Error method returns it.
	_ = tw.csv.Write(fields)
}

func (tw *tableWriter) writeVersionRow(v Version) {
	if v == 0 {
		return
	}
	tw.writeCells(map[string]string{
		ColumnKind: string(KindVersion),
		ColumnName: strconv.FormatUint(uint64(v), 10),
	})
}

func (tw *tableWriter) writeRow(r Row) { tw.writeCells(rowCells(r)) }

func (tw *tableWriter) writeCells(cells map[string]string) {
	tw.fields = tw.fields[:0]
	for _, column := range tw.columns {
		tw.fields = append(tw.fields, cells[column])
	}
	tw.writeRecord(tw.fields)
}

// rowCells returns the filled cells of a row by column.
func rowCells(row Row) map[string]string {
	cells := map[string]string{
		ColumnKind: string(row.Key().Kind),
	}
	switch r := row.(type) {
	case Region:
		cells[ColumnName] = r.Name
	case Route:
		cells[ColumnName] = r.Name
		cells[ColumnPath] = r.Path
		cells[ColumnService] = r.Service
		cells[ColumnAccess] = string(r.Access)
		cells[ColumnRetryPolicy] = string(r.RetryPolicy)
		for _, w := range r.Weights {
			cells[WeightColumnPrefix+w.Region] = formatNumber(w.Weight)
		}
	case Team:
		cells[ColumnName] = r.Name
		cells[ColumnRate] = formatNumber(r.Rate)
		cells[ColumnBurst] = formatNumber(r.Burst)
		cells[ColumnWeight] = formatNumber(r.Weight)
	case Link:
		cells[ColumnFrom] = r.From
		cells[ColumnTo] = r.To
		cells[ColumnRate] = formatNumber(r.Rate)
		cells[ColumnBurst] = formatNumber(r.Burst)
		cells[ColumnMaxShiftRate] = formatNumber(r.MaxShiftRate)
	case Drain:
		cells[ColumnRegion] = r.Region
		cells[ColumnStart] = formatTime(r.Start)
		cells[ColumnEnd] = formatTime(r.End)
	case ClientBlock:
		cells[ColumnPrefix] = r.Prefix.String()
		cells[ColumnRegion] = r.Region
	}
	return cells
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }
