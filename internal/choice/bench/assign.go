package bench

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

// claim is the wish of a server's slots for a gateway.
type claim struct {
	gateway int
	score   uint64
}

// rendezvous scores a pair; both ends of a link compute the same score.
func rendezvous(server, gateway string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(server)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(gateway)
	return d.Sum64()
}

// assign divides the slots of the servers among the gateways by rendezvous
// hashing with a bound: each slot goes to the gateway with the highest score
// that has not got its share yet, with those of the server's own zone first. It
// returns the number of slots of each server that fall to the gateway self.
// Equal inputs in any order give an equal and disjoint division.
func assign(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string) map[string]int {
	owned := make(map[string]int)
	if len(gateways) == 0 {
		return owned
	}
	servers = slices.Clone(servers)
	slices.SortFunc(servers, func(a, b mustardsaddle.Server) int { return strings.Compare(a.Name, b.Name) })
	total := 0
	for _, s := range servers {
		total += max(1, s.Slots)
	}
	share := (total + len(gateways) - 1) / len(gateways)
	got := make([]int, len(gateways))
	for _, s := range servers {
		claims := claimsOf(s, gateways)
		for range max(1, s.Slots) {
			i := slices.IndexFunc(claims, func(c claim) bool { return got[c.gateway] < share })
			g := claims[i].gateway
			got[g]++
			if gateways[g].Name == self {
				owned[s.Name]++
			}
		}
	}
	return owned
}

// claimsOf orders the gateways for one server.
func claimsOf(s mustardsaddle.Server, gateways []mustardsaddle.VM) []claim {
	claims := make([]claim, len(gateways))
	for i, g := range gateways {
		score := rendezvous(s.Name, g.Name) >> 1
		if g.Zone == s.Zone {
			score |= 1 << 63
		}
		claims[i] = claim{gateway: i, score: score}
	}
	slices.SortFunc(claims, func(a, b claim) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		default:
			return strings.Compare(gateways[a.gateway].Name, gateways[b.gateway].Name)
		}
	})
	return claims
}

// subset returns the servers that the gateway self has to know, about limit of
// them. Each server is known by an equal number of gateways, those with the
// highest scores, so that none is left out.
func subset(servers []mustardsaddle.Server, gateways []mustardsaddle.VM, self string, limit int) []mustardsaddle.Server {
	if limit <= 0 || len(servers) <= limit || len(gateways) <= 1 {
		return servers
	}
	known := (limit*len(gateways) + len(servers) - 1) / len(servers)
	var mine []mustardsaddle.Server
	for _, s := range servers {
		own, before := rendezvous(s.Name, self), 0
		for _, g := range gateways {
			if rendezvous(s.Name, g.Name) > own {
				before++
			}
		}
		if before < known {
			mine = append(mine, s)
		}
	}
	return mine
}
