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
	// announcer decides when this gateway states which services it has lost.
	announcer *reach.Announcer
}

// NewForwarder returns a Forwarder that knows no other gateway.
func NewForwarder(self mustardsaddle.VM, rng *rand.Rand) *Forwarder {
	table := reach.NewTable()
	return &Forwarder{
		rng: rng, table: table, helpers: reach.NewHelpers(self, table), fleet: make(map[string]mustardsaddle.VM),
		announcer: reach.NewAnnouncer(self),
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

// OwnPathFails reports whether this gateway itself is the likely reason for which other
// gateways do not reply.
func (f *Forwarder) OwnPathFails(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.helpers.OwnPathFails(now)
}

// Finish records the end of a call that Pick has counted.
func (f *Forwarder) Finish(now time.Time, r reach.Reply) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.helpers.Finish(now, r)
}

// SetLost replaces the services that this gateway has lost.
func (f *Forwarder) SetLost(services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announcer.SetLost(services)
}

// NextStatement returns the statement about lost services that is due to be sent to the
// peers, or none and the time until it may be; 0 until SetLost is called again.
func (f *Forwarder) NextStatement(now time.Time) (statement mustardsaddle.GatewayReach, due bool, wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.announcer.Next(now)
}

// Merge records statements of other gateways. It returns those that were new, and not merely
// renewed.
func (f *Forwarder) Merge(now time.Time, statements []mustardsaddle.GatewayReach) []mustardsaddle.GatewayReach {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Merge(now, statements)
}

// CutOff returns the number of linked gateways that state that they have lost some service.
func (f *Forwarder) CutOff(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table.Gateways(now)
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
