package command

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// aroundTime is how long before a request's start, and after its end, lines of its
// hosts are shown that tell what they believed.
const aroundTime = 2 * time.Second

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// firstRequestEvent and firstServerEvent bound the numbers of events that tell of
// single requests.
const (
	firstRequestEvent = 400
	firstServerEvent  = 500
)

// trefoilline explain ID FILE...
//
// Gathers what the logs of several hosts tell of a request.
func newExplain() *cobra.Command {
	return addOutput(&cobra.Command{
		Use:   "explain ID FILE...",
		Short: "Gather what logs tell of a request",
		Long: "Gather what the logs of several hosts tell of a request, in order of time: its own\n" +
			"lines, and what the hosts that had it learned or lost from two seconds before it came\n" +
			"until two seconds after it ended. Logs are files, or - for the standard input; what\n" +
			"stands in a line before the event is left out.",
		Example: "  trefoilline explain 9c41d07be2a35f68 accra-1.log kumasi-1.log",
		Args:    arguments(cobra.MinimumNArgs(2)),
		RunE: func(c *cobra.Command, given []string) error {
			var lines []logLine
			for _, name := range given[1:] {
				read, err := readLog(c, name)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			found := explain(given[0], lines)
			if len(found.Lines) == 0 {
				return &UnknownRequestError{
					Request: given[0],
				}
			}
			return show(c, found)
		},
	})
}

// logLine is an event as a host logged it.
type logLine struct {
	Host  string         `json:"host"`
	Time  time.Time      `json:"time"`
	Event int            `json:"event"`
	Name  string         `json:"name"`
	Rest  map[string]any `json:"fields"`
}

// account is the answer of "explain".
type account struct {
	Request string    `json:"request"`
	Lines   []logLine `json:"lines"`
}

// explain picks the lines that tell of a request.
func explain(request string, lines []logLine) account {
	spans := make(map[string]span)
	for _, l := range lines {
		if l.isOf(request) {
			spans[l.Host] = spans[l.Host].with(l)
		}
	}
	found := account{
		Request: request,
	}
	for _, l := range lines {
		s, hadIt := spans[l.Host]
		if l.isOf(request) || hadIt && !l.isOfRequests() && s.holds(l.Time) {
			found.Lines = append(found.Lines, l)
		}
	}
	slices.SortStableFunc(found.Lines, func(a, b logLine) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host))
	})
	return found
}

// span is when a host had a request, and some time around.
type span struct {
	from, to time.Time
}

func (s span) with(l logLine) span {
	from, to := l.Time.Add(-l.took()-aroundTime), l.Time.Add(aroundTime)
	if s.from.IsZero() || from.Before(s.from) {
		s.from = from
	}
	if to.After(s.to) {
		s.to = to
	}
	return s
}

func (s span) holds(at time.Time) bool { return !at.Before(s.from) && !at.After(s.to) }

func (l logLine) isOf(request string) bool { return l.Rest["request"] == request }

func (l logLine) isOfRequests() bool {
	return l.Event >= firstRequestEvent && l.Event < firstServerEvent
}

// took is how long the request had taken when the line was written.
func (l logLine) took() time.Duration {
	seconds, _ := l.Rest["took"].(float64)
	return time.Duration(seconds * float64(time.Second))
}

func (a account) grid() grid {
	g := grid{
		header: []string{"TIME", "HOST", "EVENT", "FIELDS"},
	}
	for _, l := range a.Lines {
		g.rows = append(g.rows, []string{l.Time.UTC().Format("15:04:05.000"), l.Host, l.Name, l.fields()})
	}
	return g
}

// fields writes the fields in the order of their names.
func (l logLine) fields() string {
	var names []string
	for name := range l.Rest {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Rest[name]))
	}
	return strings.Join(parts, " ")
}

// readLog reads a log; lines that are no events are left out.
func readLog(c *cobra.Command, name string) ([]logLine, error) {
	var in io.Reader = c.InOrStdin()
	if name != standardInput {
		file, err := os.Open(name)
		if err != nil {
			return nil, &FileError{
				Name:  name,
				Cause: err,
			}
		}
		defer file.Close()
		in = file
	}
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		if l, isEvent := parseLine(scanner.Bytes()); isEvent {
			lines = append(lines, l)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, &FileError{
			Name:  name,
			Cause: err,
		}
	}
	return lines, nil
}

// parseLine reads one event.
func parseLine(text []byte) (logLine, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		// A log may hold what is not the daemon's.
		return logLine{}, false
	}
	number, isNumbered := fields["event"].(float64)
	stamp, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if !isNumbered || err != nil {
		return logLine{}, false
	}
	l := logLine{
		Time:  at,
		Event: int(number),
		Rest:  fields,
	}
	l.Host, _ = fields["host"].(string)
	l.Name, _ = fields["msg"].(string)
	for _, name := range []string{"event", "ts", "host", "msg", "level"} {
		delete(fields, name)
	}
	return l, true
}
