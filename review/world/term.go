package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// termBookings is the number of bookings in progress at a gateway that is stopped.
	termBookings = 6
	// termWork is how long an upstream works at a booking.
	termWork = 1500 * time.Millisecond
	// termAfter is the time from the bookings to SIGTERM, and termAgain from there to the next
	// SIGTERM.
	termAfter = 300 * time.Millisecond
	termAgain = 400 * time.Millisecond
)

// bookSlowly answers a booking after termWork, unless the connection ends before.
func bookSlowly(u *upstream, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	select {
	case <-r.Context().Done():
		u.record.add("dropped", "request=%s upstream=%s", id, u.id)
		return
	case <-time.After(termWork):
	}
	u.record.add("done", "request=%s upstream=%s", id, u.id)
	_, _ = io.WriteString(w, "booked")
}

// runTerm stops each gateway while bookings run.
func runTerm(ctx context.Context, rec *record, dir *os.Root) (bool, error) {
	var upstreams []*upstream
	for range 8 {
		upstreams = append(upstreams, &upstream{id: newID("i-"), service: bookingService, slots: 2, work: bookSlowly})
	}
	w, err := newWorld(ctx, rec, dir, newConfig("00000001", bookingRoutes(bookingService, "4000ms"), bookingService), upstreams)
	if err != nil {
		return false, err
	}
	lost, answered := 0, 0
	for _, g := range w.gateways {
		ends, err := bookAndStop(ctx, w, g)
		if err != nil {
			return false, err
		}
		for id := range rec.upstreamsOf() {
			status, sent := ends[id]
			switch {
			case sent && status == http.StatusOK:
				answered++
			case sent:
				lost++
				rec.add("lost", "request=%s status=%d", id, status)
			}
		}
	}
	rec.add("result", "bookings that ran: %d answered by their upstream, %d broken off", answered, lost)
	if answered+lost == 0 {
		return false, fmt.Errorf("%w: no booking ran", errUnable)
	}
	return lost > 0, nil
}

// bookAndStop sends bookings to a gateway, stops it while they run, and waits until it is started
// again. It returns the statuses of the answers, 0 for none.
func bookAndStop(ctx context.Context, w *world, g *gatewayProcess) (map[string]int, error) {
	pid, err := g.pid(w.dir)
	if err != nil {
		return nil, err
	}
	ends := make(map[string]int)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range termBookings {
		wg.Go(func() {
			id := newID("")
			status := bookOnce(ctx, w.record, newClient(), booking{gateway: g, path: usualPath, id: id, deadline: "4000"})
			mu.Lock()
			defer mu.Unlock()
			ends[id] = status
		})
	}
	time.Sleep(termAfter)
	err = w.terminate(g, pid)
	if err == nil && troubled() {
		time.Sleep(termAgain)
		err = w.terminate(g, pid)
	}
	wg.Wait()
	if err != nil {
		return nil, err
	}
	return ends, w.waitRestarted(ctx, g, pid)
}
