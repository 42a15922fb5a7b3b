package replay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

// background is the context of calls in simulated time, which are never
// cancelled.
var background = context.Background()

// Report is the outcome of a replayed trace.
type Report struct {
	Teams []TeamCounts `json:"teams"`
	// Violations is the number of grants (tokens given to requests) above a limit
	// in any time window over all hosts, plus the inconsistencies that the
	// limiters found in their own state.
	Violations int `json:"violations"`
}

// TeamCounts counts a team's requests by outcome.
type TeamCounts struct {
	Team     string `json:"team"`
	Offered  int    `json:"offered"`
	Granted  int    `json:"granted"`
	Rejected int    `json:"refused"`
}

// RejectedShare returns the share of the requests that was refused, from 0 to 1.
func (c TeamCounts) RejectedShare() float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(c.Rejected) / float64(c.Offered)
}

func newReport(teams []Team) *Report {
	r := &Report{}
	for _, t := range teams {
		r.Teams = append(r.Teams, TeamCounts{
			Team: t.Name,
		})
	}
	return r
}

func (r *Report) countsFor(team string) *TeamCounts {
	i := slices.IndexFunc(r.Teams, func(c TeamCounts) bool { return c.Team == team })
	return &r.Teams[i]
}

func (r *Report) countOffered(team string) { r.countsFor(team).Offered++ }
func (r *Report) countGranted(team string) { r.countsFor(team).Granted++ }
func (r *Report) countRefused(team string) { r.countsFor(team).Rejected++ }

// Check returns an [UnexpectedOutcomeError] if the outcome does not meet the
// trace's expectations or if a limit was exceeded.
func (r *Report) Check(t *Trace) error {
	var problems []string
	if r.Violations > 0 {
		problems = append(problems, fmt.Sprintf("%d limit violations", r.Violations))
	}
	for _, e := range t.Expectations {
		refusedShare := r.countsFor(e.Team).RejectedShare()
		if refusedShare > e.MaxRejectedShare {
			problems = append(problems, fmt.Sprintf("team %s: refused share %.4f, expected at most %.4f", e.Team, refusedShare, e.MaxRejectedShare))
		}
	}
	if len(problems) == 0 {
		return nil
	}
	return &UnexpectedOutcomeError{
		Problems: problems,
	}
}

// Write prints the report as text.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%-28s %8s %8s %8s %8s\n", "TEAM", "OFFERED", "GRANTED", "REFUSED", "PART")
	for _, c := range r.Teams {
		fmt.Fprintf(w, "%-28s %8d %8d %8d %8.4f\n", c.Team, c.Offered, c.Granted, c.Rejected, c.RejectedShare())
	}
	fmt.Fprintf(w, "limit violations: %d\n", r.Violations)
}

// LineError reports an invalid line of a trace.
type LineError struct {
	// Line is the line number, starting at one; zero if the error is found after
	// all lines have been read.
	Line     int
	Value    string
	Accepted string
	Cause    error
}

func (e *LineError) Error() string {
	text := fmt.Sprintf("trace, line %d: %q; accepted: %s", e.Line, e.Value, e.Accepted)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *LineError) Unwrap() error { return e.Cause }

// UnexpectedOutcomeError reports an outcome that does not meet the trace's
// expectations.
type UnexpectedOutcomeError struct {
	Problems []string
}

func (e *UnexpectedOutcomeError) Error() string {
	return "the outcome differs from the trace's expectations: " + strings.Join(e.Problems, "; ")
}
