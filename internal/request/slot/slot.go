// Package slot implements the request queue and the per-server concurrency limits. The
// queue decides which calls wait for a server and which are refused immediately. The
// package performs no I/O and takes the current time as an argument.
//
// # Usage
//
//	q := slot.New(slot.Config{MaxQueued: 1024})
//	result := q.Join(now, slot.Entry{ID: id, Deadline: deadline})
//	if !result.Queued { ... }  // refuse the call with result.RetryAfter
//	...
//	q.RecordRelease(now, latency) // an attempt ended
//	id, ok := q.Next(now)         // the call to serve next
//	q.Serve(now, id)              // it got a server
//
// # Invariants
//
// A call is refused when it joins, not later, if the estimated queueing delay would
// leave too little time before its deadline for an attempt. A call that is still queued
// when the time left becomes too short is returned by RemoveExpired. A call of a customer
// may also be displaced by one that precedes it.
package slot

import (
	"cmp"
	"slices"
	"time"
)

const (
	// PollInterval is how often the call at the head of the queue retries the choice of
	// a server, because a chooser may make a server available again after a timeout
	// without any other event.
	PollInterval = 20 * time.Millisecond
	// MaxWaitDivisor limits the time that a call waits in the queue to 1/MaxWaitDivisor
	// of its target latency.
	MaxWaitDivisor = 8
)

const (
	// defaultMinRetryAfter is the default of Config.MinRetryAfter.
	defaultMinRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After delay.
	maxRetryAfter = 60 * time.Second
	// ewmaDivisor is the divisor of the moving averages: a new sample has weight
	// 1/ewmaDivisor.
	ewmaDivisor = 8
	// attemptShare reserves at least 1/attemptShare of the time to a call's deadline for
	// the attempt itself.
	attemptShare = 8
)

// Config configures a Queue.
type Config struct {
	// MaxQueued is the maximum number of queued calls.
	MaxQueued int
	// MinRetryAfter is the shortest Retry-After delay; 0 means 1 s.
	MinRetryAfter time.Duration
	// LateLast is true if calls that can no longer meet their target are refused while
	// calls that still can find no server.
	LateLast bool
}

// Entry describes a call that asks to be queued. It is immutable.
type Entry struct {
	// ID identifies the call.
	ID uint64
	// Deadline is the time at which the caller gives up.
	Deadline time.Time
	// Target is the time by which the call should be answered; zero if it has no target
	// latency.
	Target time.Time
	// Priority is the priority of the call; 0 is the highest.
	Priority int
	// MaxWait is the maximum time in the queue; 0 means that only the deadline limits
	// it.
	MaxWait time.Duration
	// Share describes the customer of the call; nil if the rules declare no customers.
	Share *Share
}

// JoinResult is the result of Join.
type JoinResult struct {
	// Queued is true if the call was queued, and false if it was refused.
	Queued bool
	// ExpiresAt is the time at which a queued call expires.
	ExpiresAt time.Time
	// RetryAfter is the Retry-After delay of a refused call.
	RetryAfter time.Duration
	// Displaced is true if another call, with the ID DisplacedID, was removed from the queue
	// and is to be refused.
	Displaced   bool
	DisplacedID uint64
}

// Queue holds the calls of one service that wait for a server. Calls that can still
// meet their target are served first, then calls of higher priority, then in order of
// arrival. Among calls of customers, those of a customer that would be starved precede
// others; at the same priority the usage and the recent service of their customers decide,
// and between calls of one customer the time that is left to their targets. It is not safe for concurrent use.
type Queue struct {
	cfg             Config
	fair            fairness
	waiting         []queuedEntry
	releaseInterval time.Duration // moving average of the time between releases
	latency         time.Duration // moving average of the latency of attempts
	lastRelease     time.Time     // last release since the queue was empty, if any
	shortUntil      time.Time     // until when the service counts as short of servers
}

type queuedEntry struct {
	Entry
	expiresAt time.Time // when the call expires
	// service is what is remembered about the customer of the call; nil if it has none.
	service *service
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg.MinRetryAfter = cmp.Or(cfg.MinRetryAfter, defaultMinRetryAfter)
	return &Queue{cfg: cfg}
}

// Join queues a call or refuses it. A call is refused if the queue is full, or if at
// the measured release rate it would be served too late to complete an attempt of
// average latency before its deadline. If the call has a customer, the call that is refused
// may be another one, which is served later.
func (q *Queue) Join(now time.Time, e Entry) JoinResult {
	expiresAt := e.Deadline.Add(-max(q.latency, e.Deadline.Sub(now)/attemptShare))
	if limit := now.Add(e.MaxWait); e.MaxWait > 0 && limit.Before(expiresAt) {
		expiresAt = limit
	}
	if e.Share != nil {
		return q.joinFair(now, queuedEntry{Entry: e, expiresAt: expiresAt, service: q.fair.service(e.Share.Customer)})
	}
	servedAt := now.Add(q.releaseInterval * time.Duration(len(q.waiting)+1))
	if len(q.waiting) >= q.cfg.MaxQueued || !now.Before(expiresAt) || servedAt.After(expiresAt) {
		return JoinResult{RetryAfter: q.RetryAfter()}
	}
	q.waiting = append(q.waiting, queuedEntry{Entry: e, expiresAt: expiresAt})
	return JoinResult{Queued: true, ExpiresAt: expiresAt}
}

// Next returns the call to be served next, or false if the queue is empty.
func (q *Queue) Next(now time.Time) (uint64, bool) {
	if len(q.waiting) == 0 {
		return 0, false
	}
	next := q.waiting[0]
	for _, w := range q.waiting[1:] {
		if q.precedes(now, w, next) {
			next = w
		}
	}
	return next.ID, true
}

// precedes reports whether a is served before b, which arrived earlier.
func (q *Queue) precedes(now time.Time, a, b queuedEntry) bool {
	if timely, otherTimely := q.meetsTarget(now, a.Entry), q.meetsTarget(now, b.Entry); timely != otherTimely {
		return timely
	}
	if a.service != nil && b.service != nil {
		return q.fair.precedes(now, a, b)
	}
	return a.Priority < b.Priority
}

// meetsTarget reports whether a call sent now is expected to meet its target.
func (q *Queue) meetsTarget(now time.Time, e Entry) bool {
	return e.Target.IsZero() || !now.Add(q.latency).After(e.Target)
}

// Remove removes a call that was canceled. It returns false if the call is not queued.
func (q *Queue) Remove(id uint64) bool {
	_, ok := q.remove(id)
	return ok
}

// Serve removes a call that was assigned a server.
func (q *Queue) Serve(now time.Time, id uint64) {
	if e, ok := q.remove(id); ok && e.service != nil {
		q.fair.recordServed(now, e.service)
	}
}

// Refuse removes a call whose time in the queue is over. It returns false if the call is not
// queued.
func (q *Queue) Refuse(id uint64) bool {
	e, ok := q.remove(id)
	if ok && e.service != nil {
		q.fair.recordRefused(e.service)
	}
	return ok
}

// remove removes a call and returns its entry.
func (q *Queue) remove(id uint64) (queuedEntry, bool) {
	i := slices.IndexFunc(q.waiting, func(w queuedEntry) bool { return w.ID == id })
	if i < 0 {
		return queuedEntry{}, false
	}
	e := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return e, true
}

// RemoveExpired removes and returns the calls whose time in the queue is over.
func (q *Queue) RemoveExpired(now time.Time) []uint64 {
	var ids []uint64
	q.waiting = slices.DeleteFunc(q.waiting, func(w queuedEntry) bool {
		expired := !now.Before(w.expiresAt)
		if expired {
			ids = append(ids, w.ID)
			if w.service != nil {
				q.fair.recordRefused(w.service)
			}
		}
		return expired
	})
	return ids
}

// RecordRelease records that an attempt ended with the given latency, or with an unknown
// one if it is 0. While calls are queued, the time between two releases measures the
// service rate. The first release after the queue was empty gives no sample.
func (q *Queue) RecordRelease(now time.Time, latency time.Duration) {
	if latency > 0 {
		q.latency = ewma(q.latency, latency)
	}
	if len(q.waiting) == 0 {
		q.lastRelease = time.Time{}
		return
	}
	if !q.lastRelease.IsZero() {
		q.releaseInterval = ewma(q.releaseInterval, now.Sub(q.lastRelease))
	}
	q.lastRelease = now
}

// Len returns the number of queued calls.
func (q *Queue) Len() int {
	return len(q.waiting)
}

// RetryAfter returns the estimated time to drain the queue at the measured release
// rate, within the bounds of Retry-After delays.
func (q *Queue) RetryAfter() time.Duration {
	drainTime := q.releaseInterval * time.Duration(len(q.waiting)+1)
	return min(max(drainTime, q.cfg.MinRetryAfter), maxRetryAfter)
}

// ewma returns the exponentially weighted moving average after sample. A first sample
// replaces the zero value.
func ewma(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + (sample-old)/ewmaDivisor
}
