package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

// limitedFleet is a fleet without network whose servers all state the same limit.
type limitedFleet struct {
	vms     []mustardsaddle.VM
	servers []string
	quotas  []*quota.Quotas
	helpers []*reach.Helpers
	arrived map[string][]time.Time
	refused int
}

func newLimitedFleet(now time.Time, gateways, servers int, perSecond float64) *limitedFleet {
	f := &limitedFleet{arrived: make(map[string][]time.Time)}
	for i := range gateways {
		f.vms = append(f.vms, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%03d", i), Peer: "10.0.0.1:8082", Incarnation: 1})
	}
	for i := range servers {
		f.servers = append(f.servers, fmt.Sprintf("booking-%02d", i))
	}
	for _, vm := range f.vms {
		q, h := quota.New(), reach.NewHelpers(vm, reach.NewTable())
		q.SetFleet(now, vm.Name, f.vms)
		h.SetFleet(f.vms)
		for _, s := range f.servers {
			q.Set(now, s, mustardsaddle.Statement{}.WithLimit(perSecond))
		}
		f.quotas, f.helpers = append(f.quotas, q), append(f.helpers, h)
	}
	return f
}

// send sends a request to any server for which gateway i has a token, or returns the time
// until it has one.
func (f *limitedFleet) send(now time.Time, i int) (bool, time.Duration) {
	wait := quota.Never
	for _, s := range f.servers {
		if f.quotas[i].Take(now, s) {
			f.arrived[s] = append(f.arrived[s], now)
			return true, 0
		}
		wait = min(wait, f.quotas[i].Wait(now, s))
	}
	return false, wait
}

// call makes one call at gateway i, which forwards it up to the given number of times.
func (f *limitedFleet) call(now time.Time, rng *rand.Rand, i, forwards int) {
	if ok, _ := f.send(now, i); ok {
		return
	}
	need := reach.Need{Service: "Booking", Among: []string{}}
	for _, s := range f.servers {
		need.Among = append(need.Among, f.quotas[i].HolderNames(s)...)
	}
	for range forwards {
		vm, ok := f.helpers[i].Pick(now, rng, need)
		if !ok {
			break
		}
		need.Tried = append(need.Tried, vm.Name)
		other := slices.IndexFunc(f.vms, func(g mustardsaddle.VM) bool { return g.Name == vm.Name })
		sent, wait := f.send(now, other)
		f.helpers[i].Finish(now, reach.Reply{Gateway: vm.Name, Service: "Booking", RetryAfter: wait})
		if sent {
			return
		}
	}
	f.refused++
}

// most returns the largest number of requests that a server got in any 4 s.
func (f *limitedFleet) most() int {
	most := 0
	for _, times := range f.arrived {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= 4*time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return most
}

// TestForwardedCallsUseLimits guards against tokens that are not used because the calls are
// at gateways that hold none, and against a limit that is exceeded because calls are
// forwarded.
func TestForwardedCallsUseLimits(t *testing.T) {
	const (
		servers   = 12
		perSecond = 1.0
		span      = 30 * time.Second
		// settled is the time after which each holder has had a token; it starts without one.
		settled = 3 * time.Second
		step    = 10 * time.Millisecond // a call in each: eight times what the limits allow
		allowed = 11
		minUse  = 0.9
	)
	for _, gateways := range []int{13, 101, 311} {
		for _, called := range []int{2, gateways} {
			for _, forwards := range []int{0, 2} {
				start, rng := time.Unix(1_800_000_000, 0), rand.New(rand.NewPCG(1, uint64(gateways)))
				f := newLimitedFleet(start, gateways, servers, perSecond)
				for now := start; now.Sub(start) < span; now = now.Add(step) {
					f.call(now, rng, rng.IntN(called), forwards)
				}
				sent := 0
				for _, times := range f.arrived {
					first, _ := slices.BinarySearchFunc(times, start.Add(settled), time.Time.Compare)
					sent += len(times) - first
				}
				use := float64(sent) / (servers * perSecond * (span - settled).Seconds())
				t.Logf("%d gateways, calls at %d, forwarded %d times: used %.2f, most in 4 s %d", gateways, called, forwards, use, f.most())
				if forwards > 0 && use < minUse {
					t.Errorf("%d gateways, calls at %d: used %.2f of the limits, want at least %.2f", gateways, called, use, minUse)
				}
				if f.most() > allowed {
					t.Errorf("%d gateways, calls at %d: got %d requests in 4 s, want at most %d", gateways, called, f.most(), allowed)
				}
			}
		}
	}
}

func TestHolderNamesAreThoseThatMayTake(t *testing.T) {
	f := newLimitedFleet(time.Unix(1_800_000_000, 0), 101, 3, 4.5)
	for _, s := range f.servers {
		names := f.quotas[0].HolderNames(s)
		for i, vm := range f.vms[1:] {
			holds := share.Rank(s, f.vms, vm.Name) < quota.Holders(4.5)
			if slices.Contains(names, vm.Name) != holds {
				t.Errorf("server %s, gateway %d: got %t, want %t", s, i+1, !holds, holds)
			}
		}
	}
}
