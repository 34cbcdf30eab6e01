// Package event defines the log events of the load balancer and its loggers. Each
// log line has the number and name of its event; docs/EVENTS.md documents all events.
//
// # Usage
//
//	event.Info(logger, event.RouteChosen).Str("Server", name).Send()
package event

import (
	"context"
	"io"
	"time"

	"github.com/rs/zerolog"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Event -output=event_string.go

// Event is the number of a kind of log line. The thousands digit identifies the
// area: 1xxx process, 2xxx rules, 3xxx store, 4xxx calls, 5xxx peers.
type Event int

// init capitalizes the name of the error field like those of the other fields.
// zerolog permits this only through a package variable, which is set once here,
// before any line is logged.
func init() {
	zerolog.ErrorFieldName = "Error"
}

// NewLogger returns the logger of a gateway. Lines below the given level, which is
// debug, info, warn or error, are suppressed. An invalid level means info. The lines of each
// event are limited by Bounds.
func NewLogger(w io.Writer, level, gateway string) zerolog.Logger {
	minLevel, err := zerolog.ParseLevel(level)
	if err != nil {
		minLevel = zerolog.InfoLevel
	}
	logger := zerolog.New(w).Level(minLevel).Hook(timeHook{}).With().Str("Gateway", gateway).Logger()
	return logger.Hook(boundHook{bounds: NewBounds(), report: logger})
}

// timeHook adds the current time to each line, with a capitalized field name like the
// other fields.
type timeHook struct{}

var _ zerolog.Hook = timeHook{}

// Run adds the current time to a line.
func (timeHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	var buf [len(timeFormat)]byte
	e.RawJSON("Time", time.Now().UTC().AppendFormat(buf[:0], timeFormat))
}

// timeFormat is RFC 3339 with microseconds, in JSON quotes.
const timeFormat = `"2006-01-02T15:04:05.000000Z07:00"`

// Info starts a log line about normal operation.
func Info(l zerolog.Logger, e Event) *zerolog.Event {
	return start(l, zerolog.InfoLevel, "Info", e)
}

// Warn starts a log line about an unusual condition that operators may want to know
// about.
func Warn(l zerolog.Logger, e Event) *zerolog.Event {
	return start(l, zerolog.WarnLevel, "Warn", e)
}

// Error starts a log line about a failure that needs an operator's attention.
func Error(l zerolog.Logger, e Event) *zerolog.Event {
	return start(l, zerolog.ErrorLevel, "Error", e)
}

// start starts a log line. If the logger suppresses the level it returns nil, on which
// every method is a no-op. zerolog takes the name of its own level field from a
// package variable; adding the field here gives it a capitalized name without
// changing that global state.
func start(l zerolog.Logger, level zerolog.Level, name string, e Event) *zerolog.Event {
	if l.GetLevel() > level {
		return nil
	}
	return l.Log().Ctx(&lineContext{Context: context.Background(), event: e}).Str("Level", name).Int("Event", int(e)).Str("Name", e.String())
}
