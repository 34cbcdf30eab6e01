package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// crashPath is the path of the request that crashes the upstreams that run it.
	crashPath = bookingPrefix + "deadly"
	// crashTime is how long the request comes again, every crashInterval, after a first phase in
	// which it comes until crashLimit upstreams have ended.
	crashTime     = 19 * time.Second
	crashInterval = 400 * time.Millisecond
	// crashLimit is the number of upstreams after which the request may come to upstreams in
	// allowedRetries retries more.
	crashLimit     = 3
	allowedRetries = 3
	// stabilityWindow is the time after which a disruption no longer excuses a machine.
	stabilityWindow = 3 * time.Second
	// touchMargin is added to it before the request comes again.
	touchMargin = time.Second
	// rebornAfter is the time after which another upstream takes the place of one that has
	// crashed, and lapseAfter the time after which the entry of that one is removed.
	rebornAfter = 3 * time.Second
	lapseAfter  = 3 * heartbeatInterval
)

// crashes counts the upstreams that have crashed, and the retries of the request that reached
// an upstream.
type crashes struct {
	ctx context.Context
	w   *world

	mu      sync.Mutex
	ended   int
	thirdAt time.Time
	// touchAt is when the gateways are in touch again.
	touchAt time.Time
	retries map[string]bool
}

// bookOrCrash answers a booking after a short time, or crashes.
func (c *crashes) bookOrCrash(u *upstream, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != crashPath {
		book(u, w, r)
		return
	}
	c.arrive(r.Header.Get(requestIDHeader))
	time.Sleep(20 * time.Millisecond)
	c.end(u)
}

// arrive counts a request that has reached an upstream.
func (c *crashes) arrive(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	counted := !c.thirdAt.IsZero() && now.Sub(c.thirdAt) > stabilityWindow && now.After(c.touchAt)
	if counted {
		c.retries[id] = true
	}
	c.w.record.add("deadly", "request=%s counted=%t", id, counted)
}

// end ends an upstream, and starts another one in its place after some seconds.
func (c *crashes) end(u *upstream) {
	if !u.crash() {
		return
	}
	c.w.record.add("crashed", "upstream=%s", u.id)
	c.mu.Lock()
	c.ended++
	if c.ended == crashLimit {
		c.thirdAt = time.Now()
	}
	c.mu.Unlock()
	time.AfterFunc(lapseAfter, func() { c.w.store.remove("servers", u.id) })
	time.AfterFunc(rebornAfter, func() {
		next := &upstream{id: newID("i-"), service: u.service, slots: u.slots, work: u.work, record: u.record}
		if err := next.start(c.ctx); err == nil {
			c.w.record.add("started", "upstream=%s", next.id)
			go heartbeat(next.life, c.w.store, next, heartbeatInterval)
		}
	})
}

// runCrash kills all gateways at once after a request has crashed three upstreams.
func runCrash(ctx context.Context, rec *record, dir *os.Root) (bool, error) {
	c := &crashes{ctx: ctx, retries: make(map[string]bool)}
	var upstreams []*upstream
	for range 16 {
		upstreams = append(upstreams, &upstream{id: newID("i-"), service: bookingService, slots: 2, work: c.bookOrCrash})
	}
	c.w = &world{record: rec}
	w, err := newWorld(ctx, rec, dir, newConfig("00000001", bookingRoutes(bookingService, "1200ms"), bookingService), upstreams)
	if err != nil {
		return false, err
	}
	c.w = w
	callers, stop := context.WithCancel(ctx)
	defer stop()
	for _, g := range w.gateways {
		go bookRepeatedly(callers, rec, g, newAnswerCounts())
	}
	began := time.Now()
	for n := 0; c.count() < crashLimit; n++ {
		if time.Since(began) > crashTime {
			return false, fmt.Errorf("%w: the request has crashed %d upstreams, want %d", errUnable, c.count(), crashLimit)
		}
		c.send(ctx, n)
	}
	if troubled() {
		if err := c.killAll(ctx); err != nil {
			return false, err
		}
	}
	time.Sleep(stabilityWindow + touchMargin)
	for n := 0; time.Since(began) < crashTime; n++ {
		c.send(ctx, n)
	}
	return c.judge()
}

// count returns the number of upstreams that have crashed.
func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

// send sends the request through one gateway, and waits until the next one is due.
func (c *crashes) send(ctx context.Context, n int) {
	g := c.w.gateways[n%len(c.w.gateways)]
	bookOnce(ctx, c.w.record, newClient(), booking{gateway: g, path: crashPath, id: newID("deadly-"), deadline: "1200"})
	time.Sleep(crashInterval)
}

// killAll kills all gateways at the same moment, and waits until they have been started again.
func (c *crashes) killAll(ctx context.Context) error {
	pids := make([]int, len(c.w.gateways))
	for i, g := range c.w.gateways {
		pid, err := g.pid(c.w.dir)
		if err != nil {
			return err
		}
		pids[i] = pid
	}
	for i, g := range c.w.gateways {
		c.w.record.add("signal", "gateway=%s SIGKILL", g.name)
		if err := syscall.Kill(pids[i], syscall.SIGKILL); err != nil {
			return err
		}
	}
	for i, g := range c.w.gateways {
		if err := c.w.waitRestarted(ctx, g, pids[i]); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.touchAt = time.Now().Add(stabilityWindow)
	return nil
}

func (c *crashes) judge() (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.w.record.add("result", "upstreams that ended: %d; retries that reached upstreams later than %s after the third end, from gateways in touch: %d, allowed: %d",
		c.ended, stabilityWindow, len(c.retries), allowedRetries)
	return len(c.retries) > allowedRetries, nil
}

// crash ends the upstream: it accepts no connection any more, and those that it has are reset.
// It returns false if the upstream has ended before.
func (u *upstream) crash() bool {
	if errors.Is(u.life.Err(), context.Canceled) {
		return false
	}
	u.die()
	u.resetAll()
	return true
}

// book answers a booking after a short time.
func book(_ *upstream, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(20 * time.Millisecond)
	_, _ = io.WriteString(w, "booked")
}
