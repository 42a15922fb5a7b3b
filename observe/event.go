package observe

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is a kind of log event. Its number never changes and is never reused, so
// that operators can search for it and alert on it.
type Event struct {
	// Number identifies the event in logs and in docs/EVENTS.md.
	Number int
	// Name is the short name of the event in kebab case, which is the log message.
	Name  string
	Level zapcore.Level
	// Fields are the names of the log fields of the event.
	Fields []string
	// Cause says when the event is logged.
	Cause string
	// Action says what an operator should do about it.
	Action string
}

// Log writes numbered events. The zero value discards them.
type Log struct {
	Logger *zap.Logger
}

// IsEnabled reports whether the level of the event is logged.
func (l Log) IsEnabled(event Event) bool {
	return l.Logger != nil && l.Logger.Core().Enabled(event.Level)
}

// Write logs an event with its number in the field "event". Errors belong in the field
// "error".
func (l Log) Write(event Event, fields ...zap.Field) {
	if l.Logger == nil {
		return
	}
	entry := l.Logger.Check(event.Level, event.Name)
	if entry == nil {
		return
	}
	allFields := make([]zap.Field, 0, len(fields)+1)
	allFields = append(allFields, zap.Int("event", event.Number))
	allFields = append(allFields, fields...)
	entry.Write(allFields...)
}
