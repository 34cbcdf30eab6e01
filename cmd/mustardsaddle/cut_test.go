package main_test

import (
	"bufio"
	"bytes"
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

// Framings of a response, as the value of the query parameter Framing.
const (
	framingLength = "Length"
	framingChunks = "Chunks"
	framingClose  = "Close"
)

// Parts of a response in which it breaks off, as the value of the query parameter Part.
const (
	partNone      = "None"
	partHead      = "Head"
	partBody      = "Body"
	partChunkSize = "ChunkSize"
	partLastChunk = "LastChunk"
	partTrailer   = "Trailer"
)

// Ways in which a response breaks off, as the value of the query parameter End.
const (
	endClose = "Close"
	endReset = "Reset"
	endHold  = "Hold"
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

// cuttingServer sends responses that break off as the query of the request states. It counts the
// requests by their ID.
type cuttingServer struct {
	net.Listener

	mu       sync.Mutex
	requests map[string]int
	// held is the number of responses that are held in the middle.
	held int
}

func newCuttingServer(t *testing.T) *cuttingServer {
	ln, err := net.Listen("tcp", freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	s := &cuttingServer{Listener: ln, requests: make(map[string]int)}
	t.Cleanup(func() { _ = ln.Close() })
	go s.accept()
	return s
}

func (s *cuttingServer) accept() {
	for {
		c, err := s.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

// serve serves the requests on a connection.
func (s *cuttingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		query := r.URL.Query()
		if !query.Has("Framing") {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			continue
		}
		s.add(query.Get("ID"), 0)
		_, _ = c.Write(responseUntil(query.Get("Framing"), query.Get("Part"), bodyOf(query.Get("ID"))))
		s.end(c, in, query.Get("End"))
		return
	}
}

// end ends the connection of a response that was sent as far as it goes.
func (s *cuttingServer) end(c net.Conn, in *bufio.Reader, end string) {
	switch end {
	case endReset:
		time.Sleep(flushTime)
		_ = c.(*net.TCPConn).SetLinger(0)
	case endHold:
		s.add("", 1)
		defer s.add("", -1)
		_, _ = in.ReadByte()
	}
}

// add counts a request, or n responses that are held if the ID is empty.
func (s *cuttingServer) add(id string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += n
	if id != "" {
		s.requests[id]++
	}
}

func (s *cuttingServer) received(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[id]
}

func (s *cuttingServer) heldResponses() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}

// bodyOf returns the body of the response to the request with an ID, whose first word is its
// size.
func bodyOf(id string) []byte {
	var size int
	_, _ = fmt.Sscanf(id, "%d", &size)
	return bytes.Repeat([]byte("v"), size)
}

// responseUntil returns a response up to the middle of the given part.
func responseUntil(framing, part string, body []byte) []byte {
	var b bytes.Buffer
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n")
	switch framing {
	case framingLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	case framingChunks:
		b.WriteString("Transfer-Encoding: chunked\r\nTrailer: Checksum\r\n")
	}
	if part == partHead {
		return b.Bytes()
	}
	b.WriteString("\r\n")
	if framing != framingChunks {
		if part == partBody {
			body = body[:len(body)/2]
		}
		b.Write(body)
		return b.Bytes()
	}
	writeChunks(&b, part, body)
	return b.Bytes()
}

// writeChunks writes a body in chunks up to the middle of the given part.
func writeChunks(b *bytes.Buffer, part string, body []byte) {
	for at := 0; at < len(body); at += chunkBytes {
		middle := at >= len(body)/2
		fmt.Fprintf(b, "%x", chunkBytes)
		if middle && part == partChunkSize {
			return
		}
		b.WriteString("\r\n")
		if middle && part == partBody {
			b.Write(body[at : at+chunkBytes/2])
			return
		}
		b.Write(body[at : at+chunkBytes])
		b.WriteString("\r\n")
	}
	b.WriteString("0\r\n")
	if part == partLastChunk {
		return
	}
	b.WriteString("Checksum: 1")
	if part == partTrailer {
		return
	}
	b.WriteString("\r\n\r\n")
}

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
func (s *cutSystem) startNext() *gateway {
	g := s.addGateway(len(s.gateways))
	s.startGateway(g)
	s.waitFor("gateway "+g.name+" to serve calls", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
	return g
}

// setSourceAddress makes the address from which a gateway connects that of its peer address, as
// on a machine of its own.
func (s *cutSystem) setSourceAddress(g *gateway) {
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
func (s *cutSystem) edit(g *gateway, from, to string) {
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
func (s *cutSystem) startForwarder() string {
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
