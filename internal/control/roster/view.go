package roster

import (
	"maps"
	"slices"

	"mustardsaddle.example/mustardsaddle"
)

// build computes what readers see from the inputs.
func (r *Roster) build() {
	names := make(map[string][]string)
	for name, e := range r.entries {
		names[e.Service] = append(names[e.Service], name)
	}
	r.servers = make(map[string][]mustardsaddle.Server, len(names))
	for page := range names {
		r.show(page, names[page])
	}
}

// buildPage is build for one page, whose VMs alone have changed.
func (r *Roster) buildPage(page string) {
	var names []string
	for name, e := range r.entries {
		if e.Service == page {
			names = append(names, name)
		}
	}
	r.servers = cloneMap(r.servers)
	r.show(page, names)
}

// show computes what readers see of the VMs of a page.
func (r *Roster) show(page string, names []string) {
	slices.Sort(names)
	if page != "" && len(names) == 0 {
		delete(r.servers, page)
		return
	}
	if page != "" {
		group := make([]mustardsaddle.Server, len(names))
		for i, name := range names {
			group[i] = r.serverOf(r.entries[name])
		}
		r.servers[page] = group
		return
	}
	r.vms, r.peers = make([]mustardsaddle.VM, len(names)), make([]mustardsaddle.VM, len(names))
	for i, name := range names {
		e := r.entries[name]
		vm := r.vmOf(e)
		r.peers[i] = vm
		r.vms[i] = vm.WithLeaving(vm.Leaving || r.isSilent(e))
	}
}

// rebuild computes what readers see of the named VMs, whose marks changed. Its
// cost depends on the size of their services, not of the fleet.
func (r *Roster) rebuild(names []string) {
	servers, vms, peers := maps.Clone(r.servers), slices.Clone(r.vms), slices.Clone(r.peers)
	for _, name := range names {
		e, known := r.entries[name]
		if !known {
			continue
		}
		if e.Service == "" {
			at := slices.IndexFunc(peers, func(vm mustardsaddle.VM) bool { return vm.Name == name })
			peers[at] = r.vmOf(e)
			vms[at] = peers[at].WithLeaving(peers[at].Leaving || r.isSilent(e))
			continue
		}
		group := slices.Clone(servers[e.Service])
		at := slices.IndexFunc(group, func(s mustardsaddle.Server) bool { return s.Name == name })
		group[at] = r.serverOf(e)
		servers[e.Service] = group
	}
	r.servers, r.vms, r.peers = servers, vms, peers
}

func (r Roster) serverOf(e entry) mustardsaddle.Server {
	return mustardsaddle.Server{
		Name: e.Name, Incarnation: e.Incarnation, Address: e.Address, Service: e.Service, Zone: e.Zone,
		Slots: e.Slots, Connections: e.Connections, Leaving: r.leaving(e), MayReturn: r.mayReturn(e),
	}
}

func (r Roster) vmOf(e entry) mustardsaddle.VM {
	return mustardsaddle.VM{
		Name: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Peer: e.Address, Leaving: r.leaving(e),
	}
}

func (r Roster) isSilent(e entry) bool {
	return r.silent[e.Name] == e.Incarnation+1
}

// leaving reports whether any input shows that a VM leaves. A leaving mark about
// a life that the list does not show yet holds for the listed life too.
func (r Roster) leaving(e entry) bool {
	m, marked := r.marks[e.Name]
	return e.gone || marked && m.Incarnation >= e.Incarnation && m.Leaving
}

// mayReturn reports whether reports alone show that a server leaves, so that later
// ones can undo it.
func (r Roster) mayReturn(e entry) bool {
	m, marked := r.marks[e.Name]
	return !e.gone && marked && m.Incarnation == e.Incarnation && m.Leaving && m.Seq < FinalSeq
}
