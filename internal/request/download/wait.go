// Package download decides how long a caller waits for the rest of a response body whose header
// has been received.
//
// A body that brings bytes is not a wait, whatever the deadline: its caller is being served. One that
// stands is. Before the deadline that the route or the caller states, only the progress timeout
// ends it. It has to move in the grace time after the deadline, unless it stands by then, and
// from then on it ends as soon as it stands. If another server can send the rest, it is asked early,
// while the present one may still go on.
//
// The package performs no I/O and takes the current time as an argument.
//
// # Usage
//
//	w := download.NewWait(download.Config{Deadline: deadline, ProgressTimeout: 15 * time.Second})
//	for {
//		began := time.Now()
//		...                   // read until w.EndsAt(began); at w.AsksAt(began) ask another server
//		w = w.WithRead(began, time.Now(), n)
//	}
//
// # Invariants
//
// A body of which nothing comes ends at most Grace after the deadline, and not before it, but for
// the progress timeout. Time in which nobody reads the body, as while its caller takes what it has
// been sent, is no wait.
package download

import "time"

const (
	// Grace is the time after the deadline in which a body has to move.
	Grace = 400 * time.Millisecond
	// A body stands if it brings less than minMoved bytes in maxStandTime of reading. At the
	// deadline, standPauses of its usual pauses suffice, but for minStandTime.
	minStandTime = Grace
	maxStandTime = time.Second
	standPauses  = 4
	minMoved     = 1 << 10 // bytes
	// minPause is the shortest read that counts as a pause.
	minPause = time.Millisecond
	// minAskTime and maxAskTime bound the time after which another server is asked, which
	// is the time left divided by askDivisor.
	minAskTime = 100 * time.Millisecond
	maxAskTime = time.Second
	askDivisor = 4
)

// Config describes the caller's wait.
type Config struct {
	// Deadline is the end of the time that the route or the caller states; the zero value
	// means that neither states any.
	Deadline time.Time
	// ProgressTimeout is the longest time without a byte.
	ProgressTimeout time.Duration
}

// Wait is the wait for the rest of a body. It is an immutable value.
type Wait struct {
	cfg Config
	// stood is the time of reading, and moved the number of bytes that it brought, since
	// the body last moved.
	stood time.Duration
	moved int
	// pause is the usual time between two parts of the body.
	pause time.Duration
	// ended is the end of the last read, and late true if the body has moved since the deadline.
	ended time.Time
	late  bool
}

// NewWait returns the wait for a body of which nothing was read.
func NewWait(cfg Config) Wait {
	return Wait{cfg: cfg}
}

// WithRead returns the wait after a read that brought n bytes.
func (w Wait) WithRead(began, ended time.Time, n int) Wait {
	took := ended.Sub(began)
	if n > 0 && took >= minPause {
		w.pause = max(took, w.pause*3/4) // the longest of the last few
	}
	w.stood += took
	w.moved += n
	w.ended = ended
	if w.moved >= minMoved {
		w.stood, w.moved = 0, 0
		w.late = w.late || ended.After(w.cfg.Deadline)
	}
	return w
}

// EndsAt returns when a read that begins now ends unless it brings a byte.
func (w Wait) EndsAt(now time.Time) time.Time {
	timeout := now.Add(w.cfg.ProgressTimeout)
	if w.cfg.Deadline.IsZero() {
		return timeout
	}
	if limit := w.limit(now); limit.Before(timeout) {
		return limit
	}
	return timeout
}

// limit returns when the deadline ends a read that begins now.
func (w Wait) limit(now time.Time) time.Time {
	deadline := w.cfg.Deadline
	waitedAtDeadline := !now.After(deadline) || w.ended.After(deadline)
	switch {
	case w.late || !waitedAtDeadline:
		return now.Add(maxStandTime - w.stood)
	case !now.Add(w.standTime() - w.stood).After(deadline):
		return deadline
	default:
		return deadline.Add(Grace)
	}
}

// standTime returns the time of reading after which the body stands, if that is at the deadline.
func (w Wait) standTime() time.Duration {
	return min(max(standPauses*w.pause, minStandTime), maxStandTime)
}

// AsksAt returns when another server is asked for the rest, if a read that begins now has brought
// nothing by then. It returns false if there is no time for that.
func (w Wait) AsksAt(now time.Time) (time.Time, bool) {
	if w.cfg.Deadline.IsZero() {
		return now.Add(maxAskTime), true
	}
	wait := min(max(w.cfg.Deadline.Sub(now)/askDivisor, minAskTime), maxAskTime)
	at := now.Add(wait)
	return at, at.Before(w.cfg.Deadline)
}
