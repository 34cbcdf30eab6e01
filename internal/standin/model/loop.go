package model

import (
	"container/heap"
	"time"
)

// loop runs events in the order of their times, and those of one time in the order
// in which they were planned.
type loop struct {
	now    time.Time
	events events
	last   int
}

// planned is an event and the time at which it happens.
type planned struct {
	at    time.Time
	order int
	do    func()
}

// at plans an event. One that is planned for the past happens now.
func (l *loop) at(t time.Time, do func()) {
	if t.Before(l.now) {
		t = l.now
	}
	l.last++
	heap.Push(&l.events, planned{at: t, order: l.last, do: do})
}

// after plans an event for some time from now.
func (l *loop) after(d time.Duration, do func()) {
	l.at(l.now.Add(d), do)
}

// run runs all events up to the given time.
func (l *loop) run(until time.Time) {
	for len(l.events) > 0 && !l.events[0].at.After(until) {
		next, ok := heap.Pop(&l.events).(planned)
		if !ok {
			return
		}
		l.now = next.at
		next.do()
	}
	l.now = until
}

// events is a heap of planned events.
type events []planned

var _ heap.Interface = (*events)(nil)

// Len returns the number of events.
func (e *events) Len() int { return len(*e) }

// Less orders events by time, then by the order of planning.
func (e *events) Less(i, j int) bool {
	a, b := (*e)[i], (*e)[j]
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.order < b.order
}

// Swap exchanges two events.
func (e *events) Swap(i, j int) { (*e)[i], (*e)[j] = (*e)[j], (*e)[i] }

// Push adds an event at the end.
func (e *events) Push(x any) {
	if p, ok := x.(planned); ok {
		*e = append(*e, p)
	}
}

// Pop removes the event at the end.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
