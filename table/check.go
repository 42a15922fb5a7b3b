package table

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// MaxNameLength is the maximum length of a name in bytes.
	MaxNameLength = 63
	// MaxPathLength is the maximum length of a route's path prefix in bytes.
	MaxPathLength = 512
	// MaxNumericValue is the maximum of a rate, burst or weight.
	MaxNumericValue = 1e9
)

// Descriptions of the accepted values, for [Problem.Accepted].
const (
	acceptedName        = "1 to 63 lower-case letters, digits and hyphens, with no hyphen at either end"
	acceptedUnique      = "a value that no other row of this kind has"
	acceptedPath        = "a path of up to 512 bytes that starts with / and contains no spaces, ? or #"
	acceptedAccess      = "keyed or open"
	acceptedRetryPolicy = "idempotent or once"
	acceptedNonNegative = "a number from 0 to 1000000000"
	acceptedPositive    = "a number above 0, up to 1000000000"
	acceptedBurst       = "a number from 1 to 1000000000"
	acceptedEnd         = "a time after the start"
	acceptedStart       = "a time such as 2027-01-31T22:00:00Z"
	acceptedPrefix      = "a prefix such as 203.0.113.0/24 or 2001:db8::/48 with no address bits set after the prefix length"
	acceptedOtherRegion = "a region other than the one in column from"
	acceptedWeights     = "a weight above 0 for at least one region"
	acceptedDrains      = "drains that at any time leave every route at least one region with a weight above 0"
)

// Validate returns an [InvalidError] with every problem of the table, or nil if it is
// valid.
func Validate(t Table) error {
	v := validator{}
	v.validateTable(t)
	return v.invalidError()
}

// validator collects the problems of one table.
type validator struct {
	problems []Problem
	regions  map[string]bool
	// lineNumbers holds the line numbers of the rows in the file that the table was
	// read from.
	lineNumbers lineNumbersByKind
}

// lineNumbersByKind holds the line number in the file of each row of a table, in the order
// of the table's rows; it is empty if the table was not read from a file.
type lineNumbersByKind map[Kind][]int

func (r lineNumbersByKind) lineNumber(kind Kind, i int) int {
	if i < len(r[kind]) {
		return r[kind][i]
	}
	return 0
}

func (v *validator) invalidError() error {
	if len(v.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(v.problems, func(a, b Problem) int { return a.Line - b.Line })
	return &InvalidError{
		Problems: v.problems,
	}
}

// addProblem records a problem of the row with the index among the rows of its kind.
func (v *validator) addProblem(rowIndex int, key RowKey, column, value, accepted string) {
	v.problems = append(v.problems, Problem{
		Line:     v.lineNumbers.lineNumber(key.Kind, rowIndex),
		Kind:     key.Kind,
		Name:     key.Name,
		Column:   column,
		Value:    value,
		Accepted: accepted,
	})
}

func (v *validator) validateTable(t Table) {
	v.regions = make(map[string]bool, len(t.Regions))
	for i, r := range t.Regions {
		v.validateName(i, r.Key(), ColumnName, r.Name)
		v.regions[r.Name] = true
	}
	validateUniqueKeys(v, t.Regions, ColumnName)
	v.validateRoutes(t.Routes)
	v.validateTeams(t.Teams)
	v.validateLinks(t.Links)
	v.validateDrains(t)
	v.validateBlocks(t.Blocks)
}

// validateUniqueKeys reports the rows whose key is that of an earlier row.
func validateUniqueKeys[R Row](v *validator, rows []R, column string) {
	seen := make(map[RowKey]bool, len(rows))
	for i, r := range rows {
		key := r.Key()
		if seen[key] {
			v.addProblem(i, key, column, key.Name, acceptedUnique)
		}
		seen[key] = true
	}
}

func (v *validator) validateRoutes(routes []Route) {
	paths := make(map[string]bool, len(routes))
	for i, r := range routes {
		key := r.Key()
		v.validateName(i, key, ColumnName, r.Name)
		v.validateName(i, key, ColumnService, r.Service)
		if !isValidPath(r.Path) {
			v.addProblem(i, key, ColumnPath, r.Path, acceptedPath)
		} else if paths[r.Path] {
			v.addProblem(i, key, ColumnPath, r.Path, acceptedUnique)
		}
		paths[r.Path] = true
		if r.Access != KeyRequired && r.Access != Public {
			v.addProblem(i, key, ColumnAccess, string(r.Access), acceptedAccess)
		}
		if r.RetryPolicy != Idempotent && r.RetryPolicy != AtMostOnce {
			v.addProblem(i, key, ColumnRetryPolicy, string(r.RetryPolicy), acceptedRetryPolicy)
		}
		v.validateWeights(i, r)
	}
	validateUniqueKeys(v, routes, ColumnName)
}

func (v *validator) validateWeights(rowIndex int, r Route) {
	hasPositiveWeight := false
	seen := make(map[string]bool, len(r.Weights))
	for _, w := range r.Weights {
		column := WeightColumnPrefix + w.Region
		if !v.regions[w.Region] {
			v.addProblem(rowIndex, r.Key(), column, w.Region, v.acceptedRegions())
		}
		if seen[w.Region] {
			v.addProblem(rowIndex, r.Key(), column, w.Region, acceptedUnique)
		}
		seen[w.Region] = true
		v.validateNumber(rowIndex, r.Key(), column, w.Weight, 0, acceptedNonNegative)
		hasPositiveWeight = hasPositiveWeight || w.Weight > 0
	}
	if !hasPositiveWeight {
		v.addProblem(rowIndex, r.Key(), WeightColumnPrefix+"<region>", "", acceptedWeights)
	}
}

func (v *validator) validateTeams(teams []Team) {
	for i, t := range teams {
		key := t.Key()
		v.validateName(i, key, ColumnName, t.Name)
		v.validateNumber(i, key, ColumnRate, t.Rate, math.SmallestNonzeroFloat64, acceptedPositive)
		v.validateNumber(i, key, ColumnBurst, t.Burst, 1, acceptedBurst)
		v.validateNumber(i, key, ColumnWeight, t.Weight, 0, acceptedNonNegative)
	}
	validateUniqueKeys(v, teams, ColumnName)
}

func (v *validator) validateLinks(links []Link) {
	for i, l := range links {
		key := l.Key()
		v.validateRegion(i, key, ColumnFrom, l.From)
		v.validateRegion(i, key, ColumnTo, l.To)
		if l.From == l.To {
			v.addProblem(i, key, ColumnTo, l.To, acceptedOtherRegion)
		}
		v.validateNumber(i, key, ColumnRate, l.Rate, math.SmallestNonzeroFloat64, acceptedPositive)
		v.validateNumber(i, key, ColumnBurst, l.Burst, 1, acceptedBurst)
		v.validateNumber(i, key, ColumnMaxShiftRate, l.MaxShiftRate, 0, acceptedNonNegative)
	}
	validateUniqueKeys(v, links, ColumnTo)
}

func (v *validator) validateDrains(t Table) {
	for i, d := range t.Drains {
		key := d.Key()
		v.validateRegion(i, key, ColumnRegion, d.Region)
		if d.Start.IsZero() {
			v.addProblem(i, key, ColumnStart, "", acceptedStart)
		}
		if !d.End.After(d.Start) {
			v.addProblem(i, key, ColumnEnd, formatTime(d.End), acceptedEnd)
		}
		if name, found := findRouteWithoutRegion(t, d.Start); found {
			v.addProblem(i, key, ColumnStart, formatTime(d.Start)+" leaves route "+name+" without a region", acceptedDrains)
		}
	}
	validateUniqueKeys(v, t.Drains, ColumnStart)
}

// findRouteWithoutRegion returns the name of a route whose regions are all drained
// at the time, and whether there is one. It is enough to check the start of each
// drain, because the set of drained regions grows only then.
func findRouteWithoutRegion(t Table, at time.Time) (string, bool) {
	drained := make(map[string]bool)
	for _, d := range t.Drains {
		if !d.Start.After(at) && d.End.After(at) {
			drained[d.Region] = true
		}
	}
	for _, r := range t.Routes {
		isPositive := func(w Weight) bool { return w.Weight > 0 }
		isAvailable := func(w Weight) bool { return w.Weight > 0 && !drained[w.Region] }
		if slices.ContainsFunc(r.Weights, isPositive) && !slices.ContainsFunc(r.Weights, isAvailable) {
			return r.Name, true
		}
	}
	return "", false
}

func (v *validator) validateBlocks(blocks []ClientBlock) {
	for i, b := range blocks {
		if !b.Prefix.IsValid() || b.Prefix.Masked() != b.Prefix || b.Prefix.Addr().Is4In6() {
			v.addProblem(i, b.Key(), ColumnPrefix, b.Prefix.String(), acceptedPrefix)
		}
		if !v.regions[b.Region] {
			v.addProblem(i, b.Key(), ColumnRegion, b.Region, v.acceptedRegions())
		}
	}
	// The map is keyed by prefix values, because text keys for every block would
	// take several times the memory in a large table.
	seen := make(map[ClientBlock]bool, len(blocks))
	for i, b := range blocks {
		key := ClientBlock{
			Prefix: b.Prefix,
		}
		if seen[key] {
			v.addProblem(i, b.Key(), ColumnPrefix, b.Prefix.String(), acceptedUnique)
		}
		seen[key] = true
	}
}

func (v *validator) validateName(rowIndex int, key RowKey, column, value string) {
	if !IsValidName(value) {
		v.addProblem(rowIndex, key, column, value, acceptedName)
	}
}

func (v *validator) validateRegion(rowIndex int, key RowKey, column, value string) {
	if !v.regions[value] {
		v.addProblem(rowIndex, key, column, value, v.acceptedRegions())
	}
}

// validateNumber reports a value that is not a finite number from minimum to
// [MaxNumericValue].
func (v *validator) validateNumber(rowIndex int, key RowKey, column string, value, minimum float64, accepted string) {
	if value >= minimum && value <= MaxNumericValue {
		return
	}
	v.addProblem(rowIndex, key, column, strconv.FormatFloat(value, 'g', -1, 64), accepted)
}

func (v *validator) acceptedRegions() string {
	names := make([]string, 0, len(v.regions))
	for name := range v.regions {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return "a region that has a row of kind region; the table has no such row"
	}
	return fmt.Sprintf("a region of the table: %s", strings.Join(names, ", "))
}

// IsValidName reports whether the name is valid for a region, route, service or
// team.
func IsValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		b := name[i]
		isInner := i > 0 && i < len(name)-1
		isAlphanumeric := b >= 'a' && b <= 'z' || b >= '0' && b <= '9'
		if !isAlphanumeric && !(b == '-' && isInner) {
			return false
		}
	}
	return true
}

func isValidPath(path string) bool {
	if !strings.HasPrefix(path, "/") || len(path) > MaxPathLength {
		return false
	}
	return !strings.ContainsFunc(path, func(r rune) bool {
		return r <= ' ' || r == '?' || r == '#' || r == 0x7f || r == 0xfffd
	})
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return ""
	}
	return at.UTC().Format(time.RFC3339Nano)
}
