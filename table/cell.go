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

// timeLayouts are the accepted forms of a time; those without a zone are UTC.
var timeLayouts = []string{
	time.RFC3339,
	"2006-01-02 15:04:05",
	"2006-01-02 15:04",
	"2006-01-02T15:04:05",
	"2006-01-02T15:04",
}

// grouped matches numbers that mean one thing with a decimal point and another
// with a point between thousands.
var groupedThousands = regexp.MustCompile(`^-?[1-9][0-9]{0,2}(\.[0-9]{3})+$`)

// add appends the row in hand to the table.
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

// parseVersion reads the version that the file was taken from.
func (p *parser) parseVersion(column string) Version {
	number, err := strconv.ParseUint(p.cells[column], 10, 64)
	if err != nil || number == 0 || p.table.Version != 0 {
		p.addProblem(p.rowNumber, column, p.cells[column], "one row of kind version, with a whole number from 1")
	}
	return Version(number)
}

func (p *parser) parseRoute() Route {
	r := Route{
		Name:        p.cells[ColumnName],
		Path:        p.cells[ColumnPath],
		Service:     p.cells[ColumnService],
		Access:      Access(strings.ToLower(p.cells[ColumnAccess])),
		RetryPolicy: RetryPolicy(strings.ToLower(p.cells[ColumnRepeat])),
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

// sortWeights makes the weights of a route the same whatever the order of the
// columns was.
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
		From:     p.cells[ColumnFrom],
		To:       p.cells[ColumnTo],
		Rate:     p.parseNumber(ColumnRate),
		Burst:    p.parseNumber(ColumnBurst),
		ShiftCap: p.parseNumber(ColumnShiftCap),
	}
}

// parseNumber reads a cell; an empty one is a fault, because a limit of zero should
// not come from a cell that somebody forgot.
func (p *parser) parseNumber(column string) float64 {
	text := p.cells[column]
	if p.decimalComma && groupedThousands.MatchString(text) {
		p.addProblem(p.rowNumber, column, text, "a number with no point between thousands, such as 1000 or 0,5")
		return 0
	}
	if p.decimalComma {
		text = strings.Replace(text, ",", ".", 1)
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.ContainsAny(text, "xX_pPnN") {
		p.addProblem(p.rowNumber, column, p.cells[column], "a number such as 250 or 0.5")
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
	p.addProblem(p.rowNumber, column, text, acceptedStart)
	return time.Time{}
}

func (p *parser) parsePrefix(column string) netip.Prefix {
	prefix, err := netip.ParsePrefix(p.cells[column])
	if err != nil {
		p.addProblem(p.rowNumber, column, p.cells[column], acceptedPrefix)
	}
	return prefix
}

// internRegionName returns one shared copy of the name: blocks are many, regions few.
func (p *parser) internRegionName(column string) string {
	name := p.cells[column]
	if shared, found := p.regionNames[name]; found {
		return shared
	}
	name = strings.Clone(name)
	p.regionNames[name] = name
	return name
}
