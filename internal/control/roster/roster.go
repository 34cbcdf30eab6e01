// Package roster knows which endpoint servers and which gateway VMs are live or
// leaving. A Roster is an immutable snapshot; each input gives a new one, and
// nothing in the package performs I/O or reads a clock.
//
// No input is trusted alone, because each can be late or wrong:
//
//   - The platform's list names the VMs. It lags, so a "live" in it never undoes
//     a mark. A "leaving" in it is final for that incarnation of the VM.
//   - Marks from peers and from the gateway's own observation are merged by
//     mustardsaddle.Mark.Newer, so that their order and number do not matter.
//   - A report that says Draining makes a mark at once. Because reports can
//     mislead, first-hand reports to the contrary undo it after some seconds.
//   - A gateway VM whose link died is silent: it is not counted as live here.
//
// The list is read in pages: one for each service, and one, with an empty name,
// for the gateway VMs. Schedule decides who reads which page when; what a reader
// finds new travels to the other gateways.
//
// A VM that is missing from its page counts as leaving, unless the page lost more
// than half of its VMs at once. Such a page is doubted: what it lacks stays live
// until the VMs have been missing for Config.Doubt. A page without any entry is
// ignored, and a page that cannot be read is simply not given to the roster, so
// that an outage freezes the roster and never empties it.
//
// # Usage
//
//	r := roster.New(roster.Config{})
//	next := r.WithPage(now, "Booking", machines)
//	spread(next.MarksSince(r), next.MachinesSince(r))
//	r = next
//	servers := r.Servers("Booking")
//
//	next, mark, ok := r.Observe(now, "booking-07", report)
//	if ok {
//		spread([]mustardsaddle.Mark{mark})
//	}
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// FinalSeq is the Seq of a leaving mark that no report undoes: the platform, or
// the VM itself, said that the VM leaves. Only a higher incarnation is live again.
const FinalSeq int64 = 1<<31 - 1

const (
	defaultDoubt       = 30 * time.Second
	defaultRetain      = time.Minute
	defaultMarkRetain  = 10 * time.Minute
	defaultUndoReports = 5
	defaultUndoSpan    = 3 * time.Second
	// maxUnknownMarks bounds the marks about VMs that no list has named yet.
	maxUnknownMarks = 4096
)

// Config configures a Roster. Zero values take the defaults.
type Config struct {
	// Doubt is how long a list that lost more than half of a group is doubted.
	Doubt time.Duration
	// Retain is how long a VM that is believed gone is still shown as leaving.
	Retain time.Duration
	// MarkRetain is how long a mark about a VM that no list names is kept.
	MarkRetain time.Duration
	// UndoReports is how many consecutive reports without Draining undo a mark.
	UndoReports int
	// UndoSpan is the time that those reports span at least.
	UndoSpan time.Duration
}

// Roster is an immutable snapshot of the known VMs. Its zero value is an empty
// roster with the default configuration.
type Roster struct {
	cfg     Config
	pages   map[string]page
	entries map[string]entry
	marks   map[string]heldMark
	silent  map[string]int64
	proofs  map[string]proof

	servers map[string][]mustardsaddle.Server
	vms     []mustardsaddle.VM
	peers   []mustardsaddle.VM
}

// page is the newest content of one page of the platform's list.
type page struct {
	at       time.Time
	machines []mustardsaddle.Machine
}

// entry is what the lists, or a peer's introduction, say of one VM.
type entry struct {
	mustardsaddle.Machine
	// listed is false for a gateway VM known only by its own introduction.
	listed bool
	// missing is the time of the first list that lacks the VM; zero if the
	// newest list names it.
	missing time.Time
	// gone is true once the VM's absence is believed.
	gone bool
}

// heldMark is a mark with the local time at which it became known.
type heldMark struct {
	mustardsaddle.Mark
	at time.Time
}

// proof counts first-hand reports against one leaving mark.
type proof struct {
	mark  mustardsaddle.Mark
	first time.Time
	count int
}

// New returns an empty roster.
func New(cfg Config) Roster {
	return Roster{cfg: cfg.withDefaults()}
}

func (c Config) withDefaults() Config {
	c.Doubt = cmp.Or(c.Doubt, defaultDoubt)
	c.Retain = cmp.Or(c.Retain, defaultRetain)
	c.MarkRetain = cmp.Or(c.MarkRetain, defaultMarkRetain)
	c.UndoReports = cmp.Or(c.UndoReports, defaultUndoReports)
	c.UndoSpan = cmp.Or(c.UndoSpan, defaultUndoSpan)
	return c
}

// clone returns a copy of r whose maps may be changed.
func (r Roster) clone() Roster {
	r.cfg = r.cfg.withDefaults()
	r.pages = cloneMap(r.pages)
	r.entries = cloneMap(r.entries)
	r.marks = cloneMap(r.marks)
	r.silent = cloneMap(r.silent)
	r.proofs = cloneMap(r.proofs)
	return r
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// Services returns the names of the services with at least one server.
func (r Roster) Services() []string {
	return slices.Sorted(maps.Keys(r.servers))
}

// Servers returns the servers of a service, ordered by name. Leaving servers
// are included and say so. The slice must not be changed.
func (r Roster) Servers(service string) []mustardsaddle.Server {
	return r.servers[service]
}

// VMs returns the gateway VMs ordered by name. Leaving says that a VM leaves,
// or is silent as this gateway sees it. The slice must not be changed.
func (r Roster) VMs() []mustardsaddle.VM {
	return r.vms
}

// Peers returns the gateway VMs ordered by name, as VMs does, but does not show
// silent ones as leaving: links to them are still tried, so that a cut network
// joins again. It is what Neighbors takes. The slice must not be changed.
func (r Roster) Peers() []mustardsaddle.VM {
	return r.peers
}

// Machines returns what the lists name, ordered by name, for a peer that cannot
// read the platform's.
func (r Roster) Machines() []mustardsaddle.Machine {
	return r.machines(func(entry) bool { return true })
}

// MachinesSince returns the VMs, and lives of VMs, that an older roster lacks,
// ordered by name: what is still to be spread.
func (r Roster) MachinesSince(old Roster) []mustardsaddle.Machine {
	return r.machines(func(e entry) bool {
		before, known := old.entries[e.Name]
		return !known || before.Incarnation < e.Incarnation
	})
}

// machines returns the listed VMs that are kept and not gone, ordered by name.
func (r Roster) machines(keep func(entry) bool) []mustardsaddle.Machine {
	var machines []mustardsaddle.Machine
	for _, e := range r.entries {
		if e.listed && !e.gone && keep(e) {
			machines = append(machines, e.Machine)
		}
	}
	slices.SortFunc(machines, func(a, b mustardsaddle.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return machines
}

// Gateways returns the number of live gateway VMs, at least 1: the caller.
func (r Roster) Gateways() int {
	n := 0
	for _, vm := range r.vms {
		if !vm.Leaving {
			n++
		}
	}
	return max(n, 1)
}
