package connection

import (
	"net"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"mustardsaddle.example/mustardsaddle/internal/base/event"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=EndReason -trimprefix=End -output=endreason_string.go

// EndReason is why the gateway ends a connection.
type EndReason int

// Reasons for which the gateway ends a connection.
const (
	// EndOther is an end by net/http: after a response that is the last one, or because a
	// handler aborts its response.
	EndOther EndReason = iota
	// EndIdle is an end after the idle timeout.
	EndIdle
	// EndStop is an end of an idle connection by a graceful shutdown.
	EndStop
	// EndTimeout is an end after a read deadline, such as the timeout for a request header.
	EndTimeout
	// EndLast is an end because no request may follow on the connection.
	EndLast

	endReasons
)

// ListenerConfig configures the listener for connections that bring requests.
type ListenerConfig struct {
	// RequestID is the request header with the caller's ID of a request; "" means that there
	// is none.
	RequestID string
	// Metrics receives the counters; nil disables them.
	Metrics tally.Scope
	// Logger receives the log events.
	Logger zerolog.Logger
}

// endReporter counts and logs the connections that the gateway ends although data of the caller
// has arrived that no response follows.
type endReporter struct {
	requestID string
	logger    zerolog.Logger
	counters  [endReasons]tally.Counter
}

// newEndReporter returns an endReporter.
func newEndReporter(cfg ListenerConfig) *endReporter {
	r := &endReporter{requestID: cfg.RequestID, logger: cfg.Logger}
	scope := cfg.Metrics
	if scope == nil {
		scope = tally.NoopScope
	}
	for reason := range endReasons {
		r.counters[reason] = scope.Tagged(map[string]string{"Reason": reason.String()}).Counter("ConnectionsCut")
	}
	return r
}

// ending states how the gateway ends a connection.
type ending struct {
	reason EndReason
	// idle is for how long the connection has had no request; 0 if a request is in progress.
	idle time.Duration
	// late is how long after the idle timeout its timer fired.
	late time.Duration
	// begun is true if data was read after the last response.
	begun bool
	// unread holds the first bytes that were received and not read.
	unread []byte
}

// cuts reports whether the end may leave a request without a response.
func (e ending) cuts() bool {
	return e.begun || len(e.unread) > 0
}

// report counts and logs the end of the connection from a caller, if it may leave a request
// without a response.
func (r *endReporter) report(caller net.Addr, e ending) {
	if !e.cuts() {
		return
	}
	r.counters[e.reason].Inc(1)
	line := event.Warn(r.logger, event.ConnectionCut).Stringer("Reason", e.reason).Stringer("Caller", caller).
		Bool("Begun", e.begun).Int("Unread", len(e.unread)).Dur("Idle", e.idle).Dur("Late", e.late)
	if id := fieldOf(e.unread, r.requestID); id != "" {
		line = line.Str("Request", id)
	}
	line.Send()
}
