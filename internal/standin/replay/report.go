package replay

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
)

// background is the context of calls in simulated time, which nobody cancels.
var background = context.Background()

// Report is what came of a trace.
type Report struct {
	Teams []TeamCounts `json:"teams"`
	// Violations counts grants above a limit in any window, over all hosts.
	Violations int `json:"violations"`
}

// TeamCounts is what came of a team's requests.
type TeamCounts struct {
	Team    string `json:"team"`
	Offered int    `json:"offered"`
	Granted int    `json:"granted"`
	Refused int    `json:"refused"`
}

// RefusedShare returns the part of the requests that was refused, from 0 to 1.
func (c TeamCounts) RefusedShare() float64 {
	if c.Offered == 0 {
		return 0
	}
	return float64(c.Refused) / float64(c.Offered)
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

func (r *Report) counts(team string) *TeamCounts {
	i := slices.IndexFunc(r.Teams, func(c TeamCounts) bool { return c.Team == team })
	return &r.Teams[i]
}

func (r *Report) offered(team string) { r.counts(team).Offered++ }
func (r *Report) granted(team string) { r.counts(team).Granted++ }
func (r *Report) refused(team string) { r.counts(team).Refused++ }

// Check returns an [UnexpectedOutcomeError] if the outcome is not what the trace states,
// or if a limit did not hold.
func (r *Report) Check(t *Trace) error {
	var faults []string
	if r.Violations > 0 {
		faults = append(faults, fmt.Sprintf("%d grants above a limit", r.Violations))
	}
	for _, e := range t.Expectations {
		part := r.counts(e.Team).RefusedShare()
		if part > e.MaxRefusedShare {
			faults = append(faults, fmt.Sprintf("team %s: %.4f refused, stated at most %.4f", e.Team, part, e.MaxRefusedShare))
		}
	}
	if len(faults) == 0 {
		return nil
	}
	return &UnexpectedOutcomeError{
		Problems: faults,
	}
}

// Write prints the report for a person.
func (r *Report) Write(w io.Writer) {
	fmt.Fprintf(w, "%-28s %8s %8s %8s %8s\n", "TEAM", "OFFERED", "GRANTED", "REFUSED", "PART")
	for _, c := range r.Teams {
		fmt.Fprintf(w, "%-28s %8d %8d %8d %8.4f\n", c.Team, c.Offered, c.Granted, c.Refused, c.RefusedShare())
	}
	fmt.Fprintf(w, "grants above a limit: %d\n", r.Violations)
}

// LineError reports a line of a trace that is not understood.
type LineError struct {
	// Line is its number from one, zero if the whole file is meant.
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

// OutcomeError reports outcomes that are not what the trace states.
type UnexpectedOutcomeError struct {
	Problems []string
}

func (e *UnexpectedOutcomeError) Error() string {
	return "the outcome is not as stated: " + strings.Join(e.Problems, "; ")
}
