package command

import (
	"cmp"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// windowMargin is how far before the start and after the end of a request other log
// lines of its hosts are included. They show, for example, which configuration the host
// had applied.
const windowMargin = 2 * time.Second

// newExplainCommand returns the command that collects the log lines of several hosts about a
// request:
//
//	trefoilline explain ID FILE...
func newExplainCommand() *cobra.Command {
	return addOutputFlag(&cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Collect the log lines about a request",
		Long: "Collect the log lines of several hosts about a request, in order of time: its own\n" +
			"lines, and other events of the hosts that handled it, from two seconds before it\n" +
			"arrived until two seconds after it ended. Logs are files, or - for the standard\n" +
			"input. Text before the JSON object in a line, as log collectors add it, is ignored.",
		Example: "  trefoilline explain 9c41d07be2a35f68 accra-1.log kumasi-1.log",
		Args:    withUsageError(cobra.MinimumNArgs(2)),
		RunE: func(c *cobra.Command, args []string) error {
			var lines []logLine
			for _, name := range args[1:] {
				read, err := readLog(c, name)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			result := selectLines(args[0], lines)
			if len(result.Lines) == 0 {
				return &RequestNotFoundError{
					RequestID: args[0],
				}
			}
			return printResult(c, result)
		},
	})
}

// explainResult is the result of "explain".
type explainResult struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
}

// selectLines returns the lines of a request, and the lines of its hosts in the time
// window that are not about any request, in order of time.
func selectLines(request string, lines []logLine) explainResult {
	windows := make(map[string]timeWindow)
	for _, l := range lines {
		if l.belongsTo(request) {
			windows[l.Host] = windows[l.Host].extendedBy(l)
		}
	}
	result := explainResult{
		Request: request,
	}
	for _, l := range lines {
		window, handled := windows[l.Host]
		if l.belongsTo(request) || handled && !l.isRequestEvent() && window.contains(l.Time) {
			result.Lines = append(result.Lines, l)
		}
	}
	slices.SortStableFunc(result.Lines, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return result
}

// timeWindow is the time in which a host handled a request, extended by windowMargin
// on both sides.
type timeWindow struct {
	from, to time.Time
}

func (w timeWindow) extendedBy(l logLine) timeWindow {
	from, to := l.Time.Add(-l.elapsed()-windowMargin), l.Time.Add(windowMargin)
	if w.from.IsZero() || from.Before(w.from) {
		w.from = from
	}
	if to.After(w.to) {
		w.to = to
	}
	return w
}

func (w timeWindow) contains(at time.Time) bool { return !at.Before(w.from) && !at.After(w.to) }

func (r explainResult) textOutput() textOutput {
	text := textOutput{
		header: []string{"TIME", "HOST", "EVENT", "FIELDS"},
	}
	for _, l := range r.Lines {
		text.rows = append(text.rows, []string{l.Time.UTC().Format("15:04:05.000"), l.Host, l.Name, l.formatFields()})
	}
	return text
}
