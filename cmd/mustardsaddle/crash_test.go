package main_test

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/request/header"
)

const (
	// maxEndedServers is the number of servers that a request may end in the whole fleet.
	maxEndedServers = 4
	// crashRestart is the time after which a server that has ended is started again.
	crashRestart = 500 * time.Millisecond
)

// resultCut is the result of a call whose response was cut.
const resultCut = "Cut"

// restarter starts servers again that have ended by themselves, and counts them.
type restarter struct {
	s      *system
	ended  atomic.Int64
	stop   chan struct{}
	wg     sync.WaitGroup
	update sync.Mutex
}

func newRestarter(s *system) *restarter {
	r := &restarter{s: s, stop: make(chan struct{})}
	for _, e := range s.servers {
		r.wg.Go(func() { r.watch(e) })
	}
	return r
}

// watch starts a server again whenever it has ended.
func (r *restarter) watch(e *endpoint) {
	for {
		select {
		case <-e.exited:
		case <-r.stop:
			return
		}
		r.ended.Add(1)
		time.Sleep(crashRestart)
		r.s.startServer(e)
		e.machine.Incarnation++
		r.update.Lock()
		r.s.listMachine(e.machine)
		r.update.Unlock()
	}
}

func (r *restarter) close() {
	close(r.stop)
	r.wg.Wait()
}

// callerLoop sends a request to the gateways in turn until stopped, and counts the responses
// by result code, and those of servers as "".
type callerLoop struct {
	client http.Client
	stop   chan struct{}
	ended  chan struct{}

	mu    sync.Mutex
	codes map[string]int
}

func newCallerLoop(s *system, method, path, body string, interval time.Duration) *callerLoop {
	c := &callerLoop{stop: make(chan struct{}), ended: make(chan struct{}), codes: make(map[string]int)}
	c.client.Timeout = waitTimeout
	go func() {
		defer close(c.ended)
		for i := 0; ; i++ {
			select {
			case <-c.stop:
				return
			case <-time.After(interval):
			}
			c.send(method, s.gateways[i%len(s.gateways)].url+path, body)
		}
	}()
	return c
}

// send sends the request once.
func (c *callerLoop) send(method, url, body string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	result := resp.Header.Get(header.Code)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		result = resultCut
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.codes[result]++
}

// close ends the loop and returns the counts.
func (c *callerLoop) close() map[string]int {
	close(c.stop)
	<-c.ended
	return c.codes
}

// TestFatalRequestsEndFewProcesses guards against requests that end server processes ending
// one after another, also while gateways are killed and paused and a server is killed without
// cause, and against others' requests being refused instead.
func TestFatalRequestsEndFewProcesses(t *testing.T) {
	const (
		interval = 150 * time.Millisecond
		observed = 4 * time.Second
		pause    = time.Second
	)
	s := newSystem(t, 12, 5)
	r := newRestarter(s)
	others := newCallerLoop(s, http.MethodGet, "/rosters", "", 10*time.Millisecond)
	fatal := []*callerLoop{
		newCallerLoop(s, http.MethodGet, "/rosters?Crash=Reset", "", interval),
		newCallerLoop(s, http.MethodPost, "/bookings?Crash=Reset", "Lathe=2", interval),
		newCallerLoop(s, http.MethodGet, "/videos?Crash=Part", "", interval),
	}
	time.Sleep(observed)
	killed, paused := s.gateways[0], s.gateways[1]
	killed.signal(syscall.SIGKILL)
	<-killed.exited
	s.startGateway(killed)
	s.waitFor("the gateway to be ready again", killed.ready)
	paused.signal(syscall.SIGSTOP)
	time.Sleep(pause)
	paused.signal(syscall.SIGCONT)
	s.servers[0].signal(syscall.SIGKILL)
	time.Sleep(observed)
	for i, c := range fatal {
		if codes := c.close(); codes["4016"] == 0 || codes[""] > 0 {
			t.Errorf("fatal request %d: got responses by code %v, want some with 4016 and none of servers", i, codes)
		}
	}
	if codes := others.close(); codes["4016"] > 0 || codes[""] < 100 {
		t.Errorf("other requests: got responses by code %v, want none with 4016 and at least 100 of servers", codes)
	}
	r.close()
	if n, limit := r.ended.Load(), int64(maxEndedServers*len(fatal)+1); n > limit {
		t.Errorf("got %d servers that ended, want at most %d", n, limit)
	}
}
