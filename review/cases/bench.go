package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/mustardsaddle"
	// template is the settings template of the deploy file.
	template = "platform/gateway.ini"
	// readyTimeout bounds the time until all gateways are ready.
	readyTimeout = 20 * time.Second
	// settleTime is how long the gateways run before the case begins.
	settleTime = 3 * time.Second
	dirMode    = 0o700
	fileMode   = 0o600
)

// bench holds what a case has started.
type bench struct {
	trouble bool
	started time.Time
	tmp     string
	store   *store

	mu       sync.Mutex
	record   *os.File
	gateways []*gatewayProcess
	closers  []func()
}

func newBench(recordPath string, trouble bool) (*bench, error) {
	record, err := os.Create(recordPath) //nolint:gosec // the folder is named on the command line
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp("", "case-")
	if err != nil {
		return nil, errors.Join(err, record.Close())
	}
	b := &bench{trouble: trouble, started: time.Now(), tmp: tmp, record: record}
	b.store, err = newStore()
	if err != nil {
		b.close()
		return nil, err
	}
	b.closers = append(b.closers, b.store.close)
	b.note("disruption: %v", trouble)
	return b, nil
}

// note writes a line to the record.
func (b *bench) note(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%9.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that were started, and removes the temporary folder.
func (b *bench) close() {
	for _, g := range b.gateways {
		g.kill()
	}
	for _, c := range b.closers {
		c()
	}
	_ = os.RemoveAll(b.tmp) //nolint:gosec // a folder that this process has made
	_ = b.record.Close()
}

// gatewayProcess is one gateway.
type gatewayProcess struct {
	name, zone, front, ready string
	process                  *os.Process
	ended                    chan struct{}
	log                      *os.File
}

// kill ends the process with SIGKILL, and waits for its end.
func (g *gatewayProcess) kill() {
	_ = g.process.Signal(syscall.SIGKILL)
	<-g.ended
}

// startGateways starts gateways, each on a loopback address of its own, and waits until they
// are ready.
func (b *bench) startGateways(n int) error {
	for i := range n {
		if err := b.startGateway(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(readyTimeout)
	for _, g := range b.gateways {
		for !isReady(g.ready) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready after %v", g.name, readyTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(settleTime)
	b.note("%d gateways are ready", n)
	return nil
}

func (b *bench) startGateway(i int) error {
	ip := fmt.Sprintf("127.0.1.%d", i+1)
	ports, err := freePorts(ip, 3)
	if err != nil {
		return err
	}
	g := &gatewayProcess{
		name: fmt.Sprintf("edge-zone-a-%d", i+1), zone: "zone-a", ended: make(chan struct{}),
		front: ip + ":" + ports[0], ready: ip + ":" + ports[1],
	}
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	settings := filepath.Join(b.tmp, g.name+".ini")
	filled := []byte(b.settings(string(text), g, ip, ports[2]))
	if err := os.WriteFile(settings, filled, fileMode); err != nil { //nolint:gosec // a file in a folder that this process has made
		return err
	}
	g.log, err = os.Create(filepath.Join(b.tmp, g.name+".log")) //nolint:gosec // as above
	if err != nil {
		return err
	}
	args := []string{program, "serve", "--settings", settings}
	g.process, err = os.StartProcess(program, args, &os.ProcAttr{ //nolint:gosec // the gateway under test
		Env: []string{"PATH=" + os.Getenv("PATH")}, Files: []*os.File{nil, g.log, g.log},
	})
	if err != nil {
		return err
	}
	go func() {
		defer close(g.ended)
		_, _ = g.process.Wait()
	}()
	b.gateways = append(b.gateways, g)
	return nil
}

// settings fills in the template as the platform does.
func (b *bench) settings(text string, g *gatewayProcess, ip, peerPort string) string {
	return strings.NewReplacer(
		"{{#bootstrap}}Yes{{/bootstrap}}{{^bootstrap}}No{{/bootstrap}}", "Yes",
		"{{#bounds.evacuate}}Yes{{/bounds.evacuate}}{{^bounds.evacuate}}No{{/bounds.evacuate}}", "No",
		"{{node}}", g.name, "{{zone}}", g.zone, "{{listen.front}}", g.front, "{{listen.ready}}", g.ready,
		"{{ip}}", ip, "{{internal-ports.0}}", peerPort, "{{platform.address}}", b.store.address,
		"{{platform.reads-per-s}}", "2000", "{{platform.writes-per-s}}", "400", "{{bounds.probes-per-s}}", "60",
		"{{bounds.grace}}", "6s", "{{bounds.retry-budget-ratio}}", "0.2", "{{bounds.budget-window}}", "10s",
		"{{bounds.budget-slack}}", "56",
	).Replace(text)
}

// log returns the lines of a gateway's log that contain a text.
func (b *bench) log(g *gatewayProcess, text string) []string {
	content, _ := os.ReadFile(g.log.Name()) //nolint:gosec // a file that this process has made
	var found []string
	for line := range strings.Lines(string(content)) {
		if strings.Contains(line, text) {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// freePorts returns ports of an address that no process listens on.
func freePorts(ip string, n int) ([]string, error) {
	var ports []string
	for range n {
		ln, err := listen(ip)
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		ports = append(ports, strconv.Itoa(port(ln)))
	}
	return ports, nil
}

// listen listens on a free port of an address.
func listen(ip string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(ip, "0"))
}

func port(ln net.Listener) int {
	addr, _ := ln.Addr().(*net.TCPAddr)
	return addr.Port
}

func isReady(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// repeat turns a disruption on and off by turns until the case ends.
func (b *bench) repeat(on, off time.Duration, set func(on bool)) {
	stop := make(chan struct{})
	b.closers = append(b.closers, func() { close(stop) })
	go func() {
		for {
			set(true)
			if !sleep(on, stop) {
				return
			}
			set(false)
			if !sleep(off, stop) {
				return
			}
		}
	}()
}

// sleep returns false if stop is closed first.
func sleep(d time.Duration, stop chan struct{}) bool {
	select {
	case <-time.After(d):
		return true
	case <-stop:
		return false
	}
}
