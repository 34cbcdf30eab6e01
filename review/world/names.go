package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// namesRuntime is how long callers book, and changeAfter when the route moves.
	namesRuntime = 15 * time.Second
	changeAfter  = 5 * time.Second
	// configBound is the time in which a configuration takes effect everywhere.
	configBound = 2 * time.Second
	// bookingInterval is the time between two bookings of one caller.
	bookingInterval = 100 * time.Millisecond
	// allowedDenials is the number of false answers with status 404 that the rules allow.
	allowedDenials = 10
	// nextService is the service to which the route moves.
	nextService = "shedbook.v2"
)

// runNames moves a route to another service.
func runNames(ctx context.Context, rec *record, dir *os.Root) (bool, error) {
	var upstreams []*upstream
	for range 4 {
		for _, service := range []string{bookingService, nextService} {
			upstreams = append(upstreams, &upstream{id: newID("i-"), service: service, slots: 2, work: book})
		}
	}
	const timeout = "1200ms"
	first := newConfig("00000001", bookingRoutes(bookingService, timeout), bookingService, nextService)
	w, err := newWorld(ctx, rec, dir, first, upstreams)
	if err != nil {
		return false, err
	}
	runCtx, cancel := context.WithTimeout(ctx, namesRuntime)
	defer cancel()
	answers := newAnswerCounts()
	var wg sync.WaitGroup
	for _, g := range w.gateways {
		wg.Go(func() { bookRepeatedly(runCtx, rec, g, answers) })
	}
	time.Sleep(changeAfter)
	if troubled() {
		err = w.configure(newConfig("00000002", bookingRoutes(nextService, timeout), bookingService, nextService))
	}
	answers.change()
	wg.Wait()
	if err != nil {
		return false, err
	}
	return answers.judge(rec)
}

// answerCounts counts the answers by status: those to requests that were sent before the change,
// and those to requests that were sent later than configBound after it.
type answerCounts struct {
	mu            sync.Mutex
	changedAt     time.Time
	before, after map[int]int
}

func newAnswerCounts() *answerCounts {
	return &answerCounts{before: make(map[int]int), after: make(map[int]int)}
}

// change records that the configuration has changed.
func (a *answerCounts) change() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.changedAt = time.Now()
}

func (a *answerCounts) add(sentAt time.Time, status int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.changedAt.IsZero() || sentAt.Before(a.changedAt):
		a.before[status]++
	case sentAt.Sub(a.changedAt) > configBound:
		a.after[status]++
	}
}

func (a *answerCounts) judge(rec *record) (bool, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	rec.add("result", "answers before the change: %v; from %s after it: %v; 404 allowed: %d", a.before, configBound, a.after, allowedDenials)
	if a.before[http.StatusOK] == 0 {
		return false, fmt.Errorf("%w: no booking was answered before the change: %v", errUnable, a.before)
	}
	return a.after[http.StatusNotFound] > allowedDenials, nil
}

// bookRepeatedly sends bookings through one gateway.
func bookRepeatedly(ctx context.Context, rec *record, g *gatewayProcess, answers *answerCounts) {
	client := newClient()
	for ctx.Err() == nil {
		sentAt := time.Now()
		answers.add(sentAt, bookOnce(ctx, rec, client, booking{gateway: g, path: usualPath, id: newID(""), deadline: "1200"}))
		time.Sleep(bookingInterval)
	}
}
