// Package event numbers the log events of the load balancer. Each log line
// carries the number and name of its event; docs/EVENTS.md is the catalogue.
//
// # Usage
//
//	event.Info(logger, event.RouteChosen).Str("Server", name).Send()
package event

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Event -output=event_string.go

// Event is the number of a kind of log line. The thousands digit names the
// area, as for result codes.
type Event int

// init names the field of an error like the others. zerolog has that name in a
// package variable alone, which is set here once, before any line is logged.
func init() {
	zerolog.ErrorFieldName = "Error"
}

// NewLogger returns the logger of a gateway. Lines below the level, which is
// one of debug, info, warn and error, are left out.
func NewLogger(w io.Writer, level, gateway string) zerolog.Logger {
	least, err := zerolog.ParseLevel(level)
	if err != nil {
		least = zerolog.InfoLevel
	}
	return zerolog.New(w).Level(least).Hook(timeHook{}).With().Str("Gateway", gateway).Logger()
}

// timeHook adds the time to each line, named as the other fields are.
type timeHook struct{}

var _ zerolog.Hook = timeHook{}

// Run adds the time to a line.
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	var buf [len(timeFormat)]byte
	e.RawJSON("Time", time.Now().UTC().AppendFormat(buf[:0], timeFormat))
}

// timeFormat is RFC 3339 with microseconds, in quotes.
const timeFormat = `"2006-01-02T15:04:05.000000Z07:00"`

// Info starts a routine log line.
func Info(l zerolog.Logger, e Event) *zerolog.Event {
	return start(l, zerolog.InfoLevel, "Info", e)
}

// Warn starts a log line about a condition that operators may want to know.
func Warn(l zerolog.Logger, e Event) *zerolog.Event {
	return start(l, zerolog.WarnLevel, "Warn", e)
}

// Error starts a log line about a failure that needs attention.
func Error(l zerolog.Logger, e Event) *zerolog.Event {
	return start(l, zerolog.ErrorLevel, "Error", e)
}

// start begins a line, or returns nil, on which every method does nothing, if
// the logger leaves out the level. zerolog's own level field has its name in a
// variable of that package; a field of ours keeps the names alike without
// changing another package's state.
func start(l zerolog.Logger, level zerolog.Level, name string, e Event) *zerolog.Event {
	if l.GetLevel() > level {
		return nil
	}
	return l.Log().Str("Level", name).Int("Event", int(e)).Str("Name", e.String())
}
