package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	healthPath     = "/health"
	maxConnections = 220
	// heartbeat is the interval at which an upstream writes its entry.
	heartbeat = 1500 * time.Millisecond
	// nominalWork is the fourth figure of a load report on a machine that is as fast as usual.
	nominalWork = 100
	// readBuffer is the receive buffer of an upstream, and segmentBytes the size of a TCP
	// segment as on Ethernet; the loopback interface alone would take far larger ones.
	readBuffer   = 64 << 10
	segmentBytes = 1400
)

// upstreamConfig configures a stand-in for an upstream.
type upstreamConfig struct {
	service string
	slots   int
	// queue is the number of requests that may wait for a slot; more are rejected.
	queue int
	work  time.Duration
	// tellsLoad is true if responses have Server-Load. Then the health path responds at once;
	// otherwise a health check needs a slot like any other request.
	tellsLoad bool
	// copied is the share of the responses of which the upstream, while it is spoiled, sends
	// a second copy where the response to the next request is expected.
	copied float64
	// early is the share of the long requests that the upstream, while it is spoiled, rejects
	// before they are in, and hung the share of the requests that it never answers.
	early, hung float64
	// answer, if set, sends the response to a request that has run.
	answer func(c *upstreamConn, r *http.Request) error
}

// upstream is one upstream. Its requests run concurrently up to the slots.
type upstream struct {
	upstreamConfig
	id   string
	born int64
	b    *bench
	ln   net.Listener
	runs *runs
	free chan struct{}
	stop chan struct{}
	// spoiled is true during the disruption.
	spoiled atomic.Bool

	mu      sync.Mutex
	waiting int
	running int
}

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	u  *upstream
	br *bufio.Reader
	// late is a second copy of a response that is yet to be sent.
	late []byte
}

// runs counts by Request-Id how often a request has run, and holds where.
type runs struct {
	mu   sync.Mutex
	byID map[string][]string
}

func newRuns() *runs {
	return &runs{byID: make(map[string][]string)}
}

// add records that an upstream has begun to run a request.
func (r *runs) add(id, at string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[id] = append(r.byID[id], at)
}

// of returns where a request has run.
func (r *runs) of(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.byID[id]...)
}

// startUpstream starts an upstream and registers it in the store.
func (b *bench) startUpstream(cfg upstreamConfig, runs *runs) (*upstream, error) {
	lc := net.ListenConfig{Control: limitSegments}
	ln, err := lc.Listen(context.Background(), "tcp", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		upstreamConfig: cfg, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), b: b, ln: ln, runs: runs,
		free: make(chan struct{}, cfg.slots), stop: make(chan struct{}),
	}
	go u.accept()
	go u.register(u.stop)
	b.closers = append(b.closers, func() {
		close(u.stop)
		_ = ln.Close()
	})
	return u, nil
}

// register writes the entry of the upstream at intervals.
func (u *upstream) register(stop chan struct{}) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for sequence := 1; ; sequence++ {
		u.b.store.put(kindServers, u.id, map[string]any{
			"address": u.ln.Addr().String(), "born": u.born,
			"info":   map[string]any{"service": u.service, "version": "v1", "zone": "zone-a", "slots": u.slots},
			"status": map[string]any{"state": "ready", "sequence": sequence, "slow-start_time": "0ms"},
		})
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (u *upstream) accept() {
	for {
		conn, err := u.ln.Accept()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(readBuffer)
		}
		go u.serve(&upstreamConn{Conn: conn, u: u, br: bufio.NewReader(conn)})
	}
}

// serve serves the requests on a connection, one at a time.
func (u *upstream) serve(c *upstreamConn) {
	defer func() { _ = c.Close() }()
	for {
		r, err := http.ReadRequest(c.br)
		if err != nil {
			return
		}
		if c.late != nil {
			first, _, _ := bytes.Cut(c.late, []byte("\r\n"))
			u.b.note("%s answers %s %s %s, and before that sends a second copy of its last response, %s", u.id, r.Method, r.URL.Path, r.Header.Get("Request-Id"), first)
			if _, err := c.Write(c.late); err != nil {
				return
			}
			c.late = nil
		}
		if err := u.handle(c, r); err != nil {
			return
		}
	}
}

// handle answers one request.
func (u *upstream) handle(c *upstreamConn, r *http.Request) error {
	health := r.URL.Path == healthPath
	if health && u.tellsLoad {
		return c.respond(http.StatusOK, nil, "Instance-Id", u.id)
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != u.id {
		return c.respond(http.StatusMisdirectedRequest, nil, "Instance-Id", u.id)
	}
	if r.ContentLength > longBody && u.struck(u.early) {
		return u.rejectEarly(c, r)
	}
	if !health && u.struck(u.hung) {
		u.b.note("%s reads no body of %s and never answers", u.id, r.Header.Get("Request-Id"))
		<-u.stop
		return net.ErrClosed
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return err
	}
	if !u.enter() {
		return c.respond(http.StatusServiceUnavailable, nil, "Not-Executed", "1")
	}
	u.free <- struct{}{}
	defer func() { <-u.free }()
	u.begin()
	defer u.end()
	if health {
		return c.respond(http.StatusOK, nil, "Instance-Id", u.id)
	}
	id := r.Header.Get("Request-Id")
	u.runs.add(id, u.id)
	time.Sleep(time.Duration(float64(u.work) * (0.5 + rand.Float64())))
	if u.answer != nil {
		return u.answer(c, r)
	}
	return c.respond(http.StatusOK, []byte("done\n"), "Request-Id", id, "Response-Signature", u.id+"."+id)
}

// struck reports whether a request belongs to a share of those during the disruption.
func (u *upstream) struck(share float64) bool {
	return share > 0 && u.spoiled.Load() && rand.Float64() < share
}

// limitSegments limits the size of the TCP segments of the connections to a listener.
func limitSegments(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segmentBytes)
	})
}

// rejectEarly rejects a request of which only a part has been read, and reads the rest.
func (u *upstream) rejectEarly(c *upstreamConn, r *http.Request) error {
	if err := c.respond(http.StatusServiceUnavailable, nil, "Not-Executed", "1"); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, r.Body)
	return err
}

// enter reports whether a request may wait for a slot.
func (u *upstream) enter() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.running+u.waiting >= u.slots+u.queue {
		return false
	}
	u.waiting++
	return true
}

func (u *upstream) begin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.waiting--
	u.running++
}

func (u *upstream) end() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
}

func (u *upstream) load() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d,%d", u.running, u.waiting, u.slots, nominalWork)
}

// respond sends a complete response with the given header fields.
func (c *upstreamConn) respond(status int, body []byte, fields ...string) error {
	var buf bytes.Buffer
	c.writeHeader(&buf, status, append(fields, "Content-Length", strconv.Itoa(len(body)))...)
	buf.Write(body)
	if c.u.spoiled.Load() && rand.Float64() < c.u.copied {
		c.late = bytes.Clone(buf.Bytes())
	}
	_, err := c.Write(buf.Bytes())
	return err
}

// writeHeader writes a status line and header fields.
func (c *upstreamConn) writeHeader(w io.Writer, status int, fields ...string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for i := 0; i < len(fields); i += 2 {
		_, _ = fmt.Fprintf(w, "%s: %s\r\n", fields[i], fields[i+1])
	}
	if c.u.tellsLoad {
		_, _ = fmt.Fprintf(w, "Server-Load: %s\r\n", c.u.load())
	}
	_, _ = io.WriteString(w, "\r\n")
}

// client sends requests to gateways as the users' clients do.
type client struct {
	http *http.Client
}

func newClient() *client {
	return &client{http: &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}}}
}

// call is one request of a client.
type call struct {
	gateway, method, host, path, id string
	body                            []byte
	deadline                        time.Duration
}

// send sends a request and returns the status of the complete response.
func (cl *client) send(c call) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.gateway+c.path, bytes.NewReader(c.body))
	if err != nil {
		return 0, err
	}
	r.Host, r.GetBody = c.host, nil
	r.Header.Set("Request-Id", c.id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	resp, err := cl.http.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// newID returns a new Request-Id.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// longBody is the size from which a body is long.
const longBody = 32 << 10

// dial opens a connection to a gateway.
func dial(address string) (net.Conn, error) {
	return (&net.Dialer{Timeout: time.Second}).DialContext(context.Background(), "tcp", address)
}
