package event

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

const (
	// linesPerSecond is the rate of the lines of one event, and lineBurst how many of them
	// are written at once, as when a gateway learns of many servers.
	linesPerSecond = 200
	lineBurst      = 2000
	// callLinesPerSecond and callLineBurst are those of events that each call or attempt
	// logs, which the rate of calls bounds already.
	callLinesPerSecond = 10_000
	callLineBurst      = 20_000
	// omittedInterval is the least time between two reports of omitted lines.
	omittedInterval = time.Second
)

// Bounds limits the log lines of each event, so that no state of a gateway or its fleet
// floods the log, and counts those that are omitted. It is safe for concurrent use.
type Bounds struct {
	mu     sync.Mutex
	events map[Event]*bound
	// omitted counts the lines of all events that are not reported yet.
	omitted    int64
	reportedAt time.Time
}

// bound is the limit of one event.
type bound struct {
	lines   *rate.Limiter
	omitted int64
}

// Omitted states how many lines of an event were omitted.
type Omitted struct {
	Event Event
	Lines int64
}

// NewBounds returns Bounds with their whole burst.
func NewBounds() *Bounds {
	return &Bounds{events: make(map[Event]*bound)}
}

// Allow reports whether a line of an event may be written now, and otherwise counts it as
// omitted.
func (b *Bounds) Allow(now time.Time, e Event) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.events[e]
	if limit == nil {
		limit = newBound(e)
		b.events[e] = limit
	}
	if limit.lines.AllowN(now, 1) {
		return true
	}
	limit.omitted++
	b.omitted++
	return false
}

// TakeOmitted returns which lines were omitted since it last returned some, at most once in
// omittedInterval.
func (b *Bounds) TakeOmitted(now time.Time) []Omitted {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.omitted == 0 || now.Sub(b.reportedAt) < omittedInterval {
		return nil
	}
	var list []Omitted
	for e, limit := range b.events {
		if limit.omitted > 0 {
			list = append(list, Omitted{Event: e, Lines: limit.omitted})
			limit.omitted = 0
		}
	}
	b.omitted, b.reportedAt = 0, now
	return list
}

func newBound(e Event) *bound {
	switch e {
	case RouteChosen, CallRefused, CallEnded, CallCut, CallResumed, AttemptFailed:
		return &bound{lines: rate.NewLimiter(callLinesPerSecond, callLineBurst)}
	default:
		return &bound{lines: rate.NewLimiter(linesPerSecond, lineBurst)}
	}
}

// lineContext names the event of a line to boundHook.
type lineContext struct {
	context.Context
	event Event
}

// boundHook omits the lines that Bounds do not permit. It reports how many with the next
// line of any event.
type boundHook struct {
	bounds *Bounds
	// report receives the LinesOmitted lines, and has no boundHook.
	report zerolog.Logger
}

var _ zerolog.Hook = boundHook{}

// Run omits a line, or lets it pass.
func (h boundHook) Run(e *zerolog.Event, _ zerolog.Level, _ string) {
	line, ok := e.GetCtx().(*lineContext)
	if !ok {
		return
	}
	now := time.Now()
	for _, o := range h.bounds.TakeOmitted(now) {
		Warn(h.report, LinesOmitted).Stringer("Of", o.Event).Int64("Lines", o.Lines).Send()
	}
	if !h.bounds.Allow(now, line.event) {
		e.Discard()
	}
}
