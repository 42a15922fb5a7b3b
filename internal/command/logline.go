package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// maxLogLineBytes bounds a line of a log, in bytes.
const maxLogLineBytes = 1 << 20

// firstRequestEvent and firstServerEvent bound the numbers of events that tell of
// single requests.
const (
	firstRequestEvent = 400
	firstServerEvent  = 500
)

// logLine is an event as a host logged it.
type logLine struct {
	Host   string         `json:"host"`
	Time   time.Time      `json:"time"`
	Event  int            `json:"event"`
	Name   string         `json:"name"`
	Fields map[string]any `json:"fields"`
}

func (l logLine) belongsTo(request string) bool { return l.Fields["request"] == request }

func (l logLine) isRequestEvent() bool {
	return l.Event >= firstRequestEvent && l.Event < firstServerEvent
}

// elapsed is how long the request had taken when the line was written.
func (l logLine) elapsed() time.Duration {
	seconds, _ := l.Fields["took"].(float64)
	return time.Duration(seconds * float64(time.Second))
}

// formatFields writes the fields in the order of their names.
func (l logLine) formatFields() string {
	var names []string
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s=%v", name, l.Fields[name]))
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
	scanner.Buffer(nil, maxLogLineBytes)
	for scanner.Scan() {
		if l, isEvent := parseLogLine(scanner.Bytes()); isEvent {
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

// parseLogLine reads one event.
func parseLogLine(text []byte) (logLine, bool) {
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
		Time:   at,
		Event:  int(number),
		Fields: fields,
	}
	l.Host, _ = fields["host"].(string)
	l.Name, _ = fields["msg"].(string)
	for _, name := range []string{"event", "ts", "host", "msg", "level"} {
		delete(fields, name)
	}
	return l, true
}
