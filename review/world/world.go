package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"
)

const (
	// heartbeatInterval is the interval at which upstreams write their entries.
	heartbeatInterval = 1500 * time.Millisecond
	// gateways is the number of gateways, and zone their availability zone.
	gateways = 3
	zone     = "zone-a"
	// settleTime is the time in which the gateways learn of each other.
	settleTime = 5 * time.Second
)

// errUnable is returned if a case could not run.
var errUnable = errors.New("the case could not run")

// world is a small system: the store, upstreams and gateways.
type world struct {
	dir       *os.Root
	record    *record
	store     *objectStore
	upstreams []*upstream
	gateways  []*gatewayProcess
}

// newWorld starts a system and waits until its gateways are ready.
func newWorld(ctx context.Context, rec *record, dir *os.Root, config configSpec, upstreams []*upstream) (*world, error) {
	w := &world{dir: dir, record: rec, store: newObjectStore(), upstreams: upstreams}
	address, err := serveHTTP(ctx, &http.Server{Handler: w.store, ReadHeaderTimeout: 10 * time.Second})
	if err != nil {
		return nil, err
	}
	if err := w.configure(config); err != nil {
		return nil, err
	}
	for _, u := range upstreams {
		u.record = rec
		if err := u.start(ctx); err != nil {
			return nil, err
		}
		go heartbeat(u.life, w.store, u, heartbeatInterval)
	}
	for i := range gateways {
		g, err := newGateway(ctx, dir, fmt.Sprintf("edge-zone-a-%d", i+1), zone, address)
		if err != nil {
			return nil, err
		}
		w.gateways = append(w.gateways, g)
	}
	if err := startGateways(ctx, dir, w.gateways); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	return w, nil
}

// configure writes a configuration as the operator does.
func (w *world) configure(c configSpec) error {
	if err := w.store.put("config", "main", c); err != nil {
		return err
	}
	for name, route := range c.Routes {
		w.record.add("config", "version=%s route=%s service=%s acknowledged", c.Version, name, route.Service)
	}
	return nil
}

// troubled reports whether the case is to have its disruption.
func troubled() bool {
	return os.Getenv("TROUBLE") != "0"
}
