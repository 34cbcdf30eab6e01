package main_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/settings"
	"mustardsaddle.example/mustardsaddle/internal/product/instance"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

const (
	// smallBody fits into one buffer of a gateway, and largeBody doesn't.
	smallBody = 6 << 10
	largeBody = 300 << 10
	// chunkBytes is the size of a chunk.
	chunkBytes = 1 << 10
	// flushTime is how long what a server or a gateway has sent needs to arrive.
	flushTime = 200 * time.Millisecond
	// maxTries bounds how often a caller repeats a request that reached no server.
	maxTries = 50
)

// received is what a caller gets of a response.
type received struct {
	status int
	bytes  int
	err    error
}

// complete reports whether the response is a success that looks complete.
func (r received) complete() bool {
	return r.err == nil && r.status == http.StatusOK
}

// fetchStream requests a response as a stream of HTTP/2 and reads it to its end.
func fetchStream(address, query string) received {
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: waitTimeout}
	resp, err := client.Get("http://" + address + "/plans?" + query)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, bytes: len(body), err: err}
}

// fetch requests a response over a connection of its own and reads it to its end.
func fetch(address, protocol, query string) received {
	if protocol == "2" {
		return fetchStream(address, query)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(c, "GET /plans?%s HTTP/%s\r\nHost: gateway\r\n\r\n", query, protocol); err != nil {
		return received{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return received{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, bytes: len(body), err: err}
}

// cutSystem is a system with one server that cuts its responses, and gateways before it.
type cutSystem struct {
	*system
	server *cuttingServer
}

// newCutSystem starts a system without gateways.
func newCutSystem(t *testing.T) *cutSystem {
	s := &cutSystem{system: newSystem(t, 0, 0), server: newCuttingServer(t)}
	s.grace = 2 * time.Second
	s.listMachine(mustardsaddle.Machine{
		Name: "booking-00", Incarnation: 1, Zone: "zone-a", Service: "Booking", Slots: 64, Connections: 1000,
		Address: s.server.Addr().String(),
	})
	s.submitRules("# Generation 0\nPath=/* Service=Booking Deadline=10s # Ana: plans and videos\n")
	return s
}

// startNext starts one more gateway.
func (s *system) startNext() *gateway {
	g := s.addGateway(len(s.gateways))
	s.startGateway(g)
	s.waitFor("gateway "+g.name+" to serve calls", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
	return g
}

// setSourceAddress makes the address from which a gateway connects that of its peer address, as
// on a machine of its own.
func (s *system) setSourceAddress(g *gateway) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	_ = ln.Close()
	s.edit(g, g.machine.Address, ln.Addr().String())
	s.edit(g, "PeerListen = ", "; ")
	g.machine.Address = ln.Addr().String()
	s.listMachine(g.machine)
}

// edit replaces a text in the settings of a gateway.
func (s *system) edit(g *gateway, from, to string) {
	text, err := os.ReadFile(g.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(g.settings, []byte(strings.Replace(string(text), from, to, 1)), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// startForwarder starts a gateway in this process that reaches no server, and so forwards its
// calls. It returns its address for callers.
func (s *system) startForwarder() string {
	g := s.addGateway(len(s.gateways))
	s.setSourceAddress(g)
	cfg, problems := settings.Load(g.settings)
	if len(problems) > 0 {
		s.t.Fatal(problems)
	}
	dialer := relay.NewDialer()
	dialer.SetCut(relay.ResetAndRefuse)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		ended <- instance.Run(ctx, instance.Config{Settings: cfg, Logger: zerolog.Nop(), DialServer: dialer.DialContext})
	}()
	s.t.Cleanup(func() {
		stop()
		if err := <-ended; err != nil {
			s.t.Errorf("gateway %s ended: %v", g.name, err)
		}
	})
	s.waitFor("calls through another gateway", func() bool { return get(g.url + "/rosters").ok() })
	return strings.TrimPrefix(g.url, "http://")
}

// cutCase is a response that breaks off, and whether it is complete for its caller all the same.
type cutCase struct {
	framing, part, end string
	complete           bool
}

// brokenByServer returns the cases in which the server ends the response, for each framing, and
// those in which it is whole.
func brokenByServer() []cutCase {
	var cases []cutCase
	for _, framing := range []string{framingLength, framingChunks, framingClose} {
		cases = append(cases, cutCase{framing, partNone, endClose, true})
		for _, end := range []string{endClose, endReset} {
			for _, part := range []string{partHead, partBody, partChunkSize, partLastChunk, partTrailer} {
				if framing != framingChunks && part != partHead && part != partBody {
					continue
				}
				// Of a response without a length the close is the end.
				complete := framing == framingClose && part == partBody && end == endClose
				cases = append(cases, cutCase{framing, part, end, complete})
			}
		}
	}
	return cases
}

// held returns the cases in which the server holds the response in the middle of the body.
func held() []cutCase {
	return []cutCase{
		{framingLength, partBody, endHold, false},
		{framingChunks, partBody, endHold, false},
		{framingClose, partBody, endHold, false},
	}
}

// runEach requests each case through a gateway, one case after another, so that the failures of
// one do not stand in the way of the next.
func (s *cutSystem) runEach(t *testing.T, address string, cases []cutCase) {
	t.Helper()
	for _, c := range cases {
		s.waitFor("calls to be served", func() bool { return get("http://" + address + "/rosters").ok() })
		var wg sync.WaitGroup
		s.start(t, &wg, address, c)
		wg.Wait()
	}
}

// runHeld requests all cases through a gateway at once, and calls cut when the responses are
// held.
func (s *cutSystem) runHeld(t *testing.T, address string, cut func()) {
	t.Helper()
	s.waitFor("calls to be served", func() bool { return get("http://" + address + "/rosters").ok() })
	var wg sync.WaitGroup
	n := 0
	for _, c := range held() {
		n += s.start(t, &wg, address, c)
	}
	s.waitFor("all responses to be held", func() bool { return s.server.heldResponses() == n })
	time.Sleep(flushTime)
	cut()
	wg.Wait()
}

// start requests a case over each protocol and with each size of the body. It returns the number
// of requests.
func (s *cutSystem) start(t *testing.T, wg *sync.WaitGroup, address string, c cutCase) int {
	n := 0
	for _, protocol := range []string{"1.0", "1.1", "2"} {
		for _, size := range []int{smallBody, largeBody} {
			n++
			id := fmt.Sprintf("%d-%s-%s-%s-%s-%s", size, t.Name(), protocol, c.framing, c.part, c.end)
			wg.Go(func() { s.check(t, address, protocol, strings.ReplaceAll(id, " ", "-"), c) })
		}
	}
	return n
}

// check requests a response until the server has sent it, and compares what the caller sees.
func (s *cutSystem) check(t *testing.T, address, protocol, id string, c cutCase) {
	query := fmt.Sprintf("Framing=%s&Part=%s&End=%s&ID=%s", c.framing, c.part, c.end, id)
	var got received
	for range maxTries {
		if got = fetch(address, protocol, query); s.server.received(id) > 0 {
			break
		}
		time.Sleep(flushTime)
	}
	whole := len(bodyOf(id))
	if c.part != partNone {
		whole /= 2
	}
	switch {
	case s.server.received(id) == 0:
		t.Errorf("%s: got no request at the server, want one", id)
	case c.complete && (!got.complete() || got.bytes != whole):
		t.Errorf("%s: got %+v, want a complete response of %d bytes", id, got, whole)
	case !c.complete && got.complete():
		t.Errorf("%s: got a complete response of %d bytes, want a failure or a visible cut", id, got.bytes)
	}
}

// TestCutResponseNeverLooksComplete guards against a response that is cut on its way looking
// complete to its caller, whoever cuts it: the server, the gateway or another one that it goes
// through, by a kill or at the end of the grace period.
func TestCutResponseNeverLooksComplete(t *testing.T) {
	s := newCutSystem(t)
	address := func(g *gateway) string { return strings.TrimPrefix(g.url, "http://") }
	g := s.startNext()
	forwarder := s.startForwarder()
	t.Run("server", func(t *testing.T) { s.runEach(t, address(g), brokenByServer()) })
	t.Run("server, through another gateway", func(t *testing.T) { s.runEach(t, forwarder, brokenByServer()) })
	rows := []struct {
		name    string
		forward bool
		signal  syscall.Signal
	}{
		{"kill of the gateway that it goes through", true, syscall.SIGKILL},
		{"stop of the gateway that it goes through", true, syscall.SIGTERM},
		{"kill of the gateway", false, syscall.SIGKILL},
		{"stop of the gateway", false, syscall.SIGTERM},
	}
	for i, r := range rows {
		if i > 0 {
			g = s.startNext()
		}
		t.Run(r.name, func(t *testing.T) {
			to := address(g)
			if r.forward {
				to = forwarder
			}
			s.runHeld(t, to, func() { g.signal(r.signal) })
		})
	}
}
