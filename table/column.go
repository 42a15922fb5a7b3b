package table

import (
	"slices"
	"strings"
)

// The columns of the file. In addition, the file has one column of route weights
// for each region; its name is [WeightColumnPrefix] followed by the region.
const (
	ColumnKind         = "kind"
	ColumnName         = "name"
	ColumnPath         = "path"
	ColumnService      = "service"
	ColumnAccess       = "access"
	ColumnRetryPolicy  = "repeat"
	ColumnRate         = "rate"
	ColumnBurst        = "burst"
	ColumnWeight       = "weight"
	ColumnFrom         = "from"
	ColumnTo           = "to"
	ColumnMaxShiftRate = "shift-cap"
	ColumnStart        = "start"
	ColumnEnd          = "end"
	ColumnPrefix       = "prefix"
	ColumnRegion       = "region"
	// WeightColumnPrefix is the prefix of the columns that hold route weights; the
	// name of a region follows it.
	WeightColumnPrefix = "weight-"
)

// columnNames lists the columns in the order in which files are written; the
// weight columns are inserted before [ColumnRate].
var columnNames = []string{
	ColumnKind, ColumnName, ColumnPath, ColumnService, ColumnAccess, ColumnRetryPolicy,
	ColumnRate, ColumnBurst, ColumnWeight, ColumnFrom, ColumnTo, ColumnMaxShiftRate,
	ColumnStart, ColumnEnd, ColumnPrefix, ColumnRegion,
}

// columnsForKind returns the columns that a row of the kind may fill, or nil if the
// kind does not exist. For a route, [WeightColumnPrefix] stands for all weight columns.
func columnsForKind(kind Kind) []string {
	switch kind {
	case KindVersion, KindRegion:
		return []string{ColumnName}
	case KindRoute:
		return []string{ColumnName, ColumnPath, ColumnService, ColumnAccess, ColumnRetryPolicy, WeightColumnPrefix}
	case KindTeam:
		return []string{ColumnName, ColumnRate, ColumnBurst, ColumnWeight}
	case KindLink:
		return []string{ColumnFrom, ColumnTo, ColumnRate, ColumnBurst, ColumnMaxShiftRate}
	case KindDrain:
		return []string{ColumnRegion, ColumnStart, ColumnEnd}
	case KindBlock:
		return []string{ColumnPrefix, ColumnRegion}
	}
	return nil
}

// isColumnAllowed reports whether a row of the kind may fill the column.
func isColumnAllowed(kind Kind, column string) bool {
	if column == ColumnKind {
		return true
	}
	if strings.HasPrefix(column, WeightColumnPrefix) {
		return kind == KindRoute
	}
	return slices.Contains(columnsForKind(kind), column)
}

// isKnownColumn reports whether a file may have the column.
func isKnownColumn(column string) bool {
	if region, found := strings.CutPrefix(column, WeightColumnPrefix); found {
		return region != ""
	}
	return slices.Contains(columnNames, column)
}
