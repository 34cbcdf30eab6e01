package roster

import (
	"maps"
	"slices"

	"mustardsaddle.example/mustardsaddle"
)

// buildViews computes the servers, VMs and peers of all pages from the entries and
// marks.
func (r *Roster) buildViews() {
	names := make(map[string][]string)
	for name, e := range r.entries {
		names[e.Service] = append(names[e.Service], name)
	}
	r.servers = make(map[string][]mustardsaddle.Server, len(names))
	for page := range names {
		r.updatePage(page, names[page])
	}
}

// buildPageViews is like buildViews for one page, if only its VMs have changed.
func (r *Roster) buildPageViews(page string) {
	var names []string
	for name, e := range r.entries {
		if e.Service == page {
			names = append(names, name)
		}
	}
	r.servers = cloneMap(r.servers)
	r.updatePage(page, names)
}

// updatePage computes the servers, or the VMs and peers, of one page.
func (r *Roster) updatePage(page string, names []string) {
	slices.Sort(names)
	if page != "" && len(names) == 0 {
		delete(r.servers, page)
		return
	}
	if page != "" {
		group := make([]mustardsaddle.Server, len(names))
		for i, name := range names {
			group[i] = r.serverView(r.entries[name])
		}
		r.servers[page] = group
		return
	}
	r.vms, r.peers = make([]mustardsaddle.VM, len(names)), make([]mustardsaddle.VM, len(names))
	for i, name := range names {
		e := r.entries[name]
		vm := r.vmView(e)
		r.peers[i] = vm
		r.vms[i] = vm.WithLeaving(vm.Leaving || r.isUnreachable(e))
	}
}

// updateViews updates the servers, VMs and peers for the named VMs, whose marks have
// changed. Its cost depends on the size of their services, not on the size of the
// fleet.
func (r *Roster) updateViews(names []string) {
	servers, vms, peers := maps.Clone(r.servers), slices.Clone(r.vms), slices.Clone(r.peers)
	for _, name := range names {
		e, known := r.entries[name]
		if !known {
			continue
		}
		if e.Service == "" {
			at := slices.IndexFunc(peers, func(vm mustardsaddle.VM) bool { return vm.Name == name })
			peers[at] = r.vmView(e)
			vms[at] = peers[at].WithLeaving(peers[at].Leaving || r.isUnreachable(e))
			continue
		}
		group := slices.Clone(servers[e.Service])
		at := slices.IndexFunc(group, func(s mustardsaddle.Server) bool { return s.Name == name })
		group[at] = r.serverView(e)
		servers[e.Service] = group
	}
	r.servers, r.vms, r.peers = servers, vms, peers
}

func (r Roster) serverView(e entry) mustardsaddle.Server {
	return mustardsaddle.Server{
		Name: e.Name, Incarnation: e.Incarnation, Address: e.Address, Service: e.Service, Zone: e.Zone,
		Slots: e.Slots, Connections: e.Connections, Leaving: r.isLeaving(e), MayReturn: r.mayReturn(e),
	}
}

func (r Roster) vmView(e entry) mustardsaddle.VM {
	return mustardsaddle.VM{
		Name: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Peer: e.Address, Leaving: r.isLeaving(e),
	}
}

// isUnreachable reports whether the current incarnation of a gateway VM is unreachable.
// The map holds the incarnation plus one, so that 0 means that the VM is reachable.
func (r Roster) isUnreachable(e entry) bool {
	return r.unreachable[e.Name] == e.Incarnation+1
}

// isLeaving reports whether any input shows that a VM is leaving. A leaving mark about
// a higher incarnation than the listed one applies to the listed one too.
func (r Roster) isLeaving(e entry) bool {
	m, marked := r.marks[e.Name]
	return e.removed || marked && m.Incarnation >= e.Incarnation && m.Leaving
}

// mayReturn reports whether a server is leaving according to load reports alone, so
// that later reports can revert the mark.
func (r Roster) mayReturn(e entry) bool {
	m, marked := r.marks[e.Name]
	return !e.removed && marked && m.Incarnation == e.Incarnation && m.Leaving && m.Seq < FinalSeq
}
