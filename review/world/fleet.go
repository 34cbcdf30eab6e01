package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// settingsTemplate is the template of the settings in the deploy file.
	settingsTemplate = "platform/gateway.ini"
	// gatewaysFile is the file in the folder of a run that lists the settings files of the
	// gateways. The script play.sh starts a gateway for each of them, and starts it again when it
	// has ended.
	gatewaysFile = "gateways"
	// pidSuffix follows the name of a settings file in the name of the file with the ID of the
	// gateway's process.
	pidSuffix = ".pid"
	// readyTimeout bounds the time until a gateway is ready.
	readyTimeout = 15 * time.Second
	// pollInterval is the interval at which a condition is checked.
	pollInterval = 50 * time.Millisecond
)

// gatewayProcess is a gateway that runs as a process of its own.
type gatewayProcess struct {
	name, front, ready string
	// settings is the path of its settings file.
	settings string
}

// freeAddresses returns addresses with free ports of the loopback interface.
func freeAddresses(ctx context.Context, n int) ([]string, error) {
	addresses := make([]string, 0, n)
	for range n {
		ln, err := listen(ctx)
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addresses = append(addresses, ln.Addr().String())
	}
	return addresses, nil
}

// newGateway renders the settings of a gateway as the platform does.
func newGateway(ctx context.Context, dir *os.Root, name, zone, store string) (*gatewayProcess, error) {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, err
	}
	addresses, err := freeAddresses(ctx, 4)
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{node}}", name, "{{zone}}", zone, "{{listen.front}}", addresses[0], "{{listen.ready}}", addresses[1],
		"{{ip}}:{{internal-ports.0}}", addresses[2], "{{ip}}:9464", addresses[3],
		"{{#bootstrap}}Yes{{/bootstrap}}{{^bootstrap}}No{{/bootstrap}}", "Yes",
		"{{platform.address}}", store, "{{platform.reads-per-s}}", "2000", "{{platform.writes-per-s}}", "400",
		"{{#bounds.evacuate}}Yes{{/bounds.evacuate}}{{^bounds.evacuate}}No{{/bounds.evacuate}}", "No",
		"{{bounds.probes-per-s}}", "60", "{{bounds.grace}}", "6s", "{{bounds.retry-budget-ratio}}", "0.2",
		"{{bounds.budget-window}}", "10s", "{{bounds.budget-slack}}", "56",
	).Replace(string(template))
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("render %s: a placeholder is not known", settingsTemplate)
	}
	g := &gatewayProcess{name: name, front: addresses[0], ready: addresses[1], settings: name + ".ini"}
	return g, dir.WriteFile(g.settings, []byte(text), 0o600)
}

// startGateways has the script start the gateways, and waits until they are ready.
func startGateways(ctx context.Context, dir *os.Root, gateways []*gatewayProcess) error {
	var list strings.Builder
	for _, g := range gateways {
		_, _ = fmt.Fprintln(&list, filepath.Join(dir.Name(), g.settings))
	}
	partial := gatewaysFile + ".partial"
	if err := dir.WriteFile(partial, []byte(list.String()), 0o600); err != nil {
		return err
	}
	if err := dir.Rename(partial, gatewaysFile); err != nil {
		return err
	}
	for _, g := range gateways {
		if err := g.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until the gateway reports that it is ready.
func (g *gatewayProcess) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !g.isReady(ctx) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: gateway %s is not ready: %w", errUnable, g.name, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// isReady reports whether the gateway reports that it is ready.
func (g *gatewayProcess) isReady(ctx context.Context) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+g.ready+"/readyz", http.NoBody)
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

// pid returns the ID of the gateway's present process.
func (g *gatewayProcess) pid(dir *os.Root) (int, error) {
	text, err := dir.ReadFile(g.settings + pidSuffix)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(strings.TrimSpace(string(text)))
}

// terminate sends SIGTERM to the gateway's process.
func (w *world) terminate(g *gatewayProcess, pid int) error {
	w.record.add("signal", "gateway=%s SIGTERM", g.name)
	return syscall.Kill(pid, syscall.SIGTERM)
}

// waitRestarted waits until another process of the gateway than the given one is ready.
func (w *world) waitRestarted(ctx context.Context, g *gatewayProcess, pid int) error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if next, err := g.pid(w.dir); err == nil && next != pid {
			w.record.add("restart", "gateway=%s", g.name)
			return g.waitReady(ctx)
		}
		time.Sleep(pollInterval)
	}
	return fmt.Errorf("%w: gateway %s was not started again", errUnable, g.name)
}
