package experiment

import (
	"fmt"
	"io"
	"math"
	"time"
)

// Comparison sets the measures of two runs side by side.
type Comparison struct {
	// A and B are the names of the runs, or of their files.
	A    string `json:"a"`
	B    string `json:"b"`
	Rows []Row  `json:"rows"`
}

// Row is one measure of two runs.
type Row struct {
	Metric string  `json:"measure"`
	A      float64 `json:"a"`
	B      float64 `json:"b"`
	// Ratio is B to A; nil if A is zero.
	Ratio *float64 `json:"ratio"`
}

// Compare sets two reports side by side. Teams and faults that only one of the
// reports has are left out.
func Compare(a, b *Report) Comparison {
	c := Comparison{
		A: a.Name,
		B: b.Name,
	}
	c.addTotals(a.Total, b.Total)
	for _, t := range a.Teams {
		for _, o := range b.Teams {
			if t.Team == o.Team {
				c.addTeam(t, o)
			}
		}
	}
	for i := range min(len(a.Faults), len(b.Faults)) {
		c.addFault(i, a.Faults[i], b.Faults[i])
	}
	return c
}

func (c *Comparison) addTotals(a, b Totals) {
	c.add("sent", float64(a.Sent), float64(b.Sent))
	c.add("answered", float64(a.Answered), float64(b.Answered))
	c.add("not-run", float64(a.NotRun), float64(b.NotRun))
	c.add("unknown", float64(a.OutcomeUnknown), float64(b.OutcomeUnknown))
	c.add("unreached", float64(a.Unreachable), float64(b.Unreachable))
	c.add("withheld", float64(a.NotSent), float64(b.NotSent))
	c.add("wrongful-refusals", float64(a.WrongfulRejections), float64(b.WrongfulRejections))
	c.add("lowest-answered-part", a.LowestAnsweredShare, b.LowestAnsweredShare)
	c.add("highest-p99-ms", a.HighestP99Milliseconds, b.HighestP99Milliseconds)
}

func (c *Comparison) addTeam(a, b TeamReport) {
	c.add(a.Team+" answered-part", a.AnsweredShare, b.AnsweredShare)
	c.add(a.Team+" wrongful-refusals", float64(a.WrongfulRejections), float64(b.WrongfulRejections))
	c.add(a.Team+" p50-ms", a.P50, b.P50)
	c.add(a.Team+" p90-ms", a.P90, b.P90)
	c.add(a.Team+" p99-ms", a.P99, b.P99)
	c.add(a.Team+" max-ms", a.Max, b.Max)
}

// addFault leaves out a pair whose times can't be compared.
func (c *Comparison) addFault(place int, a, b FaultReport) {
	same := a.At == b.At && a.URL == b.URL && a.Body == b.Body
	if !same || !a.Recovered || !b.Recovered || a.Error+b.Error != "" {
		return
	}
	name := fmt.Sprintf("faults[%d] recovery-s", place)
	c.add(name, time.Duration(a.RecoveryTime).Seconds(), time.Duration(b.RecoveryTime).Seconds())
}

func (c *Comparison) add(measure string, a, b float64) {
	c.Rows = append(c.Rows, Row{
		Metric: measure,
		A:      a,
		B:      b,
		Ratio:  ratio(a, b),
	})
}

func ratio(a, b float64) *float64 {
	quotient := b / a
	if math.IsNaN(quotient) || math.IsInf(quotient, 0) {
		return nil
	}
	return &quotient
}

// WriteTable prints the comparison for a person. It returns an [OutputError].
func (c Comparison) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "A is %s, B is %s\n", c.A, c.B); err != nil {
		return outputError(err)
	}
	var rows [][]string
	for _, r := range c.Rows {
		rows = append(rows, []string{r.Metric, decimals(r.A), decimals(r.B), r.ratioText()})
	}
	return drawRows(w, []string{"measure", "A", "B", "B/A"}, rows)
}

func (r Row) ratioText() string {
	if r.Ratio == nil {
		return "-"
	}
	return decimals(*r.Ratio)
}
