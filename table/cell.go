package table

import (
	"cmp"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// timeLayouts are the accepted time formats; a time without a time zone is UTC.
var timeLayouts = []string{
	time.RFC3339,
	"2006-01-02 15:04:05",
	"2006-01-02 15:04",
	"2006-01-02T15:04:05",
	"2006-01-02T15:04",
}

// groupedThousands matches numbers such as 1.000, which are ambiguous in a file with
// decimal commas: the point may be a decimal point or separate thousands.
var groupedThousands = regexp.MustCompile(`^-?[1-9][0-9]{0,2}(\.[0-9]{3})+$`)

// addRow parses the cells of the current row and appends the row to the table.
func (p *parser) addRow() {
	switch p.kind {
	case KindVersion:
		p.table.Version = p.parseVersion(ColumnName)
	case KindRegion:
		p.table.Regions = append(p.table.Regions, Region{
			Name: p.cells[ColumnName],
		})
	case KindRoute:
		p.table.Routes = append(p.table.Routes, p.parseRoute())
	case KindTeam:
		p.table.Teams = append(p.table.Teams, p.parseTeam())
	case KindLink:
		p.table.Links = append(p.table.Links, p.parseLink())
	case KindDrain:
		p.table.Drains = append(p.table.Drains, Drain{
			Region: p.cells[ColumnRegion],
			Start:  p.parseTime(ColumnStart),
			End:    p.parseTime(ColumnEnd),
		})
	case KindBlock:
		p.table.Blocks = append(p.table.Blocks, ClientBlock{
			Prefix: p.parsePrefix(ColumnPrefix),
			Region: p.internRegionName(ColumnRegion),
		})
	}
}

// parseVersion parses the number of the version that the file was exported from.
func (p *parser) parseVersion(column string) Version {
	number, err := strconv.ParseUint(p.cells[column], 10, 64)
	if err != nil || number == 0 || p.table.Version != 0 {
		p.addProblem(p.lineNumber, column, p.cells[column], "a single row of kind version with a whole number from 1")
	}
	return Version(number)
}

func (p *parser) parseRoute() Route {
	r := Route{
		Name:        p.cells[ColumnName],
		Path:        p.cells[ColumnPath],
		Service:     p.cells[ColumnService],
		Access:      Access(strings.ToLower(p.cells[ColumnAccess])),
		RetryPolicy: RetryPolicy(strings.ToLower(p.cells[ColumnRetryPolicy])),
	}
	for _, column := range p.columns {
		region, found := strings.CutPrefix(column, WeightColumnPrefix)
		if !found || p.cells[column] == "" {
			continue
		}
		r.Weights = append(r.Weights, Weight{
			Region: region,
			Weight: p.parseNumber(column),
		})
	}
	sortWeights(r.Weights)
	return r
}

// sortWeights orders weights by region, so that the order of the file's columns
// makes no difference.
func sortWeights(weights []Weight) {
	slices.SortStableFunc(weights, func(a, b Weight) int { return cmp.Compare(a.Region, b.Region) })
}

func (p *parser) parseTeam() Team {
	t := Team{
		Name:   p.cells[ColumnName],
		Rate:   p.parseNumber(ColumnRate),
		Burst:  p.parseNumber(ColumnBurst),
		Weight: 1,
	}
	if p.cells[ColumnWeight] != "" {
		t.Weight = p.parseNumber(ColumnWeight)
	}
	return t
}

func (p *parser) parseLink() Link {
	return Link{
		From:         p.cells[ColumnFrom],
		To:           p.cells[ColumnTo],
		Rate:         p.parseNumber(ColumnRate),
		Burst:        p.parseNumber(ColumnBurst),
		MaxShiftRate: p.parseNumber(ColumnMaxShiftRate),
	}
}

// parseNumber parses a cell as a number. An empty cell is reported as a problem,
// because a forgotten cell must not become a limit of zero.
func (p *parser) parseNumber(column string) float64 {
	text := p.cells[column]
	if p.decimalComma && groupedThousands.MatchString(text) {
		p.addProblem(p.lineNumber, column, text, "a number without a thousands separator, such as 1000 or 0,5")
		return 0
	}
	if p.decimalComma {
		text = strings.Replace(text, ",", ".", 1)
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.ContainsAny(text, "xX_pPnN") {
		p.addProblem(p.lineNumber, column, p.cells[column], "a number such as 250 or 0.5")
		return 0
	}
	return value
}

func (p *parser) parseTime(column string) time.Time {
	text := p.cells[column]
	for _, layout := range timeLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			return at.UTC()
		}
	}
	p.addProblem(p.lineNumber, column, text, acceptedStart)
	return time.Time{}
}

func (p *parser) parsePrefix(column string) netip.Prefix {
	prefix, err := netip.ParsePrefix(p.cells[column])
	if err != nil {
		p.addProblem(p.lineNumber, column, p.cells[column], acceptedPrefix)
	}
	return prefix
}

// internRegionName returns the cell's region name and shares one copy of it among
// all blocks of the region, because a table has many blocks and few regions.
func (p *parser) internRegionName(column string) string {
	name := p.cells[column]
	if shared, found := p.regionNames[name]; found {
		return shared
	}
	name = strings.Clone(name)
	p.regionNames[name] = name
	return name
}
