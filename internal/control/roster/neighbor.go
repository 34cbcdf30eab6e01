package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// minPairLinks is how many links join two availability zones at least, so that
// the loss of one VM does not part them.
const minPairLinks = 2

// NeighborConfig configures Neighbors. Zero values take the defaults.
type NeighborConfig struct {
	// Across is how many links to other availability zones a VM has on average.
	Across int
}

const defaultAcross = 2

// returnCallers is how many gateways call the address of a VM that has left.
const returnCallers = 2

// Rank returns the place of self among the live VMs in the rendezvous order of
// key, from 0. Every gateway that knows the same VMs computes the same order, so
// that duties are shared without talking: rank 0 tries first. A self that is not
// among the live VMs ranks after all of them.
func Rank(vms []mustardsaddle.VM, self, key string) int {
	own := weight(self, key)
	rank, present := 0, false
	for _, vm := range vms {
		if vm.Leaving {
			continue
		}
		if vm.Name == self {
			present = true
			continue
		}
		if before(weight(vm.Name, key), vm.Name, own, self) {
			rank++
		}
	}
	if !present {
		return countLive(vms)
	}
	return rank
}

// ZoneRank is Rank among the live VMs in the availability zone of self. The VMs
// with a ZoneRank below k are, for example, the k watchers of a key per zone.
func ZoneRank(vms []mustardsaddle.VM, self, key string) int {
	at := slices.IndexFunc(vms, func(vm mustardsaddle.VM) bool { return vm.Name == self })
	if at < 0 {
		return countLive(vms)
	}
	var near []mustardsaddle.VM
	for _, vm := range vms {
		if vm.Zone == vms[at].Zone {
			near = append(near, vm)
		}
	}
	return Rank(near, self, key)
}

func countLive(vms []mustardsaddle.VM) int {
	n := 0
	for _, vm := range vms {
		if !vm.Leaving {
			n++
		}
	}
	return n
}

// weight is the rendezvous weight of a VM for a key.
func weight(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// before orders by weight, then by name.
func before(w uint64, name string, other uint64, otherName string) bool {
	if w != other {
		return w < other
	}
	return name < otherName
}

// Neighbors returns the VMs, of Roster.Peers, to which self keeps links, ordered
// by name. A self that is not among the VMs has none. The relation is symmetric,
// and the graph of all links stays connected when any one VM or any one
// availability zone is lost:
//
//   - In its zone, a VM is linked to the next and the previous VM of a ring in
//     rendezvous order, and to those a square root of the zone's size away, which
//     keeps paths short.
//   - Every pair of zones is joined by at least two links between different VMs
//     where the zones have them; Across links a VM on average.
//
// The number of links a VM depends on the number of zones, not of VMs.
func Neighbors(vms []mustardsaddle.VM, self string, cfg NeighborConfig) []mustardsaddle.VM {
	zones := make(map[string][]mustardsaddle.VM)
	home := ""
	for _, vm := range vms {
		if vm.Name == self {
			home = vm.Zone
		}
		if vm.Name == self || !vm.Leaving {
			zones[vm.Zone] = append(zones[vm.Zone], vm)
		}
	}
	if len(zones[home]) == 0 {
		return nil
	}
	found := make(map[string]mustardsaddle.VM)
	addRing(found, order(zones[home], home), self)
	across := cmp.Or(cfg.Across, defaultAcross)
	for zone, far := range zones {
		if zone == home {
			continue
		}
		low, high := min(zone, home), max(zone, home)
		key := low + "\x00" + high
		links := pairLinks(len(zones[home]), len(far), len(zones)-1, across)
		addPair(found, order(zones[home], key), order(far, key), self, links)
	}
	delete(found, self)
	return sorted(found)
}

// Returning returns the VMs, of Roster.Peers, that have left and whose address self
// goes on calling for the others. A gateway that starts there next may reach neither
// the platform nor, not knowing any, its peers. Each such VM is called by
// returnCallers live ones.
func Returning(vms []mustardsaddle.VM, self string) []mustardsaddle.VM {
	var calls []mustardsaddle.VM
	for _, vm := range vms {
		if vm.Leaving && vm.Name != self && Rank(vms, self, "Returning/"+vm.Name) < returnCallers {
			calls = append(calls, vm)
		}
	}
	return calls
}

// order returns the VMs in the rendezvous order of a key.
func order(vms []mustardsaddle.VM, key string) []mustardsaddle.VM {
	weights := make(map[string]uint64, len(vms))
	for _, vm := range vms {
		weights[vm.Name] = weight(vm.Name, key)
	}
	ordered := slices.Clone(vms)
	slices.SortFunc(ordered, func(a, b mustardsaddle.VM) int {
		return cmp.Or(cmp.Compare(weights[a.Name], weights[b.Name]), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

// addRing adds the neighbors of self in the ring of its zone.
func addRing(found map[string]mustardsaddle.VM, ring []mustardsaddle.VM, self string) {
	n := len(ring)
	at := slices.IndexFunc(ring, func(vm mustardsaddle.VM) bool { return vm.Name == self })
	if at < 0 {
		return
	}
	for _, step := range []int{1, int(math.Round(math.Sqrt(float64(n))))} {
		next, previous := ring[(at+step)%n], ring[(at-step%n+n)%n]
		found[next.Name] = next
		found[previous.Name] = previous
	}
}

// pairLinks returns how many links join two zones of the given sizes, when each
// zone has peers other zones.
func pairLinks(size, other, peers, across int) int {
	small, large := min(size, other), max(size, other)
	share := (small*across + peers - 1) / peers
	return min(max(share, minPairLinks), large)
}

// addPair adds the neighbors of self among the first links pairs of two zones.
func addPair(found map[string]mustardsaddle.VM, near, far []mustardsaddle.VM, self string, links int) {
	for i := range links {
		if near[i%len(near)].Name == self {
			vm := far[i%len(far)]
			found[vm.Name] = vm
		}
	}
}

func sorted(found map[string]mustardsaddle.VM) []mustardsaddle.VM {
	vms := make([]mustardsaddle.VM, 0, len(found))
	for _, vm := range found {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b mustardsaddle.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}
