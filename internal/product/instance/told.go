package instance

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

const (
	// minToldInterval is the least time for which generations are gathered.
	minToldInterval = time.Second
	// toldIntervalPerVM is the time for which generations are gathered for each
	// gateway VM, so that their cost does not grow with the square of the fleet.
	toldIntervalPerVM = 100 * time.Millisecond
)

// followTold tells the peers which generations gateway VMs have in force, until
// the context ends; then it closes done. The gateway that writes Rules/InForce
// learns so of the VMs to which it has no link.
func (in *instance) followTold(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		gateways := in.membership.Roster().Gateways()
		select {
		case <-ctx.Done():
			return
		case <-time.After(max(minToldInterval, time.Duration(gateways)*toldIntervalPerVM)):
		}
		for _, part := range news.SplitGenerations(in.freshTold()) {
			in.links.Broadcast(part)
		}
	}
}

// freshTold returns the generations that are still to be passed on.
func (in *instance) freshTold() []news.Generation {
	live := make(map[string]bool)
	for _, vm := range in.membership.Roster().VMs() {
		live[vm.Name] = true
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.told.Learn(in.self.Name, in.generation.Load())
	in.told.Keep(func(name string) bool { return live[name] })
	return in.told.Fresh()
}

// learn takes what a peer told of gateway VMs.
func (in *instance) learn(m news.Generations) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, vm := range m.VMs {
		in.told.Learn(vm.Name, vm.Generation)
	}
}

// live returns the live gateway VMs with the generations that they told of.
func (in *instance) live() []rule.VM {
	in.mu.Lock()
	defer in.mu.Unlock()
	var vms []rule.VM
	for _, vm := range in.membership.Roster().VMs() {
		if !vm.Leaving {
			vms = append(vms, rule.VM{Name: vm.Name, Generation: in.told.Of(vm.Name)})
		}
	}
	return vms
}
