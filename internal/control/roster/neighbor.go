package roster

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// minPairLinks is the minimum number of links between two availability zones, so that
// the loss of one VM does not disconnect them.
const minPairLinks = 2

// NeighborConfig configures Neighbors. Zero values select the defaults.
type NeighborConfig struct {
	// CrossZoneLinks is the average number of links from a VM to other availability
	// zones.
	CrossZoneLinks int
}

const defaultCrossZoneLinks = 2

// redialers is how many gateways keep dialing the address of a VM that has left.
const redialers = 2

// Rank returns the position, from 0, of self among the live VMs in the rendezvous
// order of key. Every gateway that knows the same VMs computes the same order, so that
// duties are assigned without coordination: rank 0 acts first. A self that is not
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

// ZoneRank is like Rank among the live VMs in the availability zone of self. For
// example, the VMs with a ZoneRank below k are the k watchers of a key in each zone.
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

// weight returns the rendezvous hash of a VM for a key.
func weight(name, key string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// before reports whether a VM precedes another one by weight, then by name.
func before(w uint64, name string, other uint64, otherName string) bool {
	if w != other {
		return w < other
	}
	return name < otherName
}

// Neighbors returns those of the VMs, which come from Roster.Peers, to which self
// keeps links, ordered by name. A self that is not among the VMs has no neighbors. The
// relation is symmetric, and the graph of all links stays connected if any single VM
// or any single availability zone is lost:
//
//   - In its zone, a VM is linked to its successor and predecessor on a ring in
//     rendezvous order, and to the VMs at a distance of the square root of the zone's
//     size, which keeps paths short.
//   - Every pair of zones is connected by at least two links, between different VMs if
//     the zones have them. On average a VM has CrossZoneLinks links to other zones.
//
// The number of links per VM depends on the number of zones, not on the number of VMs.
func Neighbors(vms []mustardsaddle.VM, self string, cfg NeighborConfig) []mustardsaddle.VM {
	zones := make(map[string][]mustardsaddle.VM)
	localZone := ""
	for _, vm := range vms {
		if vm.Name == self {
			localZone = vm.Zone
		}
		if vm.Name == self || !vm.Leaving {
			zones[vm.Zone] = append(zones[vm.Zone], vm)
		}
	}
	if len(zones[localZone]) == 0 {
		return nil
	}
	neighbors := make(map[string]mustardsaddle.VM)
	addRing(neighbors, rendezvousOrder(zones[localZone], localZone), self)
	crossZoneLinks := cmp.Or(cfg.CrossZoneLinks, defaultCrossZoneLinks)
	for zone, far := range zones {
		if zone == localZone {
			continue
		}
		low, high := min(zone, localZone), max(zone, localZone)
		key := low + "\x00" + high
		links := pairLinks(len(zones[localZone]), len(far), len(zones)-1, crossZoneLinks)
		addPair(neighbors, rendezvousOrder(zones[localZone], key), rendezvousOrder(far, key), self, links)
	}
	delete(neighbors, self)
	return sorted(neighbors)
}

// DepartedToDial returns those of the VMs, which come from Roster.Peers, that have
// left and whose addresses self keeps dialing on behalf of the fleet. A gateway that
// starts at such an address may be unable to reach the platform, and then knows no
// peers to connect to. Each of these VMs is dialed by redialers live gateways.
func DepartedToDial(vms []mustardsaddle.VM, self string) []mustardsaddle.VM {
	var dialed []mustardsaddle.VM
	for _, vm := range vms {
		if vm.Leaving && vm.Name != self && Rank(vms, self, "Returning/"+vm.Name) < redialers {
			dialed = append(dialed, vm)
		}
	}
	return dialed
}

// rendezvousOrder returns the VMs in the rendezvous order of a key.
func rendezvousOrder(vms []mustardsaddle.VM, key string) []mustardsaddle.VM {
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

// addRing adds the neighbors of self on the ring of its zone.
func addRing(neighbors map[string]mustardsaddle.VM, ring []mustardsaddle.VM, self string) {
	n := len(ring)
	at := slices.IndexFunc(ring, func(vm mustardsaddle.VM) bool { return vm.Name == self })
	if at < 0 {
		return
	}
	for _, step := range []int{1, int(math.Round(math.Sqrt(float64(n))))} {
		next, previous := ring[(at+step)%n], ring[(at-step%n+n)%n]
		neighbors[next.Name] = next
		neighbors[previous.Name] = previous
	}
}

// pairLinks returns the number of links between two zones of the given sizes, if each
// zone is connected to peers other zones.
func pairLinks(size, other, peers, crossZoneLinks int) int {
	small, large := min(size, other), max(size, other)
	share := (small*crossZoneLinks + peers - 1) / peers
	return min(max(share, minPairLinks), large)
}

// addPair adds the neighbors of self among the first links VM pairs of two zones,
// where near is the zone of self.
func addPair(neighbors map[string]mustardsaddle.VM, near, far []mustardsaddle.VM, self string, links int) {
	for i := range links {
		if near[i%len(near)].Name == self {
			vm := far[i%len(far)]
			neighbors[vm.Name] = vm
		}
	}
}

func sorted(neighbors map[string]mustardsaddle.VM) []mustardsaddle.VM {
	vms := make([]mustardsaddle.VM, 0, len(neighbors))
	for _, vm := range neighbors {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b mustardsaddle.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}
