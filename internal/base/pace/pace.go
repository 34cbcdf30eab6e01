// Package pace divides long work into slices, so that calls which arrive meanwhile do not wait
// behind all of it. A goroutine that only yields the processor may be chosen again before the
// network is polled, so that each slice ends with a pause.
//
// # Usage
//
//	pacer := pace.Start(time.Now())
//	for _, item := range items {
//		process(item)
//		var pause time.Duration
//		if pacer, pause = pacer.Next(time.Now(), 1); pause > 0 {
//			time.Sleep(pause)
//			pacer = pace.Start(time.Now())
//		}
//	}
package pace

import "time"

const (
	// MaxWork is the work of a slice, in units of a compared line.
	MaxWork = 2048
	// MaxSlice is the longest time of a slice.
	MaxSlice = time.Millisecond
	// Pause is the time between two slices.
	Pause = time.Millisecond
)

// Pacer decides when a slice ends. A Pacer is immutable.
type Pacer struct {
	startedAt time.Time
	work      int
}

// Start returns a Pacer at the start of a slice.
func Start(now time.Time) Pacer {
	return Pacer{startedAt: now}
}

// Next returns a Pacer after further work of the slice. If the slice ends now, it also returns the
// time to pause, and otherwise 0.
func (p Pacer) Next(now time.Time, work int) (Pacer, time.Duration) {
	p.work += work
	if p.work >= MaxWork || now.Sub(p.startedAt) >= MaxSlice {
		return p, Pause
	}
	return p, 0
}
