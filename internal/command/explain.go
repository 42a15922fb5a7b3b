package command

import (
	"cmp"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// contextTime is how long before a request's start, and after its end, lines of its
// hosts are shown that tell what they believed.
const contextTime = 2 * time.Second

// trefoilline explain ID FILE...
//
// Gathers what the logs of several hosts tell of a request.
func newExplain() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Gather what logs tell of a request",
		Long: "Gather what the logs of several hosts tell of a request, in order of time: its own\n" +
			"lines, and what the hosts that had it learned or lost from two seconds before it came\n" +
			"until two seconds after it ended. Logs are files, or - for the standard input; what\n" +
			"stands in a line before the event is left out.",
		Example: "  trefoilline explain 9c41d07be2a35f68 accra-1.log kumasi-1.log",
		Args:    usageChecked(cobra.MinimumNArgs(2)),
		RunE: func(c *cobra.Command, given []string) error {
			var lines []logLine
			for _, name := range given[1:] {
				read, err := readLog(c, name)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			found := selectLines(given[0], lines)
			if len(found.Lines) == 0 {
				return &RequestNotFoundError{
					RequestID: given[0],
				}
			}
			return printResult(c, found)
		},
	})
}

// explainResult is the answer of "explain".
type explainResult struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
}

// selectLines picks the lines that tell of a request.
func selectLines(request string, lines []logLine) explainResult {
	spans := make(map[string]timeWindow)
	for _, l := range lines {
		if l.belongsTo(request) {
			spans[l.Host] = spans[l.Host].extendedBy(l)
		}
	}
	found := explainResult{
		Request: request,
	}
	for _, l := range lines {
		s, hadIt := spans[l.Host]
		if l.belongsTo(request) || hadIt && !l.isRequestEvent() && s.contains(l.Time) {
			found.Lines = append(found.Lines, l)
		}
	}
	slices.SortStableFunc(found.Lines, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return found
}

// timeWindow is when a host had a request, and some time around.
type timeWindow struct {
	from, to time.Time
}

func (s timeWindow) extendedBy(l logLine) timeWindow {
	from, to := l.Time.Add(-l.elapsed()-contextTime), l.Time.Add(contextTime)
	if s.from.IsZero() || from.Before(s.from) {
		s.from = from
	}
	if to.After(s.to) {
		s.to = to
	}
	return s
}

func (s timeWindow) contains(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) }

func (a explainResult) textTable() textTable {
	g := textTable{
		header: []string{"TIME", "HOST", "EVENT", "FIELDS"},
	}
	for _, l := range a.Lines {
		g.rows = append(g.rows, []string{l.Time.UTC().Format("15:04:05.000"), l.Host, l.Name, l.formatFields()})
	}
	return g
}
