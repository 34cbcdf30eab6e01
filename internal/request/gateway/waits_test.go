package gateway_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/buffer"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

const (
	// waitDeadline is the deadline of the rules, and waitSlack the time after it at which a
	// caller has the end of its response.
	waitDeadline = 400 * time.Millisecond
	waitSlack    = 500 * time.Millisecond
	// cutOff is in place of a status if the caller's response was cut visibly.
	cutOff = -1
)

var waitRules = fmt.Sprintf(`Path=/claim Method=POST Service=Booking Deadline=%[1]v Repeat=Claim # Tan: orders
Path=/* Service=Booking Deadline=%[1]v Repeat=Yes # Ana: the rest
`, waitDeadline)

// Requests of callers.
const (
	plainRequest    = "GET /rosters HTTP/1.1\r\nHost: gateway\r\n\r\n"
	oldRequest      = "GET /rosters HTTP/1.0\r\nHost: gateway\r\n\r\n"
	stalledShort    = "POST /rosters HTTP/1.1\r\nHost: gateway\r\nContent-Length: 4096\r\n\r\nbegin"
	stalledChunks   = "POST /rosters HTTP/1.1\r\nHost: gateway\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"
	claimedRequest  = "POST /claim HTTP/1.1\r\nHost: gateway\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
	unendedRequest  = "GET /rosters HTTP/1.1\r\nHost: gat"
	uploadBegin     = "POST /rosters HTTP/1.1\r\nHost: gateway\r\nContent-Length: 16777216\r\n\r\n"
	etagLength      = "HTTP/1.1 200 OK\r\nEtag: \"v1\"\r\nContent-Length: 100000\r\n\r\n"
	stalledDownload = "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
	beginOfChunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"
)

// part is the part of a response body that comes before the body stands.
var part = strings.Repeat("x", 50000)

// waitCase is a wait of a caller, with the name that it has in docs/SPEC.md.
type waitCase struct {
	name string
	// server, if not empty, is what the server sends in response to a request before it stands.
	server string
	// serve, if not nil, serves a connection in place of that.
	serve func(c net.Conn)
	cfg   gateway.Config
	// servers is the number of servers; 0 means one.
	servers int
	// prepare, if set, is called before the request is sent.
	prepare func(t *testing.T, front *httptest.Server, g *gateway.Gateway)
	// send is what the caller sends, and upload the number of bytes that follow.
	send   string
	upload int
	// want are the statuses that the caller may get.
	want []int
}

// stand sends a response to each request, and nothing more until the connection is closed.
func stand(response string) func(c net.Conn) {
	return func(c net.Conn) {
		in := bufio.NewReader(c)
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		_, _ = io.WriteString(c, response)
		_, _ = io.Copy(io.Discard, in)
	}
}

// hang dials no server until the context ends.
func hang(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// slowClaims is a store of claims that does not respond to the named operation.
type slowClaims struct{ acquires bool }

func (s slowClaims) Acquire(ctx context.Context, _, key, _ string) (mustardsaddle.Claim, bool, error) {
	if s.acquires {
		return mustardsaddle.Claim{Key: key}, true, nil
	}
	<-ctx.Done()
	return mustardsaddle.Claim{}, false, ctx.Err()
}

func (s slowClaims) RecordOutcome(ctx context.Context, _ mustardsaddle.Claim) error {
	<-ctx.Done()
	return ctx.Err()
}

// suspectChunks makes the requests with stalledChunks suspect, whatever their body.
func suspectChunks(t *testing.T, _ *httptest.Server, g *gateway.Gateway) {
	t.Helper()
	recordCrashes(g, httptest.NewRequest(http.MethodPost, "/rosters", http.NoBody), sentBody{call: "x"}, 1)
}

// suspectRunning makes plainRequest suspect, and sends it once.
func suspectRunning(t *testing.T, front *httptest.Server, g *gateway.Gateway) {
	t.Helper()
	recordCrashes(g, httptest.NewRequest(http.MethodGet, "/rosters", http.NoBody), sentBody{call: "x"}, 1)
	occupy(t, front, g)
}

// occupy sends plainRequest, and waits until it is in flight.
func occupy(t *testing.T, front *httptest.Server, g *gateway.Gateway) {
	t.Helper()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, plainRequest)
	for g.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond) // until the request is at its server
}

// slow103 sends informational responses without end.
func slow103(c net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	for {
		if _, err := io.WriteString(c, "HTTP/1.1 103 Early Hints\r\n\r\n"); err != nil {
			return
		}
		time.Sleep(waitDeadline / 5)
	}
}

// waitCases returns the list of waits.
func waitCases() []waitCase {
	surveyed := gateway.Config{Admission: admission.Options{
		MaxLoadQueries: 4, LoadQueriesPerServer: 1000, Budget: unlimited{},
		NewChooser: func(string) mustardsaddle.Chooser { return survey.New(survey.Config{}) },
	}}
	full := gateway.Config{Buffers: buffer.New(4)}
	gone := []int{http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout}
	late, cut := []int{http.StatusGatewayTimeout}, []int{cutOff}
	return []waitCase{
		{name: "request header", send: unendedRequest, want: []int{http.StatusRequestTimeout, cutOff}},
		{name: "kept request body", send: stalledShort, want: gone},
		{name: "claim", send: claimedRequest, cfg: gateway.Config{Claims: slowClaims{}}, want: gone},
		{name: "body of a suspect request", send: stalledChunks, prepare: suspectChunks, want: gone},
		{name: "run of a suspect request", send: plainRequest, prepare: suspectRunning, want: gone},
		{name: "load query", send: plainRequest, cfg: surveyed, want: gone},
		{name: "queue", send: plainRequest, prepare: occupy, want: append(gone, http.StatusTooManyRequests)},
		{name: "connection", send: plainRequest, cfg: gateway.Config{DialServer: hang}, want: gone},
		{name: "sending", send: uploadBegin, upload: 16 << 20, serve: func(net.Conn) { time.Sleep(2 * (waitDeadline + waitSlack)) }, want: late},
		{name: "streamed request body", send: stalledChunks, want: late},
		{name: "informational response", send: plainRequest, serve: slow103, want: late},
		{name: "response header", send: plainRequest, want: late},
		{name: "end of a server", send: stalledChunks, serve: func(net.Conn) {}, want: gone},
		{name: "short response body", send: plainRequest, server: "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbegin", want: late},
		{name: "response to HTTP/1.0", send: oldRequest, server: beginOfChunks, want: late},
		{name: "memory for a response to HTTP/1.0", send: oldRequest, cfg: full, server: "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat("x", 64<<10), want: append(gone, cutOff)},
		{name: "begin of a response body", send: plainRequest, server: stalledDownload, want: late},
		{name: "response body", send: plainRequest, server: stalledDownload + part, want: cut},
		{name: "response body in chunks", send: plainRequest, server: beginOfChunks, want: cut},
		{name: "response body until the close", send: plainRequest, server: "HTTP/1.1 200 OK\r\n\r\nbegin", want: cut},
		{name: "trailer", send: plainRequest, server: beginOfChunks + "0\r\nX: y\r\n", want: cut},
		{name: "rest of a download", send: plainRequest, servers: 3, server: etagLength + part, want: cut},
		{name: "response before the end of its request", send: stalledChunks, server: beginOfChunks, want: cut},
		{name: "record of a claim", send: claimedRequest, cfg: gateway.Config{Claims: slowClaims{acquires: true}}, server: beginOfChunks + "0\r\n\r\n", want: []int{http.StatusOK}},
		{name: "rest of a request body", send: stalledChunks, server: beginOfChunks + "0\r\n\r\n", want: []int{http.StatusOK}},
	}
}

// TestEachWaitEndsByTheDeadlineOfItsRule guards against a caller that waits without a bound of its own
// route. Its rows are the waits that docs/SPEC.md lists.
func TestEachWaitEndsByTheDeadlineOfItsRule(t *testing.T) {
	cases := waitCases()
	through := map[string]string{"call through another gateway": "", "response through another gateway": stalledDownload + part}
	names := slices.Collect(maps.Keys(through))
	for _, w := range cases {
		names = append(names, w.name)
		t.Run(w.name, func(t *testing.T) {
			t.Parallel()
			w.play(t)
		})
	}
	for name, server := range through {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fleet := newFleet(t, 2, gateway.Config{}, newConnServer(t, stand(server)))
			for _, g := range fleet {
				g.SetRules(compileRules(t, waitRules))
			}
			fleet[0].dialer.SetCut(relay.ResetAndRefuse)
			checkWait(t, fleet[0].front, plainRequest, 0, []int{http.StatusGatewayTimeout, cutOff})
		})
	}
	slices.Sort(names)
	if listed := listedWaits(t); !slices.Equal(names, listed) {
		t.Errorf("docs/SPEC.md: got waits %q, want %q", listed, names)
	}
}

// play sends the request and checks when the caller has the end of its response.
func (w waitCase) play(t *testing.T) {
	var servers []mustardsaddle.Server
	for range max(w.servers, 1) {
		serve := w.serve
		if serve == nil {
			serve = stand(w.server)
		}
		var address string
		if w.name == "end of a server" {
			address = newEndingServer(t)
		} else {
			address = newConnServer(t, serve)
		}
		servers = append(servers, mustardsaddle.Server{Name: address, Address: address, Service: "Booking", Slots: 1, Connections: 200})
	}
	g, front := newWaitGateway(t, w.cfg, servers)
	if w.prepare != nil {
		w.prepare(t, front, g)
	}
	checkWait(t, front, w.send, w.upload, w.want)
}

// newEndingServer returns the address of a server that ends once a part of a request has arrived.
func newEndingServer(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = c.Read(make([]byte, 1<<10))
		_, _ = ln.Close(), c.Close()
	}()
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// newWaitGateway returns a gateway whose rules state waitDeadline.
func newWaitGateway(t *testing.T, cfg gateway.Config, servers []mustardsaddle.Server) (*gateway.Gateway, *httptest.Server) {
	t.Helper()
	cfg.Name = "gateway-1"
	g := gateway.New(cfg)
	g.SetRules(compileRules(t, waitRules))
	g.SetServers(time.Now(), "Booking", servers)
	front := httptest.NewUnstartedServer(g)
	front.Config = gateway.NewServer(gateway.ServerConfig{Handler: g, HeaderTimeout: waitDeadline})
	front.Listener = g.Listener(front.Listener)
	front.Start()
	t.Cleanup(func() { front.CloseClientConnections(); front.Close(); g.Close() })
	return g, front
}

// checkWait sends a request and as many bytes of its body as upload, and checks the response, and when
// it ends.
func checkWait(t *testing.T, front *httptest.Server, send string, upload int, want []int) {
	t.Helper()
	c, err := net.Dial("tcp", front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	begun := time.Now()
	go func() {
		_, _ = io.WriteString(c, send)
		_, _ = c.Write(make([]byte, upload))
	}()
	got := cutOff
	resp, err := readFinal(bufio.NewReader(c))
	if err == nil {
		if _, err = io.Copy(io.Discard, resp.Body); err == nil {
			got = resp.StatusCode
		}
		_ = resp.Body.Close()
	}
	took := time.Since(begun)
	if err != nil && errors.Is(err, os.ErrDeadlineExceeded) || took > waitDeadline+waitSlack {
		t.Errorf("got the end of the response after %s, error %v, want at most %s", took, err, waitDeadline+waitSlack)
	}
	if !slices.Contains(want, got) {
		t.Errorf("got status %d (%d: cut) after %s, error %v, want one of %v", got, cutOff, took, err, want)
	}
}

// readFinal reads the header of a response that is not informational.
func readFinal(in *bufio.Reader) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(in, nil)
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// listedWaits returns the names of the waits in docs/SPEC.md.
func listedWaits(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile("../../../docs/SPEC.md")
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "\n### Waits\n")
	section, _, _ = strings.Cut(section, "\n#")
	var names []string
	for _, line := range strings.Split(section, "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 2 {
			names = append(names, strings.TrimSpace(cells[1]))
		}
	}
	if len(names) < 2 {
		t.Fatal("docs/SPEC.md has no table of waits")
	}
	names = names[2:] // after the head
	slices.Sort(names)
	return names
}

// TestStandingResponseEndsOverEachProtocol guards against a response that stands having no end for callers of
// one protocol, or of a gateway that forwards their calls.
func TestStandingResponseEndsOverEachProtocol(t *testing.T) {
	responses := map[string]string{
		"no header": "", "header": stalledDownload, "short": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nbegin", "length": stalledDownload + part,
		"chunks": beginOfChunks, "close": "HTTP/1.1 200 OK\r\n\r\n" + part, "trailer": beginOfChunks + "0\r\nX: y\r\n", "strong etag": etagLength + part,
	}
	callers := map[string]func(t *testing.T, front *httptest.Server, through bool){
		"HTTP/1.0": func(t *testing.T, front *httptest.Server, through bool) {
			want := []int{http.StatusGatewayTimeout, cutOff}
			if through { // the other gateway has less time, and cuts the response that this one keeps
				want = append(want, http.StatusBadGateway)
			}
			checkWait(t, front, oldRequest, 0, want)
		},
		"HTTP/1.1": func(t *testing.T, front *httptest.Server, _ bool) {
			checkWait(t, front, plainRequest, 0, []int{http.StatusGatewayTimeout, cutOff})
		},
		"HTTP/2": func(t *testing.T, front *httptest.Server, _ bool) { checkWaitHTTP2(t, front) },
	}
	for name, response := range responses {
		for protocol, check := range callers {
			for _, through := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, through another gateway %v", name, protocol, through), func(t *testing.T) {
					t.Parallel()
					fleet := newFleet(t, 2, gateway.Config{}, newConnServer(t, stand(response)))
					for _, g := range fleet {
						g.SetRules(compileRules(t, waitRules))
					}
					if through {
						fleet[0].dialer.SetCut(relay.ResetAndRefuse)
					}
					check(t, fleet[0].front, through)
				})
			}
		}
	}
}

// checkWaitHTTP2 sends a request over HTTP/2, and checks that it ends in time and is not answered with success.
func checkWaitHTTP2(t *testing.T, front *httptest.Server) {
	t.Helper()
	client := &http.Transport{Protocols: new(http.Protocols)}
	client.Protocols.SetUnencryptedHTTP2(true)
	defer client.CloseIdleConnections()
	r, err := http.NewRequest(http.MethodGet, front.URL+"/rosters", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	resp, err := client.RoundTrip(r)
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if took := time.Since(begun); took > waitDeadline+waitSlack || err == nil && status != http.StatusGatewayTimeout {
		t.Errorf("got status %d and error %v after %s, want 504 or a cut within %s", status, err, took, waitDeadline+waitSlack)
	}
}
