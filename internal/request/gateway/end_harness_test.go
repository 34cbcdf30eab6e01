package gateway_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/request/header"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

const (
	// endDeadline is the deadline of the rules, and endPatience how long a caller waits for what
	// it expects.
	endDeadline = 400 * time.Millisecond
	endPatience = 20 * time.Second
	// keptOpen, closedOrderly and closedByReset are what a caller sees in place of a response.
	keptOpen      = "open"
	closedOrderly = "closed"
	closedByReset = "reset"
	// The IDs of the request under test, and of those before and behind it on its connection.
	endID, beforeID, behindID = "ends", "before", "behind"
)

var endRules = fmt.Sprintf("Path=/* Service=Booking Deadline=%v Attempts=1 # Ana: all\n", endDeadline)

// endRequest returns the text of a request. Extra is further fields, each with its line end, and the body.
func endRequest(line, id, extra string) string {
	if !strings.Contains(extra, "\r\n\r\n") {
		extra += "\r\n"
	}
	return line + "\r\nHost: gateway\r\nRequest-Id: " + id + "\r\n" + extra
}

// endServer is an endpoint server that records the IDs of its requests. It serves those of the request
// under test with serve, which reports whether the connection stays open, and others with 200.
type endServer struct {
	address string
	serve   func(c net.Conn, r *http.Request) bool

	mu  sync.Mutex
	got map[string]int
}

func newEndServer(t testing.TB, serve func(c net.Conn, r *http.Request) bool) *endServer {
	s := &endServer{serve: serve, got: make(map[string]int)}
	s.address = newConnServer(t, s.serveConn)
	return s
}

func (s *endServer) serveConn(c net.Conn) {
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		s.mu.Lock()
		s.got[id]++
		s.mu.Unlock()
		if id == endID && s.serve != nil {
			if !s.serve(c, r) {
				return
			}
			continue
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, typedResponse)
	}
}

// requests returns how often a request has reached the server.
func (s *endServer) requests(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got[id]
}

// sends returns a function that reads a request, sends a response, and closes the connection.
func sends(response string) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, response)
		return false
	}
}

// answersLate responds after a pause.
func answersLate(c net.Conn, r *http.Request) bool {
	time.Sleep(answerPause)
	return answers(typedResponse)(c, r)
}

// answers is like sends, but keeps the connection for further requests.
func answers(response string) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		sends(response)(c, r)
		return true
	}
}

// sendsHintsAndNoBody reads a request, sends an informational response when its header has arrived, and one
// without a body at its end.
func sendsHintsAndNoBody(c net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n")
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
}

// standsAfter is like sends, but keeps the connection open without sending more.
func standsAfter(response string) func(c net.Conn, r *http.Request) bool {
	return func(c net.Conn, r *http.Request) bool {
		sends(response)(c, r)
		_, _ = io.Copy(io.Discard, c)
		return false
	}
}

// endLog is a log that is read while it is written.
type endLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *endLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// results returns the names of the events that end a call, of the lines with the ID of a request.
func (l *endLog) results(id string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var names []string
	for line := range bytes.Lines(l.buf.Bytes()) {
		var fields struct{ Name, Request string }
		if json.Unmarshal(line, &fields) != nil || fields.Request != id {
			continue
		}
		switch fields.Name {
		case "CallRefused", "CallEnded", "CallCut":
			names = append(names, fields.Name)
		}
	}
	return names
}

// count returns the number of lines of an event.
func (l *endLog) count(event string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Count(l.buf.Bytes(), []byte(`"Name":"`+event+`"`))
}

// waitResults waits until as many lines as wanted state the end of a call, and returns them.
func (l *endLog) waitResults(id string, want int) []string {
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		if got := l.results(id); len(got) >= want || time.Since(begun) > endPatience {
			return got
		}
	}
}

// endGateway is a gateway with one server.
type endGateway struct {
	*gateway.Gateway
	front  *httptest.Server
	server *endServer
	log    *endLog
	// through is true if another gateway carries the calls, and fleet are then both gateways.
	through bool
	fleet   []*fleetGateway
}

// breakPeers ends the connections between the gateways, and gives new ones a fault.
func (g *endGateway) breakPeers(t *testing.T, f fault) {
	t.Helper()
	proxy := newFaultProxy(t, g.fleet[1].peer.Listener.Addr().String(), func(int) fault { return f })
	setFleet(g.fleet, func(*fleetGateway) string { return proxy.Addr().String() })
	g.fleet[1].peer.CloseClientConnections()
}

// newEndGateway starts a gateway. With through it reaches the server only through another gateway.
func newEndGateway(t *testing.T, cfg gateway.Config, s *endServer, through bool) *endGateway {
	t.Helper()
	log := &endLog{}
	cfg.Logger = zerolog.New(log)
	if cfg.Headers == nil {
		cfg.Headers = &mustardsaddle.Headers{RequestID: "Request-Id", Load: report.Header, ParseLoad: report.Parse}
	}
	if through {
		fleet := newFleet(t, 2, cfg, s.address)
		for _, g := range fleet {
			g.SetRules(compileRules(t, endRules))
		}
		fleet[0].dialer.SetCut(relay.ResetAndRefuse)
		return &endGateway{Gateway: fleet[0].Gateway, front: fleet[0].front, server: s, log: log, through: true, fleet: fleet}
	}
	front, g := newGateway(t, cfg, s.address)
	g.SetRules(compileRules(t, endRules))
	return &endGateway{Gateway: g, front: front, server: s, log: log}
}

// endCaller is a caller's connection.
type endCaller struct {
	*net.TCPConn
	in *bufio.Reader
}

func (g *endGateway) dial(t testing.TB) *endCaller {
	t.Helper()
	c, err := net.Dial("tcp", g.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(endPatience))
	return &endCaller{TCPConn: c.(*net.TCPConn), in: bufio.NewReader(c)}
}

// send sends parts of requests.
func (c *endCaller) send(t testing.TB, parts ...string) {
	t.Helper()
	if _, err := io.WriteString(c, strings.Join(parts, "")); err != nil {
		t.Fatal(err)
	}
}

// next returns what the caller sees next: the status of a response with its code and its outcome if
// it has a code, "cut" and the status of one that is not complete, or how the connection ended.
func (c *endCaller) next() string {
	if _, err := c.in.Peek(1); err != nil {
		return connectionEnd(err)
	}
	resp, err := readFinal(c.in)
	if err != nil {
		return "cut in the header"
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return fmt.Sprintf("cut %d", resp.StatusCode)
	}
	return describeResponse(resp)
}

// describeResponse returns the status of a response, with its code and its outcome if it has a code.
func describeResponse(resp *http.Response) string {
	if c := resp.Header.Get(header.Code); c != "" {
		return fmt.Sprintf("%d %s %s", resp.StatusCode, c, resp.Header.Get(header.Outcome))
	}
	return fmt.Sprint(resp.StatusCode)
}

// connectionEnd returns how a connection ended on which a read failed.
func connectionEnd(err error) string {
	switch {
	case errors.Is(err, io.EOF):
		return closedOrderly
	case errors.Is(err, syscall.ECONNRESET):
		return closedByReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return keptOpen
	default:
		return err.Error()
	}
}
