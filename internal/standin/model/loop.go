package model

import (
	"container/heap"
	"time"
)

// eventLoop is the event loop of a discrete-event simulation. It runs events in order
// of time; events with the same time run in the order in which they were scheduled.
type eventLoop struct {
	now     time.Time
	events  eventHeap
	lastSeq int
}

// event is a function scheduled to run at a simulated time.
type event struct {
	at  time.Time
	seq int
	run func()
}

// schedule schedules an event. A time in the past is taken as the current time.
func (l *eventLoop) schedule(at time.Time, run func()) {
	if at.Before(l.now) {
		at = l.now
	}
	l.lastSeq++
	heap.Push(&l.events, event{at: at, seq: l.lastSeq, run: run})
}

// scheduleAfter schedules an event a duration after the current simulated time.
func (l *eventLoop) scheduleAfter(d time.Duration, run func()) {
	l.schedule(l.now.Add(d), run)
}

// runUntil runs all events up to and including the given time, and advances the clock
// to it.
func (l *eventLoop) runUntil(end time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		next, ok := heap.Pop(&l.events).(event)
		if !ok {
			return
		}
		l.now = next.at
		next.run()
	}
	l.now = end
}

// eventHeap is a min-heap of scheduled events.
type eventHeap []event

var _ heap.Interface = (*eventHeap)(nil)

// Len implements heap.Interface.
func (h *eventHeap) Len() int { return len(*h) }

// Less orders events by time, then by sequence number.
func (h *eventHeap) Less(i, j int) bool {
	a, b := (*h)[i], (*h)[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.seq < b.seq
}

// Swap implements heap.Interface.
func (h *eventHeap) Swap(i, j int) { (*h)[i], (*h)[j] = (*h)[j], (*h)[i] }

// Push appends an event; use heap.Push instead.
func (h *eventHeap) Push(x any) {
	if e, ok := x.(event); ok {
		*h = append(*h, e)
	}
}

// Pop removes the last event; use heap.Pop instead.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
