package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Headers of the users' platform.
const (
	requestIDHeader = "Request-Id"
	deadlineHeader  = "Deadline-Ms"
	instanceHeader  = "Target-Instance"
	signatureHeader = "Response-Signature"
	notRunHeader    = "Not-Executed"
	loadHeader      = "Server-Load"
	serverHeader    = "Instance-Id"
	healthPath      = "/health"
)

// upstreamQueue is the number of requests that wait in an upstream for one of its slots.
const upstreamQueue = 4

// work answers a request that an upstream runs.
type work func(u *upstream, w http.ResponseWriter, r *http.Request)

// upstream is a stand-in for an endpoint server.
type upstream struct {
	id, service, address string
	born                 time.Time
	slots                int
	record               *record
	work                 work
	running              chan struct{}
	waiting              chan struct{}
	// life ends with the upstream, and die ends it.
	life context.Context
	die  context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]*upstreamConn
}

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	// gateway is the name of the gateway that has sent a request on it.
	gateway string
	// runs is the number of requests that are running on it.
	runs int
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// upstreamEntry is the entry of an upstream in the store.
type upstreamEntry struct {
	Address string         `cbor:"address"`
	Born    int64          `cbor:"born"`
	Info    upstreamInfo   `cbor:"info"`
	Status  upstreamStatus `cbor:"status"`
}

// upstreamInfo says what an upstream is.
type upstreamInfo struct {
	Service string `cbor:"service"`
	Version string `cbor:"version"`
	Zone    string `cbor:"zone"`
	Slots   int    `cbor:"slots"`
}

// upstreamStatus says what state it is in.
type upstreamStatus struct {
	State     string `cbor:"state"`
	Sequence  int    `cbor:"sequence"`
	SlowStart string `cbor:"slow-start_time"`
}

// start starts the upstream on a free port.
func (u *upstream) start(ctx context.Context) error {
	u.born, u.conns = time.Now(), make(map[net.Conn]*upstreamConn)
	u.running = make(chan struct{}, u.slots)
	u.waiting = make(chan struct{}, u.slots+upstreamQueue)
	srv := &http.Server{
		Handler: u, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, u.track(c))
		},
		ConnState: func(c net.Conn, s http.ConnState) {
			if s == http.StateClosed {
				u.forget(c)
			}
		},
	}
	u.life, u.die = context.WithCancel(ctx)
	var err error
	u.address, err = serveHTTP(u.life, srv)
	return err
}

func (u *upstream) track(c net.Conn) *upstreamConn {
	u.mu.Lock()
	defer u.mu.Unlock()
	tracked := &upstreamConn{Conn: c}
	u.conns[c] = tracked
	return tracked
}

func (u *upstream) forget(c net.Conn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.conns, c)
}

// entry returns the upstream's entry in the store.
func (u *upstream) entry(sequence int) upstreamEntry {
	return upstreamEntry{
		Address: u.address, Born: u.born.UnixMilli(),
		Info:   upstreamInfo{Service: u.service, Version: "v1", Zone: zone, Slots: u.slots},
		Status: upstreamStatus{State: "ready", Sequence: sequence, SlowStart: "0ms"},
	}
}

// ServeHTTP serves a request of a gateway.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(loadHeader, fmt.Sprintf("%d,%d,%d", len(u.running), max(len(u.waiting)-len(u.running), 0), u.slots))
	if r.URL.Path == healthPath {
		w.Header().Set(serverHeader, u.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if wanted := r.Header.Get(instanceHeader); wanted != "" && wanted != u.id {
		w.Header().Set(serverHeader, u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	select {
	case u.waiting <- struct{}{}:
		defer func() { <-u.waiting }()
	default:
		u.shed(w, id)
		return
	}
	select {
	case u.running <- struct{}{}:
		defer func() { <-u.running }()
	case <-r.Context().Done():
		return
	}
	c, _ := r.Context().Value(connKey{}).(*upstreamConn)
	u.begin(c, r)
	defer u.end(c)
	u.record.addRun(id, u.id)
	u.record.add("run", "request=%s upstream=%s path=%s range=%q deadline=%q", id, u.id, r.URL.Path, r.Header.Get("Range"), r.Header.Get(deadlineHeader))
	w.Header().Set(signatureHeader, "sig-"+id)
	u.work(u, w, r)
}

// shed rejects a request that finds the queue full.
func (u *upstream) shed(w http.ResponseWriter, id string) {
	u.record.add("shed", "request=%s upstream=%s", id, u.id)
	w.Header().Set(notRunHeader, "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (u *upstream) begin(c *upstreamConn, r *http.Request) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.runs++
	c.gateway = gatewayOf(r)
}

func (u *upstream) end(c *upstreamConn) {
	u.mu.Lock()
	defer u.mu.Unlock()
	c.runs--
}

// gatewayOf returns the name of the gateway that has sent a request, which it states last in
// Via.
func gatewayOf(r *http.Request) string {
	via := strings.Join(r.Header.Values("Via"), ", ")
	elements := strings.Split(via, " ")
	return elements[len(elements)-1]
}

// resetConns resets a share of the connections of one gateway, whether they are idle or not.
func (u *upstream) resetConns(gateway string, share float64) (reset, busy int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		if c.gateway != gateway || rand.Float64() >= share {
			continue
		}
		c.reset()
		reset++
		busy += min(c.runs, 1)
	}
	return reset, busy
}

// resetAll resets all connections.
func (u *upstream) resetAll() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.conns {
		c.reset()
	}
}

// reset resets the connection.
func (c *upstreamConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// heartbeat writes the entry of an upstream about every interval until the context ends.
func heartbeat(ctx context.Context, store *objectStore, u *upstream, interval time.Duration) {
	for sequence := 1; ctx.Err() == nil; sequence++ {
		if err := store.put("servers", u.id, u.entry(sequence)); err != nil {
			panic(err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// newID returns a random name with a prefix.
func newID(prefix string) string {
	return prefix + strconv.FormatUint(rand.Uint64(), 16)
}
