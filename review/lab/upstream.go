package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const healthPath = "/health"

// Names of the headers of the platform's protocol.
const (
	headerRequestID   = "Request-Id"
	headerSignature   = "Response-Signature"
	headerInstance    = "Instance-Id"
	headerTarget      = "Target-Instance"
	headerLoad        = "Server-Load"
	headerNotExecuted = "Not-Executed"
	headerDeadline    = "Deadline-Ms"
)

// run is one request that an upstream has run.
type run struct {
	id, method, target, body, upstream string
}

// runs holds what all upstreams have run. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = make(map[string][]run)
	}
	r.byID[one.id] = append(r.byID[one.id], one)
}

// of returns the runs of a request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.byID[id]...)
}

// digest identifies a body.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// slots is the capacity of an upstream: some requests run, and a few more wait.
type slots struct {
	running, admitted chan struct{}
}

func newSlots(running, waiting int) slots {
	return slots{running: make(chan struct{}, running), admitted: make(chan struct{}, running+waiting)}
}

// enter waits for a slot, or returns false if too many requests wait.
func (s slots) enter() bool {
	select {
	case s.admitted <- struct{}{}:
		s.running <- struct{}{}
		return true
	default:
		return false
	}
}

func (s slots) leave() {
	<-s.running
	<-s.admitted
}

// load returns the value of Server-Load.
func (s slots) load() string {
	running := len(s.running)
	return fmt.Sprintf("%d,%d,%d,100", running, max(len(s.admitted)-running, 0), cap(s.running))
}

// waitingRequests is the number of requests that an upstream queues.
const waitingRequests = 4

// upstream is a stand-in for an upstream.
type upstream struct {
	id, service, zone string
	work              time.Duration
	rec               *recorder
	runs              *runs
	slots             slots
	born              int64
	address           string
	sequence          atomic.Int64
	// state is the state that the upstream reports.
	state atomic.Value
	// arrived, if set, is called with each request that reaches the upstream.
	arrived func(id string)
	server  *http.Server
	// shed, if set, decides whether a request is rejected although there is room.
	shed func() bool
	// silent, if set, reports whether the upstream has lost power, and lost whether it has at any time.
	silent, lost func() bool
	// pieces is true if the upstream sends its answers piece by piece, after the request has left its slot.
	pieces bool
	// answer, if set, sends the answer to a request that has run. The usual one is a short text.
	answer func(w http.ResponseWriter, r *http.Request)
}

// start listens on a free loopback port.
func (u *upstream) start() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It lives as long as the process.
	if err != nil {
		return err
	}
	u.address, u.born = ln.Addr().String(), time.Now().UnixMilli()
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, IdleTimeout: idleClose}
	go func() { _ = u.server.Serve(ln) }()
	return nil
}

// close ends the upstream with all its connections.
func (u *upstream) close() { _ = u.server.Close() }

// idleClose is how long an upstream keeps an idle connection.
const idleClose = 10 * time.Second

// entry returns what the upstream says of itself in the store.
func (u *upstream) entry(state string) map[string]any {
	return map[string]any{
		"address": u.address,
		"born":    u.born,
		"info":    map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": cap(u.slots.running)},
		"status":  map[string]any{"state": state, "sequence": u.sequence.Add(1), "slow-start_time": "0ms"},
	}
}

// ServeHTTP serves a request.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if u.silent != nil && u.silent() {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == healthPath {
		h.Set(headerInstance, u.id)
		h.Set(headerLoad, u.slots.load())
		return
	}
	if r.Header.Get(headerTarget) != u.id {
		h.Set(headerInstance, u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // The caller has left: nothing was run.
	}
	if u.arrived != nil {
		u.arrived(r.Header.Get(headerRequestID))
	}
	if u.shed != nil && u.shed() || !u.slots.enter() {
		h.Set(headerNotExecuted, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	id := r.Header.Get(headerRequestID)
	u.runs.add(run{id: id, method: r.Method, target: r.RequestURI, body: digest(body), upstream: u.id})
	u.rec.note("upstream %s runs %s %s %s with a body of %d bytes", u.id, id, r.Method, r.RequestURI, len(body))
	time.Sleep(u.work)
	u.slots.leave()
	h.Set(headerRequestID, id)
	h.Set(headerSignature, "signature-"+id)
	h.Set(headerLoad, u.slots.load())
	switch {
	case u.pieces:
		u.sendPieces(w, r)
		return
	case u.answer != nil:
		u.answer(w, r)
		return
	}
	text := "answer to " + id + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}
