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
var grouped = regexp.MustCompile(`^-?[1-9][0-9]{0,2}(\.[0-9]{3})+$`)

// add appends the row in hand to the table.
func (p *parser) add() {
	switch p.kind {
	case KindVersion:
		p.table.Version = p.version(ColumnName)
	case KindRegion:
		p.table.Regions = append(p.table.Regions, Region{
			Name: p.cells[ColumnName],
		})
	case KindRoute:
		p.table.Routes = append(p.table.Routes, p.route())
	case KindTeam:
		p.table.Teams = append(p.table.Teams, p.team())
	case KindLink:
		p.table.Links = append(p.table.Links, p.link())
	case KindDrain:
		p.table.Drains = append(p.table.Drains, Drain{
			Region: p.cells[ColumnRegion],
			Start:  p.time(ColumnStart),
			End:    p.time(ColumnEnd),
		})
	case KindBlock:
		p.table.Blocks = append(p.table.Blocks, ClientBlock{
			Prefix: p.prefix(ColumnPrefix),
			Region: p.region(ColumnRegion),
		})
	}
}

// version reads the version that the file was taken from.
func (p *parser) version(column string) Version {
	number, err := strconv.ParseUint(p.cells[column], 10, 64)
	if err != nil || number == 0 || p.table.Version != 0 {
		p.fault(p.row, column, p.cells[column], "one row of kind version, with a whole number from 1")
	}
	return Version(number)
}

func (p *parser) route() Route {
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
			Weight: p.number(column),
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

func (p *parser) team() Team {
	t := Team{
		Name:   p.cells[ColumnName],
		Rate:   p.number(ColumnRate),
		Burst:  p.number(ColumnBurst),
		Weight: 1,
	}
	if p.cells[ColumnWeight] != "" {
		t.Weight = p.number(ColumnWeight)
	}
	return t
}

func (p *parser) link() Link {
	return Link{
		From:     p.cells[ColumnFrom],
		To:       p.cells[ColumnTo],
		Rate:     p.number(ColumnRate),
		Burst:    p.number(ColumnBurst),
		ShiftCap: p.number(ColumnShiftCap),
	}
}

// number reads a cell; an empty one is a fault, because a limit of zero should
// not come from a cell that somebody forgot.
func (p *parser) number(column string) float64 {
	text := p.cells[column]
	if p.decimalComma && grouped.MatchString(text) {
		p.fault(p.row, column, text, "a number with no point between thousands, such as 1000 or 0,5")
		return 0
	}
	if p.decimalComma {
		text = strings.Replace(text, ",", ".", 1)
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.ContainsAny(text, "xX_pPnN") {
		p.fault(p.row, column, p.cells[column], "a number such as 250 or 0.5")
		return 0
	}
	return value
}

func (p *parser) time(column string) time.Time {
	text := p.cells[column]
	for _, layout := range timeLayouts {
		if at, err := time.Parse(layout, text); err == nil {
			return at.UTC()
		}
	}
	p.fault(p.row, column, text, acceptedStart)
	return time.Time{}
}

func (p *parser) prefix(column string) netip.Prefix {
	prefix, err := netip.ParsePrefix(p.cells[column])
	if err != nil {
		p.fault(p.row, column, p.cells[column], acceptedPrefix)
	}
	return prefix
}

// region returns one shared copy of the name: blocks are many, regions few.
func (p *parser) region(column string) string {
	name := p.cells[column]
	if shared, found := p.regionNames[name]; found {
		return shared
	}
	name = strings.Clone(name)
	p.regionNames[name] = name
	return name
}
