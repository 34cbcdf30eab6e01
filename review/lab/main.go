// Command lab plays the cases of the third review: it starts processes of the load balancer with the
// command of the deploy file, stand-ins for the platform's store, upstreams and clients on loopback
// addresses, and judges what clients and upstreams have seen.
//
// # Usage
//
//	lab -case idle-reuse -record review/11/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment the case is played without its disruption.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxPlay is the longest time that a case may take.
const maxPlay = 115 * time.Second

// errBroken is wrapped by the error of a case whose rule was broken.
var errBroken = errors.New("the rule was broken")

// lab is a small deployment.
type lab struct {
	ctx       context.Context //nolint:containedctx // It is the context of one play.
	trouble   bool
	dir       string
	rec       *recorder
	store     *objectStore
	storeAt   string
	runs      runs
	upstreams []*upstream
	nodes     []*node

	mu sync.Mutex
	// conns holds the connections that clients keep.
	conns map[int]*clientConn
}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	record := flag.String("record", "record.txt", "path of the record")
	flag.Parse()
	cases := map[string]func(*lab) error{"search": searchWhileShedding, "download": downloadWhileBreaking, "book": bookWhileLeaving, "dark": downloadWhileDark}
	run := cases[*name]
	if run == nil {
		_, _ = fmt.Fprintf(os.Stderr, "there is no case %q\n", *name)
		return exitFailed
	}
	rec, err := newRecorder(*record)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxPlay)
	defer cancel()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	l := &lab{ctx: ctx, trouble: os.Getenv("TROUBLE") != "0", rec: rec, conns: make(map[int]*clientConn)}
	defer l.end()
	played := make(chan error, 1)
	go func() {
		err := l.openStore()
		if err == nil {
			err = run(l)
		}
		played <- err
	}()
	select {
	case err = <-played:
	case s := <-signals:
		err = fmt.Errorf("got signal %v", s)
	case <-ctx.Done():
		err = fmt.Errorf("the play took longer than %s", maxPlay)
	}
	return l.conclude(err)
}

// conclude writes the verdict and returns the exit status.
func (l *lab) conclude(err error) int {
	status, verdict := exitHeld, "held"
	switch {
	case errors.Is(err, errBroken):
		status, verdict = exitBroken, err.Error()
	case err != nil:
		status, verdict = exitFailed, "the case could not run: "+err.Error()
	}
	l.rec.note("verdict: %s", verdict)
	_, _ = fmt.Println(verdict)
	return status
}

// openStore starts the store.
func (l *lab) openStore() error {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return err
	}
	l.dir = dir
	l.store = newObjectStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // It lives as long as the process.
	if err != nil {
		return err
	}
	l.storeAt = ln.Addr().String()
	srv := &http.Server{Handler: l.store, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// end ends all processes.
func (l *lab) end() {
	for _, n := range l.nodes {
		n.kill()
	}
	if os.Getenv("LAB_KEEP") == "" && l.dir != "" {
		_ = os.RemoveAll(l.dir)
	}
}

// service is the service of all upstreams.
const service = "desk"

// upstreamID returns the ID of an upstream.
func upstreamID(i int) string { return fmt.Sprintf("i-%s-%d", service, i) }

// addUpstreams starts and registers upstreams that behave like the given one.
func (l *lab) addUpstreams(count, slots int, like *upstream) error {
	for i := range count {
		if err := l.addUpstream(i, slots, like); err != nil {
			return err
		}
	}
	return nil
}

// addUpstream starts and registers an upstream.
func (l *lab) addUpstream(i, slots int, like *upstream) error {
	u := &upstream{
		id: upstreamID(i), service: service, zone: zone, slots: newSlots(slots, waitingRequests), rec: l.rec, runs: &l.runs,
		work: like.work, shed: like.shed, answer: like.answer, silent: like.silent, lost: like.lost, pieces: like.pieces,
	}
	if err := u.start(); err != nil {
		return err
	}
	l.upstreams = append(l.upstreams, u)
	return l.store.put(kindServers, u.id, u.entry(stateReady))
}

// gateways is the number of gateways.
const gateways = 3

// begin writes the first configuration, starts the gateways, and lets the upstreams write to the store.
func (l *lab) begin(routes map[string]any) error {
	if err := l.store.put("config", "main", config(1, routes)); err != nil {
		return err
	}
	go l.beat()
	return l.startNodes()
}

// heartbeat is the interval at which upstreams write to the store.
const heartbeat = 1500 * time.Millisecond

// beat writes the entries of the upstreams that run and do not leave at each heartbeat, until the play
// ends.
func (l *lab) beat() {
	for l.sleep(heartbeat) {
		for _, u := range l.upstreams {
			if u.state.Load() == nil && (u.silent == nil || !u.silent()) {
				_ = l.store.put(kindServers, u.id, u.entry(stateReady))
			}
		}
	}
}

// sleep waits, and returns false if the play has ended.
func (l *lab) sleep(d time.Duration) bool {
	select {
	case <-l.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// startNodes starts the gateways and waits until they are ready.
func (l *lab) startNodes() error {
	for i := range gateways {
		n, err := newNode(l.rec, fmt.Sprintf("edge-%s-%d", zone, i+1), zone, l.storeAt, l.dir)
		if err != nil {
			return err
		}
		if err := n.start(true); err != nil {
			return err
		}
		l.nodes = append(l.nodes, n)
	}
	for _, n := range l.nodes {
		if err := n.awaitReady(l.ctx); err != nil {
			return err
		}
	}
	return nil
}

// idleTimeout is how long a client's connection may be idle.
const idleTimeout = "15000ms"

// config returns a configuration.
func config(version int, routes map[string]any) map[string]any {
	declared := map[string]any{"health-path": healthPath, "max-connections": 220, "protocol": "h1", "tls": false}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": map[string]any{service: declared},
		"limits": map[string]any{
			"max-header-bytes": 16384, "max-body-bytes": 67108864, "header-timeout": "3000ms", "idle-timeout": idleTimeout,
		},
	}
}

const (
	host = "shed.example"
	zone = "zone-a"
	// kindServers is the kind of the upstreams' entries in the store.
	kindServers   = "servers"
	stateReady    = "ready"
	stateDraining = "draining"
)

// route returns a route to the service.
func route(prefix, kind string) map[string]any {
	return map[string]any{
		"host": host, "path-prefix": prefix, "kind": kind, "timeout": "1000ms", "target-latency": "400ms", "priority": 1,
		"service": service, "max-attempts": 2,
	}
}

// connection returns the connection that client i keeps, or opens one to the next gateway.
func (l *lab) connection(i int) (*clientConn, error) {
	l.mu.Lock()
	c := l.conns[i]
	l.mu.Unlock()
	if c != nil {
		return c, nil
	}
	c, err := connect(l.nodes[i%len(l.nodes)])
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[i] = c
	return c, nil
}

// drop closes the connection that client i keeps.
func (l *lab) drop(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.conns[i]; c != nil {
		c.close()
	}
	delete(l.conns, i)
}
