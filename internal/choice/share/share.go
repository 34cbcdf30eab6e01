// Package share assigns the endpoint servers of a service to the live gateways by
// rendezvous hashing: gateways that know the same servers and gateways compute the
// same assignment without exchanging messages.
//
// # Usage
//
//	known := share.Subset(servers, gateways, "gateway-1", 64)
//	assigned := share.Slots(known, gateways, "gateway-1")
package share

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// rendezvous returns the rendezvous hash of a server and a gateway from the hashes
// of their names. Every gateway computes the same score. Mixing two hashes takes a
// tenth of the time of hashing the pair, which matters with hundreds of gateways
// and services.
func rendezvous(server, gateway uint64) uint64 {
	x := server ^ (gateway * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// hashes returns the hashes of the gateways' names.
func hashes(gateways []mustardsaddle.VM) []uint64 {
	out := make([]uint64, len(gateways))
	for i, g := range gateways {
		out[i] = xxhash.Sum64String(g.Name)
	}
	return out
}

// Slots assigns the slots of the servers to the gateways by rendezvous hashing with
// bounded loads: each slot goes to the gateway with the highest score among those
// below their quota, and gateways in the server's zone come first. It returns how
// many slots of each server are assigned to the gateway self. Servers and gateways
// must be ordered by name, so that all gateways compute the same, disjoint
// assignment.
func Slots(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string) map[string]int {
	ownSlots := make(map[string]int)
	if len(gateways) == 0 {
		return ownSlots
	}
	total := 0
	for _, s := range servers {
		total += max(1, s.Slots)
	}
	quota := (total + len(gateways) - 1) / len(gateways)
	assigned := make([]int, len(gateways))
	gatewayHashes := hashes(gateways)
	for _, s := range servers {
		serverHash := xxhash.Sum64String(s.Name)
		for range max(1, s.Slots) {
			i := highestScore(s, serverHash, gateways, gatewayHashes, func(i int) bool { return assigned[i] < quota })
			assigned[i]++
			if gateways[i].Name == self {
				ownSlots[s.Name]++
			}
		}
	}
	return ownSlots
}

// highestScore returns the index of the available gateway with the highest score.
func highestScore(s mustardsaddle.Server, serverHash uint64, gateways []mustardsaddle.VM, gatewayHashes []uint64, available func(int) bool) int {
	best, bestScore := -1, uint64(0)
	for i, g := range gateways {
		if !available(i) {
			continue
		}
		score := rendezvous(serverHash, gatewayHashes[i]) >> 1
		if g.Zone == s.Zone {
			score |= 1 << 63
		}
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	return best
}

// Subset returns the servers that the gateway self has to know, about limit of
// them. Each server is assigned to the same number of gateways, those with the
// highest scores, so that none is left without a gateway.
func Subset(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string, limit int) []mustardsaddle.Server {
	if limit <= 0 || len(servers) <= limit || len(gateways) <= 1 {
		return servers
	}
	gatewaysPerServer := perServer(limit, len(gateways), len(servers))
	var subset []mustardsaddle.Server
	gatewayHashes, selfHash := hashes(gateways), xxhash.Sum64String(self)
	for _, s := range servers {
		if rank(xxhash.Sum64String(s.Name), selfHash, gatewayHashes) < gatewaysPerServer {
			subset = append(subset, s)
		}
	}
	return subset
}

// minFarPerServer is the number of gateways in the order over all zones to which ZoneSubset
// assigns each server, so that holders of shares of a limit have it.
const minFarPerServer = 8

// ZoneSubset returns the servers that the gateway self has to know if calls prefer
// servers of their own zone: about limit of its own zone, and a reserve of all zones that
// grows by the number that its own zone lacks. Each server is assigned to the same number
// of gateways of its zone, and to the first gateways in the order over all zones, so that
// none is left without a gateway. Servers that are leaving or evacuated do not count
// towards those that the zone has.
func ZoneSubset(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string, limit int) []mustardsaddle.Server {
	i := slices.IndexFunc(gateways, func(g mustardsaddle.VM) bool { return g.Name == self })
	if i < 0 || limit <= 0 || len(servers) <= limit || len(gateways) <= 1 {
		return Subset(servers, gateways, self, limit)
	}
	zone := gateways[i].Zone
	var neighbors []mustardsaddle.VM
	for _, g := range gateways {
		if g.Zone == zone {
			neighbors = append(neighbors, g)
		}
	}
	own, usable := zoneSize(servers, zone)
	reserve := max(limit/4, limit-usable)
	nearPerServer := perServer(limit, len(neighbors), own)
	farPerServer := max(perServer(reserve, len(gateways), len(servers)), minFarPerServer)
	nearHashes, allHashes, selfHash := hashes(neighbors), hashes(gateways), xxhash.Sum64String(self)
	var subset []mustardsaddle.Server
	for _, s := range servers {
		serverHash := xxhash.Sum64String(s.Name)
		if s.Zone == zone && rank(serverHash, selfHash, nearHashes) < nearPerServer || rank(serverHash, selfHash, allHashes) < farPerServer {
			subset = append(subset, s)
		}
	}
	return subset
}

// zoneSize returns the number of servers in a zone, and how many of them may get requests.
func zoneSize(servers []mustardsaddle.Server, zone string) (all, usable int) {
	for _, s := range servers {
		if s.Zone != zone {
			continue
		}
		all++
		if !s.Leaving && !s.Evacuated {
			usable++
		}
	}
	return all, usable
}

// perServer returns how many of the gateways each server is assigned to if each gateway
// gets about limit servers.
func perServer(limit, gateways, servers int) int {
	return (limit*gateways + max(servers, 1) - 1) / max(servers, 1)
}

// Rank returns how many of the gateways have a higher score for a server than the
// gateway self. The gateways of the lowest ranks are those that have the server in their
// Subset.
func Rank(server string, gateways []mustardsaddle.VM, self string) int {
	return rank(xxhash.Sum64String(server), xxhash.Sum64String(self), hashes(gateways))
}

// First returns the names of the n gateways with the lowest ranks for a server.
func First(server string, gateways []mustardsaddle.VM, n int) []string {
	serverHash := xxhash.Sum64String(server)
	order := make([]int, len(gateways))
	scores := make([]uint64, len(gateways))
	for i, h := range hashes(gateways) {
		order[i], scores[i] = i, rendezvous(serverHash, h)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(scores[b], scores[a]) })
	names := make([]string, min(n, len(order)))
	for i := range names {
		names[i] = gateways[order[i]].Name
	}
	return names
}

// rank is Rank for the hashes of the names.
func rank(server, self uint64, gateways []uint64) int {
	selfScore, higher := rendezvous(server, self), 0
	for _, g := range gateways {
		if rendezvous(server, g) > selfScore {
			higher++
		}
	}
	return higher
}
