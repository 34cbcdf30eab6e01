package main_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

const (
	// bookingWork is how long a server works at a booking.
	bookingWork = 600 * time.Millisecond
	// signalGap is the time from the calls to the first signal, and from there to the next one.
	signalGap = 130 * time.Millisecond
	// signalGrace is the grace period of the gateways.
	signalGrace = 6 * time.Second
)

// caller sends bookings over a kept connection.
type caller struct {
	name, url string
	client    *http.Client
}

// newCallers returns callers of gateways over HTTP/1.1 and HTTP/2, whose connections are open.
func newCallers(urls ...string) []caller {
	var callers []caller
	for i, url := range urls {
		for _, version := range []string{http11, http2} {
			protocols := new(http.Protocols)
			protocols.SetHTTP1(version == http11)
			protocols.SetUnencryptedHTTP2(version == http2)
			c := caller{name: fmt.Sprintf("gateway %d over HTTP/%s", i+1, version), url: url, client: &http.Client{Transport: &http.Transport{Protocols: protocols}}}
			callers = append(callers, c)
		}
	}
	return callers
}

// open opens the connection with a call that may be repeated.
func (c caller) open() {
	_ = sendRequest(context.Background(), c.client, http.MethodGet, c.url+"/rosters", nil)
}

// book sends a booking that may not be repeated, with a body.
func (c caller) book() response {
	return sendRequest(context.Background(), c.client, http.MethodPost, c.url+"/bookings", strings.NewReader("lathe"))
}

// TestRepeatedSignalEndsNoCall guards against a signal that comes again, as of two rolls that
// overlap, ending the calls that a gateway has passed on: each is answered by its server, at
// gateways that get the signals at the same time, also if another gateway has forwarded it.
func TestRepeatedSignalEndsNoCall(t *testing.T) {
	s := newSystem(t, 8, 0, "--work", bookingWork.String())
	s.grace = signalGrace
	forwarder := ""
	for _, first := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		for _, second := range []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
			t.Run(fmt.Sprintf("%v, then %v", first, second), func(t *testing.T) {
				stopped := s.startTwo()
				if forwarder == "" {
					forwarder = s.startForwarder()
				}
				callers := newCallers(stopped[0].url, stopped[1].url, "http://"+forwarder)
				var wg sync.WaitGroup
				for _, c := range callers {
					wg.Go(c.open)
				}
				wg.Wait()
				for _, c := range callers {
					wg.Go(func() {
						if resp := c.book(); !resp.ok() {
							t.Errorf("%s: got %v, want the answer of the server", c.name, resp)
						}
					})
				}
				for _, signal := range []syscall.Signal{first, second, second} {
					time.Sleep(signalGap)
					for _, g := range stopped {
						g.signal(signal)
					}
				}
				wg.Wait()
				for _, g := range stopped {
					endGateway(t, g, first != syscall.SIGHUP || second != syscall.SIGHUP)
				}
			})
		}
	}
}

// startTwo starts two more gateways at the same time.
func (s *system) startTwo() []*gateway {
	two := []*gateway{s.addGateway(len(s.gateways)), s.addGateway(len(s.gateways) + 1)}
	for _, g := range two {
		s.startGateway(g)
	}
	for _, g := range two {
		s.waitFor("gateway "+g.name+" to serve calls", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
	}
	return two
}

// endGateway waits for a gateway that stops to exit without error, within its grace period. It asks
// for the stop if no signal has.
func endGateway(t *testing.T, g *gateway, stops bool) {
	t.Helper()
	if !stops {
		g.signal(syscall.SIGTERM)
	}
	if err := g.waitExit(signalGrace); err != nil {
		t.Errorf("%s exited with %v, want no error", g.name, err)
	}
	if line, ok := g.lastEvent("StopEnded"); !ok || line["Cut"] != 0.0 {
		t.Errorf("%s: got the last log line %v, want one that says that no call was cut", g.name, line)
	}
}

// TestSignalsDuringStart guards against signals ending a gateway that has started and is not ready
// yet in another way than by a stop.
func TestSignalsDuringStart(t *testing.T) {
	s := newSystem(t, 1, 0)
	s.setPlatformFault(platform.Fault{Down: true})
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGTERM}, {syscall.SIGINT, syscall.SIGTERM}, {syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP},
	} {
		g := s.addGateway(len(s.gateways))
		s.startGateway(g)
		s.waitFor("the gateway to start", func() bool { _, ok := g.lastEvent("Started"); return ok })
		for _, signal := range signals {
			g.signal(signal)
		}
		if err := g.waitExit(stopTimeout); err != nil {
			t.Errorf("%v: exited with %v, want no error", signals, err)
		}
	}
}
