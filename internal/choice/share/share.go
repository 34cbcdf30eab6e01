// Package share divides the endpoint servers of a service among the live gateways,
// by rendezvous hashing: gateways that know the same servers and gateways come to
// the same division without a message.
//
// # Usage
//
//	known := share.Subset(servers, gateways, "gateway-1", 64)
//	owned := share.Slots(known, gateways, "gateway-1")
package share

import (
	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// rendezvous scores a pair of hashed names. Every gateway computes the same
// score. Mixing two hashes costs a tenth of hashing the pair, which counts with
// hundreds of gateways and services.
func rendezvous(server, gateway uint64) uint64 {
	x := server ^ (gateway * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// hashes returns the hashed names of the gateways.
func hashes(gateways []mustardsaddle.VM) []uint64 {
	out := make([]uint64, len(gateways))
	for i, g := range gateways {
		out[i] = xxhash.Sum64String(g.Name)
	}
	return out
}

// Slots divides the slots of the servers among the gateways by rendezvous
// hashing with a bound: each slot goes to the gateway with the highest score
// that has not got its share yet, with those of the server's own zone first. It
// returns the number of slots of each server that fall to the gateway self.
// Servers and gateways are ordered by name, so that all gateways come to the
// same, disjoint division.
func Slots(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string) map[string]int {
	owned := make(map[string]int)
	if len(gateways) == 0 {
		return owned
	}
	total := 0
	for _, s := range servers {
		total += max(1, s.Slots)
	}
	share := (total + len(gateways) - 1) / len(gateways)
	got := make([]int, len(gateways))
	names := hashes(gateways)
	for _, s := range servers {
		own := xxhash.Sum64String(s.Name)
		for range max(1, s.Slots) {
			i := preferred(s, own, gateways, names, func(i int) bool { return got[i] < share })
			got[i]++
			if gateways[i].Name == self {
				owned[s.Name]++
			}
		}
	}
	return owned
}

// preferred returns the index of the gateway with the highest score of those
// that may have more.
func preferred(s mustardsaddle.Server, own uint64, gateways []mustardsaddle.VM, names []uint64, open func(int) bool) int {
	best, highest := -1, uint64(0)
	for i, g := range gateways {
		if !open(i) {
			continue
		}
		score := rendezvous(own, names[i]) >> 1
		if g.Zone == s.Zone {
			score |= 1 << 63
		}
		if best < 0 || score > highest {
			best, highest = i, score
		}
	}
	return best
}

// Subset returns the servers that the gateway self has to know, about limit of
// them. Each server is known by an equal number of gateways, those with the
// highest scores, so that none is left out.
func Subset(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string, limit int) []mustardsaddle.Server {
	if limit <= 0 || len(servers) <= limit || len(gateways) <= 1 {
		return servers
	}
	known := (limit*len(gateways) + len(servers) - 1) / len(servers)
	var mine []mustardsaddle.Server
	names, selfName := hashes(gateways), xxhash.Sum64String(self)
	for _, s := range servers {
		name := xxhash.Sum64String(s.Name)
		own, before := rendezvous(name, selfName), 0
		for _, g := range names {
			if rendezvous(name, g) > own {
				before++
			}
		}
		if before < known {
			mine = append(mine, s)
		}
	}
	return mine
}
