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

// maxLogLineBytes is the maximum length of a log line.
const maxLogLineBytes = 1 << 20

// Events about single requests have the numbers from firstRequestEvent up to, but
// not including, firstServerEvent. Package observe defines the numbers.
const (
	firstRequestEvent = 400
	firstServerEvent  = 500
)

// logLine is one event from the log of a host.
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

// elapsed returns how long the request had taken when the line was logged, or zero if
// the line does not say.
func (l logLine) elapsed() time.Duration {
	seconds, _ := l.Fields["took"].(float64)
	return time.Duration(seconds * float64(time.Second))
}

// formatFields formats the fields as name=value, sorted by name.
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

// readLog reads the events of a log file, or of the standard input, and skips all
// other lines.
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

// parseLogLine parses one event. It returns false if the line is not an event.
func parseLogLine(text []byte) (logLine, bool) {
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return logLine{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(text[begin:], &fields); err != nil {
		// The log may contain lines that the daemon did not write.
		return logLine{}, false
	}
	number, isNumbered := fields["event"].(float64)
	timestamp, _ := fields["ts"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
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
