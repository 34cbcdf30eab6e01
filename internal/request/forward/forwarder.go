package forward

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

// Forwarder picks the gateways to which calls are forwarded, and knows from which gateways
// calls are accepted. It is safe for concurrent use.
type Forwarder struct {
	mu      sync.Mutex
	rng     *rand.Rand
	table   *reach.Table
	helpers *reach.Helpers
	// fleet holds the gateways by name, also those that are leaving.
	fleet map[string]mustardsaddle.VM
	// own is what this gateway states about itself.
	own mustardsaddle.GatewayReach
}

// NewForwarder returns a Forwarder that knows no other gateway.
func NewForwarder(self mustardsaddle.VM, rng *rand.Rand) *Forwarder {
	table := reach.NewTable()
	return &Forwarder{
		rng: rng, table: table, helpers: reach.NewHelpers(self, table), fleet: make(map[string]mustardsaddle.VM),
		own: mustardsaddle.GatewayReach{Name: self.Name, Incarnation: self.Incarnation},
	}
}

// SetFleet replaces the gateways of the fleet, including this one and those that are
// leaving.
func (f *Forwarder) SetFleet(gateways []mustardsaddle.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table.SetFleet(gateways)
	f.helpers.SetFleet(gateways)
	f.fleet = make(map[string]mustardsaddle.VM, len(gateways))
	for _, g := range gateways {
		f.fleet[g.Name] = g
	}
}

// Pick returns the gateway that gets a call. It returns false if there is none.
func (f *Forwarder) Pick(now time.Time, need reach.Need) (mustardsaddle.VM, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.helpers.Pick(now, f.rng, need)
}

// Available reports whether any gateway may get a call.
func (f *Forwarder) Available(now time.Time, need reach.Need) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.helpers.Available(now, need)
}

// Finish records the end of a call that Pick has counted.
func (f *Forwarder) Finish(now time.Time, r reach.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.helpers.Finish(now, r)
}

// SetLost replaces the services that this gateway has lost. It returns the statement to
// send to the peers.
func (f *Forwarder) SetLost(now time.Time, services []string) mustardsaddle.GatewayReach {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.own = f.own.WithLost(services)
	f.table.Merge(now, []mustardsaddle.GatewayReach{f.own})
	return f.own
}

// Merge records statements of other gateways. It returns those that were new.
func (f *Forwarder) Merge(now time.Time, statements []mustardsaddle.GatewayReach) []mustardsaddle.GatewayReach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Merge(now, statements)
}

// Statements returns the newest statements of all gateways.
func (f *Forwarder) Statements() []mustardsaddle.GatewayReach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Statements()
}

// Digest returns a digest that is equal for gateways that know the same statements.
func (f *Forwarder) Digest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Digest()
}

// CutOff returns the number of gateways that have lost some service.
func (f *Forwarder) CutOff() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Gateways()
}

// Accept returns an error with code.PeerUnknown unless a call comes from the VM of a gateway
// of the fleet.
func (f *Forwarder) Accept(call Call, remote string) error {
	f.mu.Lock()
	vm, known := f.fleet[call.Gateway]
	f.mu.Unlock()
	if !known {
		return code.Errorf(code.PeerUnknown, "forwarded call: gateway %q is not known", call.Gateway)
	}
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		return code.Wrapf(code.PeerUnknown, err, "forwarded call of gateway %s", call.Gateway)
	}
	if want, _, err := net.SplitHostPort(vm.Peer); err != nil || want != host {
		return code.Errorf(code.PeerUnknown, "forwarded call of gateway %s: got address %s, want that of %s", call.Gateway, host, vm.Peer)
	}
	return nil
}
