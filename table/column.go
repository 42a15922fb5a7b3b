package table

import (
	"slices"
	"strings"
)

// The columns of the file. A route has one more for each region, whose name
// starts with [WeightColumnPrefix].
const (
	ColumnKind     = "kind"
	ColumnName     = "name"
	ColumnPath     = "path"
	ColumnService  = "service"
	ColumnAccess   = "access"
	ColumnRepeat   = "repeat"
	ColumnRate     = "rate"
	ColumnBurst    = "burst"
	ColumnWeight   = "weight"
	ColumnFrom     = "from"
	ColumnTo       = "to"
	ColumnShiftCap = "shift-cap"
	ColumnStart    = "start"
	ColumnEnd      = "end"
	ColumnPrefix   = "prefix"
	ColumnRegion   = "region"
	// WeightPrefix starts the name of a column that holds a region's weights.
	WeightColumnPrefix = "weight-"
)

// columnNames is the order in which files are written; the columns of weights
// stand before [ColumnRate].
var columnNames = []string{
	ColumnKind, ColumnName, ColumnPath, ColumnService, ColumnAccess, ColumnRepeat,
	ColumnRate, ColumnBurst, ColumnWeight, ColumnFrom, ColumnTo, ColumnShiftCap,
	ColumnStart, ColumnEnd, ColumnPrefix, ColumnRegion,
}

// columnsOf names the columns that a row of the kind may fill; nil for a kind
// that does not exist.
func columnsOf(kind Kind) []string {
	switch kind {
	case KindVersion, KindRegion:
		return []string{ColumnName}
	case KindRoute:
		return []string{ColumnName, ColumnPath, ColumnService, ColumnAccess, ColumnRepeat, WeightColumnPrefix}
	case KindTeam:
		return []string{ColumnName, ColumnRate, ColumnBurst, ColumnWeight}
	case KindLink:
		return []string{ColumnFrom, ColumnTo, ColumnRate, ColumnBurst, ColumnShiftCap}
	case KindDrain:
		return []string{ColumnRegion, ColumnStart, ColumnEnd}
	case KindBlock:
		return []string{ColumnPrefix, ColumnRegion}
	}
	return nil
}

// mayFill says whether a row of the kind may fill the column.
func mayFill(kind Kind, column string) bool {
	if column == ColumnKind {
		return true
	}
	if strings.HasPrefix(column, WeightColumnPrefix) {
		return kind == KindRoute
	}
	return slices.Contains(columnsOf(kind), column)
}

// knownColumn says whether a file may have the column.
func knownColumn(column string) bool {
	if region, found := strings.CutPrefix(column, WeightColumnPrefix); found {
		return region != ""
	}
	return slices.Contains(columnNames, column)
}
