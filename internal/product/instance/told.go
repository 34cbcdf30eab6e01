package instance

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

const (
	// minGossipInterval is the minimum time for which generations are batched.
	minGossipInterval = time.Second
	// gossipIntervalPerVM is multiplied by the number of gateways to give the batching
	// time, so that the cost does not grow with the square of the fleet size.
	gossipIntervalPerVM = 100 * time.Millisecond
)

// gossipGenerations broadcasts which generations the gateway VMs have in force, until
// the context ends; then it closes done. The gateway that writes Rules/InForce learns
// in this way about the VMs to which it has no link.
func (in *instance) gossipGenerations(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		gateways := in.membership.Roster().Gateways()
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(minGossipInterval, time.Duration(gateways)*gossipIntervalPerVM)):
		}
		for _, part := range news.SplitGenerations(in.newGenerations()) {
			in.links.Broadcast(part)
		}
	}
}

// newGenerations returns the generations that have changed since its last call.
func (in *instance) newGenerations() []news.Generation {
	live := make(map[string]bool)
	for _, vm := range in.membership.Roster().VMs() {
		live[vm.Name] = true
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.fleetGenerations.Merge(in.self.Name, in.generation.Load())
	in.fleetGenerations.Retain(func(name string) bool { return live[name] })
	return in.fleetGenerations.TakeChanged()
}

// mergeGenerations merges the generations of gateway VMs that a peer has sent.
func (in *instance) mergeGenerations(m news.Generations) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, vm := range m.VMs {
		in.fleetGenerations.Merge(vm.Name, vm.Generation)
	}
}

// liveGateways returns the live gateway VMs with their known generations, 0 if unknown.
func (in *instance) liveGateways() []rule.VM {
	in.mu.Lock()
	defer in.mu.Unlock()
	var vms []rule.VM
	for _, vm := range in.membership.Roster().VMs() {
		if !vm.Leaving {
			vms = append(vms, rule.VM{Name: vm.Name, Generation: in.fleetGenerations.Generation(vm.Name)})
		}
	}
	return vms
}
