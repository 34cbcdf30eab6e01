// Package slot decides which calls wait for a server, which are refused at once,
// and how many attempts a server takes at a time. It performs no I/O; the present
// time is an argument.
//
// # Usage
//
//	q := slot.New(slot.Config{MaxWaiting: 1024})
//	verdict := q.Join(now, id, deadline)
//	if !verdict.Waits { ... }  // answer now, with verdict.RetryAfter
//	...
//	q.Released(now, latency)   // an attempt ended
//	id, ok := q.First(now)      // whose turn it is
//
// # Invariants
//
// A call is refused when it joins, not later, if the measured backlog leaves it
// no useful time before its deadline. A call that waits is returned by Expired at
// the latest when its useful time is over.
package slot

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PollInterval is how often the first waiting call asks again, since a chooser
	// may admit a server by the passing of time alone.
	PollInterval = 20 * time.Millisecond
	// PatienceShare is the part of its target, as one part in this many, for which a
	// call waits for a server.
	PatienceShare = 8
)

const (
	// defaultMinRetryAfter is the shortest wait that a refused caller is told.
	defaultMinRetryAfter = time.Second
	// maxRetryAfter is the longest wait that a refused caller is told.
	maxRetryAfter = 60 * time.Second
	// smoothing is the weight of a new measurement, as one part in this many.
	smoothing = 8
	// usefulShare is the least part of a caller's time, as one part in this many,
	// that is kept for the attempt itself.
	usefulShare = 8
)

// Config configures a Queue.
type Config struct {
	// MaxWaiting bounds the calls that wait.
	MaxWaiting int
	// MinRetryAfter is the shortest wait that a refused caller is told; 0 means 1 s.
	MinRetryAfter time.Duration
}

// Ticket is a call that wants to wait. It is immutable.
type Ticket struct {
	// ID names the call.
	ID uint64
	// Deadline is when its caller no longer waits.
	Deadline time.Time
	// Target is when an answer is worth less; zero if that is not known.
	Target time.Time
	// Priority is the rank of the call, of which 0 is the highest.
	Priority int
	// Patience bounds the wait; 0 means that only the deadline does.
	Patience time.Duration
}

// Verdict answers a call that wants to wait.
type Verdict struct {
	// Waits is true if the call waits; otherwise it is refused now.
	Waits bool
	// Until is when a call that waits has no useful time left.
	Until time.Time
	// RetryAfter tells a refused caller when the backlog will be gone.
	RetryAfter time.Duration
}

// Queue holds the calls of one service that wait for a server. Calls that can still
// be answered by their target come first, those of higher priority before others,
// and then each in order of arrival. It is not safe for concurrent use.
type Queue struct {
	cfg      Config
	waiting  []waiter
	interval time.Duration
	latency  time.Duration
	released time.Time
}

type waiter struct {
	Ticket
	until time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg.MinRetryAfter = cmp.Or(cfg.MinRetryAfter, defaultMinRetryAfter)
	return &Queue{cfg: cfg}
}

// Join asks for a place. The call is refused if the measured pace of releases
// would not serve it while its deadline leaves it the usual time of an attempt.
func (q *Queue) Join(now time.Time, t Ticket) Verdict {
	until := t.Deadline.Add(-max(q.latency, t.Deadline.Sub(now)/usefulShare))
	if patient := now.Add(t.Patience); t.Patience > 0 && patient.Before(until) {
		until = patient
	}
	turn := now.Add(q.interval * time.Duration(len(q.waiting)+1))
	if len(q.waiting) >= q.cfg.MaxWaiting || !now.Before(until) || turn.After(until) {
		return Verdict{RetryAfter: q.RetryAfter()}
	}
	q.waiting = append(q.waiting, waiter{Ticket: t, until: until})
	return Verdict{Waits: true, Until: until}
}

// First returns the call whose turn it is.
func (q *Queue) First(now time.Time) (uint64, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	first := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if q.before(now, w.Ticket, first.Ticket) {
			first = w
		}
	}
	return first.ID, true
}

// before reports whether a is served before b, which arrived earlier.
func (q *Queue) before(now time.Time, a, b Ticket) bool {
	if timely, other := q.timely(now, a), q.timely(now, b); timely != other {
		return timely
	}
	return a.Priority < b.Priority
}

// timely reports whether a call can be answered by its target if it is sent now.
func (q *Queue) timely(now time.Time, t Ticket) bool {
	return t.Target.IsZero() || !now.Add(q.latency).After(t.Target)
}

// Leave removes a call that got a server, was canceled or gave up.
func (q *Queue) Leave(id uint64) bool {
	i := slices.IndexFunc(q.waiting, func(w waiter) bool { return w.ID == id })
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Expired removes and returns the calls that have no useful time left.
func (q *Queue) Expired(now time.Time) []uint64 {
	var ids []uint64
	q.waiting = slices.DeleteFunc(q.waiting, func(w waiter) bool {
		over := !now.Before(w.until)
		if over {
			ids = append(ids, w.ID)
		}
		return over
	})
	return ids
}

// Released tells that an attempt ended after latency. While calls wait, the time
// between two releases measures how fast the backlog is served; the first release
// after an idle time measures nothing.
func (q *Queue) Released(now time.Time, latency time.Duration) {
	if latency > 0 {
		q.latency = smooth(q.latency, latency)
	}
	if len(q.waiting) == 0 {
		q.released = time.Time{}
		return
	}
	if !q.released.IsZero() {
		q.interval = smooth(q.interval, now.Sub(q.released))
	}
	q.released = now
}

// Len returns how many calls wait.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// RetryAfter returns how long the backlog takes at the measured pace.
func (q *Queue) RetryAfter() time.Duration {
	backlog := q.interval * time.Duration(len(q.waiting)+1)
	return min(max(backlog, q.cfg.MinRetryAfter), maxRetryAfter)
}

// smooth moves old towards sample.
func smooth(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/smoothing
}
