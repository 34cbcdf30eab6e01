// Package roster knows which endpoint servers and which gateway VMs are live or
// leaving.
//
// # Usage
//
//	r := roster.New()
//	r = r.WithMachines(now, machines)
//	servers := r.Servers("Booking")
package roster

import (
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Roster is an immutable snapshot of the known VMs.
type Roster struct {
	servers map[string][]mustardsaddle.Server
	vms     []mustardsaddle.VM
}

// New returns an empty roster.
func New() Roster {
	return Roster{}
}

// WithMachines returns the roster after the platform's list came in.
func (Roster) WithMachines(_ time.Time, machines []mustardsaddle.Machine) Roster {
	next := Roster{servers: make(map[string][]mustardsaddle.Server)}
	for _, m := range machines {
		if m.Service == "" {
			next.vms = append(next.vms, mustardsaddle.VM{
				Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Peer: m.Address, Leaving: m.Leaving,
			})
			continue
		}
		next.servers[m.Service] = append(next.servers[m.Service], mustardsaddle.Server{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Service: m.Service, Zone: m.Zone,
			Slots: m.Slots, Connections: m.Connections, Leaving: m.Leaving,
		})
	}
	return next
}

// Services returns the names of the services with at least one server.
func (r Roster) Services() []string {
	names := make([]string, 0, len(r.servers))
	for name := range r.servers {
		names = append(names, name)
	}
	return names
}

// Servers returns the servers of a service.
func (r Roster) Servers(service string) []mustardsaddle.Server {
	return r.servers[service]
}

// VMs returns the gateway VMs.
func (r Roster) VMs() []mustardsaddle.VM {
	return r.vms
}
