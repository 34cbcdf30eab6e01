package roster

import (
	"mustardsaddle.example/mustardsaddle"
)

// WithVM returns the roster after a gateway VM introduced itself over a link,
// which also ends its silence. The list need not name it yet.
func (r Roster) WithVM(vm mustardsaddle.VM) Roster {
	old, known := r.entries[vm.Name]
	if known && old.Incarnation >= vm.Incarnation && !old.gone && r.silent[vm.Name] == 0 {
		return r
	}
	if known && old.Incarnation > vm.Incarnation {
		return r
	}
	next := r.clone()
	delete(next.silent, vm.Name)
	if !known || old.Incarnation < vm.Incarnation || old.gone {
		next.entries[vm.Name] = entry{Machine: mustardsaddle.Machine{
			Name: vm.Name, Incarnation: vm.Incarnation, Zone: vm.Zone, Address: vm.Peer,
		}}
	}
	next.build()
	return next
}

// WithSilent returns the roster after a gateway VM stopped answering on its
// link. Silence is this gateway's own view: it is not spread, and WithVM ends it.
// A VM that no list names is forgotten.
func (r Roster) WithSilent(name string) Roster {
	e, known := r.entries[name]
	if !known || e.Service != "" || r.isSilent(e) {
		return r
	}
	next := r.clone()
	if e.listed {
		next.silent[name] = e.Incarnation + 1
	} else {
		delete(next.entries, name)
	}
	next.build()
	return next
}
