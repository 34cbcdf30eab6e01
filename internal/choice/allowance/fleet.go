package allowance

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"mustardsaddle.example/mustardsaddle"
)

const (
	// candidates is the number of gateways that may grant a slot.
	candidates = 8
	// vanishedFor is the time for which a gateway that ended or was cut off without
	// announcing it still has its share.
	vanishedFor = 10 * time.Minute
	// youngFor is the time from its first list of gateways for which a gateway is young. It
	// assumes that there are at least assumedGateways, because it may not know the others yet.
	youngFor        = time.Second
	assumedGateways = 512
	// retryAfter and maxRetryAfter bound the time for which a granter that failed is not used.
	retryAfter    = 500 * time.Millisecond
	maxRetryAfter = 4 * time.Second
	// unsupportedFor is the time for which a gateway that does not know quotas is not used.
	unsupportedFor = 30 * time.Second
)

// Fleet decides which gateway grants each slot, as one gateway sees the others.
type Fleet struct {
	self string
	// listedAt is when the gateway read its first list; zero if it has not.
	listedAt time.Time
	live     map[string]mustardsaddle.VM
	// vanished holds when a gateway that has not announced its end was last known.
	vanished map[string]time.Time
	// order holds the candidates of each slot.
	order [Slots][]string
	// health holds the state of the other candidates that were used.
	health map[string]health
}

// health is whether a granter can be used.
type health struct {
	ready    bool
	failures int
	retryAt  time.Time
}

// NewFleet returns the Fleet of a gateway that starts now and knows itself alone.
func NewFleet(now time.Time, self string) *Fleet {
	f := &Fleet{self: self, vanished: make(map[string]time.Time), health: make(map[string]health)}
	f.SetGateways(now, []mustardsaddle.VM{{Name: self}})
	return f
}

// SetListed records that the gateway has read a list of all gateways.
func (f *Fleet) SetListed(now time.Time) {
	if f.listedAt.IsZero() {
		f.listedAt = now
	}
}

// SetGateways replaces the known gateways. One that is missing without having been leaving
// keeps its share for a time.
func (f *Fleet) SetGateways(now time.Time, vms []mustardsaddle.VM) {
	old := f.live
	f.live = make(map[string]mustardsaddle.VM, len(vms))
	leaving := make(map[string]bool)
	for _, vm := range vms {
		if vm.Leaving && vm.Name != f.self {
			leaving[vm.Name] = true
			delete(f.vanished, vm.Name)
			continue
		}
		if was, known := f.health[vm.Name]; known && old[vm.Name].Incarnation != vm.Incarnation && !was.ready {
			delete(f.health, vm.Name) // it has been restarted
		}
		f.live[vm.Name] = vm
		delete(f.vanished, vm.Name)
	}
	for name := range old {
		if _, live := f.live[name]; !live && !leaving[name] {
			f.vanished[name] = now
		}
	}
	f.rank()
}

// rank orders the candidates of each slot.
func (f *Fleet) rank() {
	var best [Slots][]scored
	for name := range f.live {
		hash := xxhash.Sum64String(name)
		for slot := range Slots {
			best[slot] = insert(best[slot], scored{name, score(slot, hash)})
		}
	}
	for slot := range Slots {
		f.order[slot] = nil
		for _, s := range best[slot] {
			f.order[slot] = append(f.order[slot], s.name)
		}
	}
	for name := range f.health {
		if _, live := f.live[name]; !live {
			delete(f.health, name)
		}
	}
}

// scored is a gateway with its rendezvous hash for a slot.
type scored struct {
	name  string
	score uint64
}

// insert adds a gateway to the candidates of a slot if it is among the best.
func insert(best []scored, s scored) []scored {
	i, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	if i == candidates {
		return best
	}
	best = slices.Insert(best, i, s)
	return best[:min(candidates, len(best))]
}

// score is the rendezvous hash of a slot and the hash of a gateway's name.
func score(slot int, gateway uint64) uint64 {
	x := gateway ^ (uint64(slot+1) * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Young reports whether the gateway has just started and may not know the others yet. A
// young gateway grants nothing.
func (f *Fleet) Young(now time.Time) bool {
	return f.listedAt.IsZero() || now.Sub(f.listedAt) < youngFor
}

// Known returns the number of gateways that have a share, or a high number if the gateway
// is young.
func (f *Fleet) Known(now time.Time) int {
	if f.Young(now) {
		return max(f.Listed(now), assumedGateways)
	}
	return f.Listed(now)
}

// Listed returns the number of gateways that have a share as far as this one knows.
func (f *Fleet) Listed(now time.Time) int {
	n := len(f.live)
	for name, at := range f.vanished {
		if now.Sub(at) > vanishedFor {
			delete(f.vanished, name)
			continue
		}
		n++
	}
	return max(n, 1)
}

// Granter returns the gateway that grants a slot: the first candidate that is this gateway
// or can be used. It returns false if there is none.
func (f *Fleet) Granter(slot int) (string, bool) {
	for _, name := range f.order[slot] {
		if name == f.self || f.health[name].ready {
			return name, true
		}
	}
	return "", false
}

// Wanted returns the other gateways to which this one needs a connection: for each slot the
// candidates up to the first that can be used and, without one, those that may be tried.
func (f *Fleet) Wanted(now time.Time) []mustardsaddle.VM {
	wanted := make(map[string]mustardsaddle.VM)
	for _, order := range f.order {
		for _, name := range order[:f.usedUpTo(order)] {
			if name != f.self && !now.Before(f.health[name].retryAt) {
				wanted[name] = f.live[name]
			}
		}
	}
	vms := make([]mustardsaddle.VM, 0, len(wanted))
	for _, vm := range wanted {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b mustardsaddle.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

// usedUpTo returns the number of candidates up to the one in use; without one, up to the
// first that has not been tried. It does not count those after this gateway.
func (f *Fleet) usedUpTo(order []string) int {
	if i := slices.Index(order, f.self); i >= 0 {
		order = order[:i]
	}
	ready := func(name string) bool { return f.health[name].ready }
	untried := func(name string) bool { return f.health[name].failures == 0 }
	if i := slices.IndexFunc(order, ready); i >= 0 {
		return i + 1
	}
	if i := slices.IndexFunc(order, untried); i >= 0 {
		return i + 1
	}
	return len(order)
}

// MaskOf returns the slots that a gateway grants to this one.
func (f *Fleet) MaskOf(granter string) Mask {
	mask := Mask(0)
	for slot := range Slots {
		if name, ok := f.Granter(slot); ok && name == granter {
			mask |= 1 << slot
		}
	}
	return mask
}

// SetReady records that a gateway has answered.
func (f *Fleet) SetReady(name string) {
	if _, live := f.live[name]; live {
		f.health[name] = health{ready: true}
	}
}

// SetFailed records that a gateway does not answer, or ended its connection.
func (f *Fleet) SetFailed(now time.Time, name string) {
	if _, live := f.live[name]; !live {
		return
	}
	h := f.health[name]
	wait := min(retryAfter<<min(h.failures, 8), maxRetryAfter)
	f.health[name] = health{failures: h.failures + 1, retryAt: now.Add(wait)}
}

// SetUnused records that the connection to a gateway was closed because another one is used.
// It grants again only after an answer.
func (f *Fleet) SetUnused(name string) {
	if f.health[name].ready {
		delete(f.health, name)
	}
}

// SetUnsupported records that a gateway is of a build that does not know quotas.
func (f *Fleet) SetUnsupported(now time.Time, name string) {
	if _, live := f.live[name]; live {
		f.health[name] = health{failures: 1, retryAt: now.Add(unsupportedFor)}
	}
}
