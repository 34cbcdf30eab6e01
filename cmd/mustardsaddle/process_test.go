package main_test

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// process is a child process whose output is captured.
type process struct {
	t       testing.TB
	cmd     *exec.Cmd
	exited  chan struct{}
	exitErr error

	mu  sync.Mutex
	out bytes.Buffer
}

// Write captures output of the process.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// startProcess runs a program and captures its standard output and error. The
// process is killed when the test ends.
func startProcess(t testing.TB, name string, args ...string) *process {
	p := newProcess(t, name, args...)
	p.cmd.Stdout = p
	p.start()
	return p
}

// newProcess returns a process that is not started yet. Its standard error is
// captured.
func newProcess(t testing.TB, name string, args ...string) *process {
	p := &process{t: t, cmd: exec.Command(filepath.Join(binDir, name), args...), exited: make(chan struct{})}
	p.cmd.Stderr = p
	return p
}

// start starts the process, which is killed when the test ends.
func (p *process) start() {
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	go func() {
		p.exitErr = p.cmd.Wait()
		close(p.exited)
	}()
	p.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
}

func (p *process) signal(s syscall.Signal) {
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatalf("signal %v: %v; %s", s, err, p.ending())
	}
}

// ending describes how the process has ended, for the message of a failure.
func (p *process) ending() string {
	select {
	case <-p.exited:
		return fmt.Sprintf("%s has ended with %v; its output:\n%s", p.cmd.Path, p.exitErr, tail(p.output()))
	case <-time.After(time.Second):
		return p.cmd.Path + " has not ended"
	}
}

// waitExit waits until the process exits and returns the error of
// exec.Cmd.Wait. It fails the test after d.
func (p *process) waitExit(d time.Duration) error {
	select {
	case <-p.exited:
		return p.exitErr
	case <-time.After(d):
		p.t.Fatalf("%s did not exit within %v; its output:\n%s", p.cmd.Path, d, tail(p.output()))
		return nil
	}
}

// lastEvent returns the last log line of the event with the given name.
func (p *process) lastEvent(name string) (map[string]any, bool) {
	var found map[string]any
	scanner := bufio.NewScanner(strings.NewReader(p.output()))
	for scanner.Scan() {
		var line map[string]any
		if json.Unmarshal(scanner.Bytes(), &line) == nil && line["Name"] == name {
			found = line
		}
	}
	return found, found != nil
}

// tail returns the last part of s.
func tail(s string) string {
	const maxBytes = 4000
	return s[max(0, len(s)-maxBytes):]
}

// waitListening waits until a standin process prints its listen address, and
// returns the address.
func waitListening(p *process) string {
	const prefix = "listens on "
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		if _, rest, ok := strings.Cut(p.output(), prefix); ok {
			if address, _, ok := strings.Cut(rest, "\n"); ok {
				return address
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	p.t.Fatalf("%s did not print a listen address; its output:\n%s", p.cmd.Path, p.output())
	return ""
}

// freeAddress returns a free loopback address. Its IP address is random, so
// that no outgoing connection, which would use 127.0.0.1, takes the port before
// the process listens on it.
func freeAddress(t testing.TB) string {
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
