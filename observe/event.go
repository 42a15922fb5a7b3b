package observe

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of thing that the log tells. Its number never changes and
// is never used again, so operators can search and alert on it.
type Event struct {
	// Number identifies the event in logs and in docs/EVENTS.md.
	Number int
	// Name is the short form of the event, in kebab case.
	Name  string
	Level zapcore.Level
	// Fields are the names of the fields that the event carries.
	Fields []string
	// Cause says what makes the event happen.
	Cause string
	// Action says what an operator does about it.
	Action string
}

// Log writes numbered events. The zero value discards them.
type Log struct {
	Logger *zap.Logger
}

// IsEnabled tells whether an event is logged at all.
func (l Log) IsEnabled(event Event) bool {
	return l.Logger != nil && l.Logger.Core().Enabled(event.Level)
}

// Write logs an event. An error goes into the field "error".
func (l Log) Write(event Event, fields ...zap.Field) {
	if l.Logger == nil {
		return
	}
	entry := l.Logger.Check(event.Level, event.Name)
	if entry == nil {
		return
	}
	all := make([]zap.Field, 0, len(fields)+1)
	all = append(all, zap.Int("event", event.Number))
	all = append(all, fields...)
	entry.Write(all...)
}
