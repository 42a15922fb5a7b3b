package table

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
)

// WriteError reports that a table could not be written out.
type WriteError struct {
	Cause error
}

func (e *WriteError) Error() string { return "writing the table: " + e.Cause.Error() }

func (e *WriteError) Unwrap() error { return e.Cause }

// WriteCSV writes the table as the file that [ParseCSV] reads, blocks in the
// order of their prefixes. Errors are a [WriteError].
func WriteCSV(w io.Writer, t Table) error {
	f := &fileWriter{
		csv:     csv.NewWriter(w),
		columns: fileColumns(t),
	}
	f.record(f.columns)
	f.version(t.Version)
	for _, r := range rowsOf(t) {
		f.row(r)
	}
	blocks := slices.Clone(t.Blocks)
	slices.SortFunc(blocks, func(a, b ClientBlock) int { return comparePrefixes(a.Prefix, b.Prefix) })
	for _, b := range blocks {
		f.row(b)
	}
	f.csv.Flush()
	if err := f.csv.Error(); err != nil {
		return &WriteError{
			Cause: err,
		}
	}
	return nil
}

// rowsOf returns the rows of the table but for the blocks, which are many.
func rowsOf(t Table) []Row {
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

// fileColumns puts the regions' weights before the rate, in the order of the
// regions, then those of regions that have no row.
func fileColumns(t Table) []string {
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

// fileWriter writes rows; the first error stays in the CSV writer.
type fileWriter struct {
	csv     *csv.Writer
	columns []string
	fields  []string
}

func (f *fileWriter) record(fields []string) {
	// The error is kept by the writer and reported by its Error method.
	_ = f.csv.Write(fields)
}

func (f *fileWriter) version(v Version) {
	if v == 0 {
		return
	}
	f.cells(map[string]string{
		ColumnKind: string(KindVersion),
		ColumnName: strconv.FormatUint(uint64(v), 10),
	})
}

func (f *fileWriter) row(r Row) { f.cells(cellsOf(r)) }

func (f *fileWriter) cells(cells map[string]string) {
	f.fields = f.fields[:0]
	for _, column := range f.columns {
		f.fields = append(f.fields, cells[column])
	}
	f.record(f.fields)
}

// cellsOf returns the filled cells of a row by column.
func cellsOf(row Row) map[string]string {
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
		cells[ColumnRepeat] = string(r.RetryPolicy)
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
		cells[ColumnShiftCap] = formatNumber(r.ShiftCap)
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
