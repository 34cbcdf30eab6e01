// Package event numbers the log events of the load balancer. Each log line
// carries the number and name of its event; docs/EVENTS.md is the catalogue.
//
// # Usage
//
//	event.Info(logger, event.RouteChosen).Str("Server", name).Send()
package event

import "github.com/rs/zerolog"

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=Event -output=event_string.go

// Event is the number of a kind of log line. The thousands digit names the
// area, as for result codes.
type Event int

// Info starts a routine log line.
func Info(l zerolog.Logger, e Event) *zerolog.Event {
	return l.Info().Int("Event", int(e)).Str("Name", e.String())
}

// Warn starts a log line about a condition that operators may want to know.
func Warn(l zerolog.Logger, e Event) *zerolog.Event {
	return l.Warn().Int("Event", int(e)).Str("Name", e.String())
}

// Error starts a log line about a failure that needs attention.
func Error(l zerolog.Logger, e Event) *zerolog.Event {
	return l.Error().Int("Event", int(e)).Str("Name", e.String())
}
