package roster

import (
	"mustardsaddle.example/mustardsaddle"
)

// WithVM returns the roster after a gateway VM introduced itself over a link, which
// also makes it reachable again. The VM need not be listed yet. A later incarnation of a
// listed VM counts as listed, so that it is dialed after it has become unreachable.
func (r Roster) WithVM(vm mustardsaddle.VM) Roster {
	old, known := r.entries[vm.Name]
	if known && old.Incarnation >= vm.Incarnation && !old.removed && r.unreachable[vm.Name] == 0 {
		return r
	}
	if known && old.Incarnation > vm.Incarnation {
		return r
	}
	next := r.clone()
	delete(next.unreachable, vm.Name)
	if !known || old.Incarnation < vm.Incarnation || old.removed {
		next.entries[vm.Name] = entry{Machine: mustardsaddle.Machine{
			Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer,
		}, listed: old.listed && !old.removed}
	}
	next.buildViews()
	return next
}

// WithUnreachable returns the roster after a gateway VM stopped responding on its
// link and became unreachable. Reachability is this gateway's own view: it is not
// sent to peers, and WithVM restores it. A VM that is not listed is dropped.
func (r Roster) WithUnreachable(name string) Roster {
	e, known := r.entries[name]
	if !known || e.Service != "" || r.isUnreachable(e) {
		return r
	}
	next := r.clone()
	if e.listed {
		next.unreachable[name] = e.Incarnation + 1
	} else {
		delete(next.entries, name)
	}
	next.buildViews()
	return next
}
