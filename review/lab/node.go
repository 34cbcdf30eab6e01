package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec" //nolint:depguard // The lab plays the platform, which starts the processes.
	"path/filepath"
	"strings"
	"time"
)

const (
	// program is the program of the deploy file, and template its settings template.
	program  = "target/mustardsaddle"
	template = "platform/gateway.ini"
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
	// readyTimeout is the longest time that a gateway may take to be ready.
	readyTimeout = 15 * time.Second
)

// node is one process of the load balancer.
type node struct {
	name, zone         string
	front, ready, peer string
	metrics            string
	settings, logPath  string
	rec                *recorder
	storeAddress       string
	cmd                *exec.Cmd
	ended              chan struct{}
}

// Ports of gateways lie below those that the kernel gives to outgoing connections, so that no such
// connection takes one before its gateway listens.
const (
	lowestPort  = 18000
	highestPort = 30000
)

// freeAddresses returns n loopback addresses whose ports are free.
func freeAddresses(n int) ([]string, error) {
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		if tries > highestPort-lowestPort {
			return nil, fmt.Errorf("there are no %d free ports from %d to %d", n, lowestPort, highestPort)
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		ln, err := net.Listen("tcp", address) //nolint:noctx // It is closed at the end.
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, address)
	}
	return addresses, nil
}

// newNode chooses the addresses of a gateway.
func newNode(rec *recorder, name, zone, storeAddress, dir string) (*node, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	return &node{
		name: name, zone: zone, front: a[0], ready: a[1], peer: a[2], metrics: a[3], rec: rec,
		settings: filepath.Join(dir, name+".ini"), logPath: filepath.Join(dir, name+".log"), storeAddress: storeAddress,
	}, nil
}

// render writes the settings file as the platform does from the template of the deploy file.
func (n *node) render(bootstrap bool) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	first := "No"
	if bootstrap {
		first = "Yes"
	}
	rendered := strings.NewReplacer(
		"{{node}}", n.name, "{{zone}}", n.zone, "{{listen.front}}", n.front, "{{listen.ready}}", n.ready,
		"{{ip}}:{{internal-ports.0}}", n.peer, "{{ip}}:9464", n.metrics,
		"{{#bootstrap}}Yes{{/bootstrap}}{{^bootstrap}}No{{/bootstrap}}", first,
		"{{#bounds.evacuate}}Yes{{/bounds.evacuate}}{{^bounds.evacuate}}No{{/bounds.evacuate}}", "No",
		"{{platform.address}}", n.storeAddress, "{{platform.reads-per-s}}", "2000", "{{platform.writes-per-s}}", "400",
		"{{bounds.probes-per-s}}", "60", "{{bounds.grace}}", grace.String(), "{{bounds.retry-budget-ratio}}", "0.2",
		"{{bounds.budget-window}}", "10s", "{{bounds.budget-slack}}", "56",
	).Replace(string(text))
	if strings.Contains(rendered, "{{") {
		return fmt.Errorf("render %s: a placeholder is left", template)
	}
	return os.WriteFile(n.settings, []byte(rendered), 0o600) //nolint:gosec // The path is in the folder of this play.
}

// start starts the process.
func (n *node) start(bootstrap bool) error {
	if err := n.render(bootstrap); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, "serve", "--settings", n.settings) //nolint:gosec,noctx // The case ends it.
	cmd.Stdout, cmd.Stderr = out, out
	cmd.Env = []string{"MUSTARDSADDLE_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.cmd, n.ended = cmd, ended
	n.rec.note("gateway %s starts as process %d, front %s", n.name, cmd.Process.Pid, n.front)
	go func() {
		err := cmd.Wait()
		n.rec.note("gateway %s process %d has ended: %v", n.name, cmd.Process.Pid, err)
		close(ended)
	}()
	return nil
}

// kill ends the process and waits for it.
func (n *node) kill() {
	if n.cmd == nil || n.cmd.Process == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.ended
}

// isReady asks the process once whether it is ready.
func (n *node) isReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.ready+"/readyz", http.NoBody)
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

// awaitReady waits until the process is ready.
func (n *node) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if n.isReady(ctx) {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %s", n.name, readyTimeout)
}
