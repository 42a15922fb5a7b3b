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
	// MaxNameLength is the longest name, in bytes.
	MaxNameLength = 63
	// MaxPathLength is the longest path prefix, in bytes.
	MaxPathLength = 512
	// MaxNumericValue is the highest rate, burst, weight or cap.
	MaxNumericValue = 1e9
)

// What the checks accept, in words.
const (
	acceptedName   = "1 to 63 lower-case letters, digits and hyphens, with no hyphen at either end"
	acceptedUnique = "a value that no other row of this kind has"
	acceptedPath   = "a path that starts with / and has no spaces, ? or #, up to 512 bytes"
	acceptedAccess = "keyed or open"
	acceptedRepeat = "idempotent or once"
	acceptedPart   = "a number from 0 to 1000000000"
	acceptedAmount = "a number above 0, up to 1000000000"
	acceptedBurst  = "a number from 1 to 1000000000"
	acceptedEnd    = "a time after the start"
	acceptedStart  = "a time such as 2027-01-31T22:00:00Z"
	acceptedPrefix = "a prefix such as 203.0.113.0/24 or 2001:db8::/48 with no bits set past its length"
	acceptedOther  = "a region other than the one in column from"
	acceptedServed = "a weight above 0 for at least one region"
	acceptedUndone = "drains that leave every route a region with a weight above 0 at any time"
)

// Validate returns an [InvalidError] with every fault of the table, or nil.
func Validate(t Table) error {
	c := checker{}
	c.table(t)
	return c.err()
}

// checker collects the faults of one table.
type checker struct {
	faults  []Problem
	regions map[string]bool
	// rows gives the rows of the file that the table was read from.
	rows fileRows
}

// fileRows holds for each row of a table the row of the file, in the order of
// the table; empty if there is no file.
type fileRows map[Kind][]int

func (r fileRows) at(kind Kind, i int) int {
	if i < len(r[kind]) {
		return r[kind][i]
	}
	return 0
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Problem) int { return a.Row - b.Row })
	return &InvalidError{
		Problems: c.faults,
	}
}

func (c *checker) add(i int, key RowKey, column, value, accepted string) {
	c.faults = append(c.faults, Problem{
		Row:      c.rows.at(key.Kind, i),
		Kind:     key.Kind,
		Name:     key.Name,
		Column:   column,
		Value:    value,
		Accepted: accepted,
	})
}

func (c *checker) table(t Table) {
	c.regions = make(map[string]bool, len(t.Regions))
	for i, r := range t.Regions {
		c.name(i, r.Key(), ColumnName, r.Name)
		c.regions[r.Name] = true
	}
	unique(c, t.Regions, ColumnName)
	c.routes(t.Routes)
	c.teams(t.Teams)
	c.links(t.Links)
	c.drains(t)
	c.blocks(t.Blocks)
}

// unique reports the rows whose key an earlier row has.
func unique[R Row](c *checker, rows []R, column string) {
	seen := make(map[RowKey]bool, len(rows))
	for i, r := range rows {
		key := r.Key()
		if seen[key] {
			c.add(i, key, column, key.Name, acceptedUnique)
		}
		seen[key] = true
	}
}

func (c *checker) routes(routes []Route) {
	paths := make(map[string]bool, len(routes))
	for i, r := range routes {
		key := r.Key()
		c.name(i, key, ColumnName, r.Name)
		c.name(i, key, ColumnService, r.Service)
		if !validPath(r.Path) {
			c.add(i, key, ColumnPath, r.Path, acceptedPath)
		} else if paths[r.Path] {
			c.add(i, key, ColumnPath, r.Path, acceptedUnique)
		}
		paths[r.Path] = true
		if r.Access != KeyRequired && r.Access != Public {
			c.add(i, key, ColumnAccess, string(r.Access), acceptedAccess)
		}
		if r.RetryPolicy != Idempotent && r.RetryPolicy != AtMostOnce {
			c.add(i, key, ColumnRepeat, string(r.RetryPolicy), acceptedRepeat)
		}
		c.weights(i, r)
	}
	unique(c, routes, ColumnName)
}

func (c *checker) weights(i int, r Route) {
	served := false
	seen := make(map[string]bool, len(r.Weights))
	for _, w := range r.Weights {
		column := WeightColumnPrefix + w.Region
		if !c.regions[w.Region] {
			c.add(i, r.Key(), column, w.Region, c.acceptedRegions())
		}
		if seen[w.Region] {
			c.add(i, r.Key(), column, w.Region, acceptedUnique)
		}
		seen[w.Region] = true
		c.amount(i, r.Key(), column, w.Weight, 0, acceptedPart)
		served = served || w.Weight > 0
	}
	if !served {
		c.add(i, r.Key(), WeightColumnPrefix+"<region>", "", acceptedServed)
	}
}

func (c *checker) teams(teams []Team) {
	for i, t := range teams {
		key := t.Key()
		c.name(i, key, ColumnName, t.Name)
		c.amount(i, key, ColumnRate, t.Rate, math.SmallestNonzeroFloat64, acceptedAmount)
		c.amount(i, key, ColumnBurst, t.Burst, 1, acceptedBurst)
		c.amount(i, key, ColumnWeight, t.Weight, 0, acceptedPart)
	}
	unique(c, teams, ColumnName)
}

func (c *checker) links(links []Link) {
	for i, l := range links {
		key := l.Key()
		c.region(i, key, ColumnFrom, l.From)
		c.region(i, key, ColumnTo, l.To)
		if l.From == l.To {
			c.add(i, key, ColumnTo, l.To, acceptedOther)
		}
		c.amount(i, key, ColumnRate, l.Rate, math.SmallestNonzeroFloat64, acceptedAmount)
		c.amount(i, key, ColumnBurst, l.Burst, 1, acceptedBurst)
		c.amount(i, key, ColumnShiftCap, l.ShiftCap, 0, acceptedPart)
	}
	unique(c, links, ColumnTo)
}

func (c *checker) drains(t Table) {
	for i, d := range t.Drains {
		key := d.Key()
		c.region(i, key, ColumnRegion, d.Region)
		if d.Start.IsZero() {
			c.add(i, key, ColumnStart, "", acceptedStart)
		}
		if !d.End.After(d.Start) {
			c.add(i, key, ColumnEnd, formatTime(d.End), acceptedEnd)
		}
		if name, stranded := strandedRoute(t, d.Start); stranded {
			c.add(i, key, ColumnStart, formatTime(d.Start)+" leaves route "+name+" no region", acceptedUndone)
		}
	}
	unique(c, t.Drains, ColumnStart)
}

// strandedRoute finds a route whose regions are all drained at the time.
func strandedRoute(t Table, at time.Time) (string, bool) {
	drained := make(map[string]bool)
	for _, d := range t.Drains {
		if !d.Start.After(at) && d.End.After(at) {
			drained[d.Region] = true
		}
	}
	for _, r := range t.Routes {
		served := func(w Weight) bool { return w.Weight > 0 }
		left := func(w Weight) bool { return w.Weight > 0 && !drained[w.Region] }
		if slices.ContainsFunc(r.Weights, served) && !slices.ContainsFunc(r.Weights, left) {
			return r.Name, true
		}
	}
	return "", false
}

func (c *checker) blocks(blocks []ClientBlock) {
	for i, b := range blocks {
		if !b.Prefix.IsValid() || b.Prefix.Masked() != b.Prefix || b.Prefix.Addr().Is4In6() {
			c.add(i, b.Key(), ColumnPrefix, b.Prefix.String(), acceptedPrefix)
		}
		if !c.regions[b.Region] {
			c.add(i, b.Key(), ColumnRegion, b.Region, c.acceptedRegions())
		}
	}
	// Prefixes are compared as values: text keys of every block would cost a
	// large table several times the memory.
	seen := make(map[ClientBlock]bool, len(blocks))
	for i, b := range blocks {
		key := ClientBlock{
			Prefix: b.Prefix,
		}
		if seen[key] {
			c.add(i, b.Key(), ColumnPrefix, b.Prefix.String(), acceptedUnique)
		}
		seen[key] = true
	}
}

func (c *checker) name(i int, key RowKey, column, value string) {
	if !IsValidName(value) {
		c.add(i, key, column, value, acceptedName)
	}
}

func (c *checker) region(i int, key RowKey, column, value string) {
	if !c.regions[value] {
		c.add(i, key, column, value, c.acceptedRegions())
	}
}

// amount wants a finite number from least to [MaxNumericValue].
func (c *checker) amount(i int, key RowKey, column string, value, least float64, accepted string) {
	if value >= least && value <= MaxNumericValue {
		return
	}
	c.add(i, key, column, strconv.FormatFloat(value, 'g', -1, 64), accepted)
}

func (c *checker) acceptedRegions() string {
	names := make([]string, 0, len(c.regions))
	for name := range c.regions {
		names = append(names, name)
	}
	slices.Sort(names)
	if len(names) == 0 {
		return "a region that has a row of its own; the table has none"
	}
	return fmt.Sprintf("a region of the table: %s", strings.Join(names, ", "))
}

// IsValidName says whether the name of a region, route, service or team is
// accepted.
func IsValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for i := range len(name) {
		b := name[i]
		inner := i > 0 && i < len(name)-1
		plain := b >= 'a' && b <= 'z' || b >= '0' && b <= '9'
		if !plain && !(b == '-' && inner) {
			return false
		}
	}
	return true
}

func validPath(path string) bool {
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
