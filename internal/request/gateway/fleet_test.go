package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/request/connection"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

// fleetGateway is a gateway that takes calls of callers and of other gateways.
type fleetGateway struct {
	*gateway.Gateway
	name        string
	front, peer *httptest.Server
	// carried counts the forwarded calls that arrived.
	carried atomic.Int64
	// dialer opens the connections to servers.
	dialer *relay.Dialer
}

// newFleet returns gateways that know each other and servers at the given addresses. Calls
// of the first gateway have a quarter of the others' deadline.
func newFleet(t *testing.T, n int, cfg gateway.Config, addresses ...string) []*fleetGateway {
	t.Helper()
	file, problems := rule.Parse(rules)
	if len(problems) > 0 {
		t.Fatal(problems)
	}
	deadline := cfg.Deadline
	var fleet []*fleetGateway
	for i := range n {
		g := &fleetGateway{name: fmt.Sprintf("gateway-%d", i+1), dialer: relay.NewDialer()}
		cfg.Name, cfg.DialServer = g.name, g.dialer.DialContext
		cfg.Deadline = deadline
		if i == 0 {
			cfg.Deadline = deadline / 4
		}
		cfg.Services = map[string]gateway.ServiceConfig{"Booking": {NotRunStatus: 503, NotRunHeader: "Endpoint-Not-Run"}}
		cfg.Forwarding = gateway.ForwardingConfig{Self: mustardsaddle.VM{Name: g.name}, MaxGateways: 2, MaxCarried: 8}
		g.Gateway = gateway.New(cfg)
		g.SetRules(rule.Compile(file))
		servers := make([]mustardsaddle.Server, 0, len(addresses))
		for _, a := range addresses {
			servers = append(servers, mustardsaddle.Server{Name: a, Address: a, Service: "Booking", Slots: 8, Connections: 200})
		}
		g.SetServers(time.Now(), "Booking", servers)
		g.front = httptest.NewUnstartedServer(g)
		g.front.Config = gateway.NewServer(gateway.ServerConfig{Handler: g.Gateway})
		g.front.Listener = g.Listener(g.front.Listener)
		g.front.Start()
		g.peer = newPeerServer(g)
		t.Cleanup(func() { g.front.Close(); g.peer.Close(); g.Close() })
		fleet = append(fleet, g)
	}
	setFleet(fleet, func(g *fleetGateway) string { return g.peer.Listener.Addr().String() })
	return fleet
}

// newPeerServer serves the calls that other gateways forward, on connections like those of callers.
func newPeerServer(g *fleetGateway) *httptest.Server {
	peer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.carried.Add(1)
		g.ServeForwarded(w, r)
	}))
	peer.Config.BaseContext, peer.Config.ConnContext = g.BaseContext, connection.Context
	peer.Listener = connection.NewListener(peer.Listener, connection.ListenerConfig{})
	peer.Start()
	return peer
}

// setFleet makes the gateways known to each other, at the peer addresses that address
// returns.
func setFleet(fleet []*fleetGateway, address func(*fleetGateway) string) {
	vms := make([]mustardsaddle.VM, len(fleet))
	for i, g := range fleet {
		vms[i] = mustardsaddle.VM{Name: g.name, Peer: address(g)}
	}
	for _, g := range fleet {
		g.SetFleet(time.Now(), vms)
	}
}
