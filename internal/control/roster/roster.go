// Package roster implements the membership view of a gateway: which endpoint servers
// and gateway VMs exist, and which of them are live or leaving. A Roster is an
// immutable snapshot; each input produces a new one, and nothing in the package
// performs I/O or reads a clock.
//
// No single input is trusted, because each can be late or wrong:
//
//   - The platform's list of VMs is eventually consistent, so a VM listed as live
//     never overrides a leaving mark. A VM listed as leaving is leaving for the rest
//     of that incarnation.
//   - Marks from peers and from the gateway's own observations are merged by
//     mustardsaddle.Mark.Newer, which makes the result independent of their order and
//     repetition.
//   - A load report with Draining set marks the server as leaving at once. Because
//     reports can be misleading, later first-hand reports without Draining revert the
//     mark after some seconds.
//   - A gateway VM whose link has failed is unreachable: this gateway does not count
//     it as live.
//
// The list is read in pages: one for each service, and one, with an empty name, for
// the gateway VMs. Schedule determines which gateway reads which page at what time;
// what a reader finds new is sent to the other gateways.
//
// A VM that is missing from its page counts as leaving, unless more than half of the
// VMs of the page are missing. Such a mass removal is not trusted at first: the
// missing VMs stay live until they have been missing for Config.MassRemovalDelay. A
// page without any entry is ignored. A page that cannot be read is not passed to the
// roster, so that an outage of the platform freezes the roster and never empties it.
//
// # Usage
//
//	r := roster.New(roster.Config{})
//	next := r.WithPage(now, "Booking", machines)
//	broadcast(next.MarksSince(r), next.MachinesSince(r))
//	r = next
//	servers := r.Servers("Booking")
//
//	next, mark, ok := r.Observe(now, "booking-07", report)
//	if ok {
//		broadcast([]mustardsaddle.Mark{mark})
//	}
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// FinalSeq is the Seq of a leaving mark that reports cannot revert, because the
// platform or the VM itself stated that the VM is leaving. Only a higher incarnation
// of the VM is live again.
const FinalSeq int64 = 1<<31 - 1

const (
	defaultMassRemovalDelay    = 30 * time.Second
	defaultRetainRemoved       = time.Minute
	defaultRetainUnlistedMarks = 10 * time.Minute
	defaultRevertReports       = 5
	defaultRevertSpan          = 3 * time.Second
	// maxUnknownMarks bounds the number of marks about VMs that are not in the roster.
	maxUnknownMarks = 4096
)

// Config configures a Roster. Zero values select the defaults.
type Config struct {
	// MassRemovalDelay is how long VMs have to be missing before they count as
	// leaving, if more than half of the VMs of a page are missing.
	MassRemovalDelay time.Duration
	// RetainRemoved is how long a removed VM is still shown as leaving.
	RetainRemoved time.Duration
	// RetainUnlistedMarks is how long a mark about a VM that is not in the roster is
	// kept.
	RetainUnlistedMarks time.Duration
	// RevertReports is how many consecutive reports without Draining revert a leaving
	// mark.
	RevertReports int
	// RevertSpan is the minimum time between the first and the last of those reports.
	RevertSpan time.Duration
}

// Roster is an immutable snapshot of the known VMs. The zero value is an empty roster
// with the default configuration.
type Roster struct {
	cfg         Config
	pages       map[string]page
	entries     map[string]entry
	marks       map[string]storedMark
	unreachable map[string]int64
	evidence    map[string]servingEvidence

	servers map[string][]mustardsaddle.Server
	vms     []mustardsaddle.VM
	peers   []mustardsaddle.VM
}

// page is the newest known content of one page of the platform's list.
type page struct {
	readAt   time.Time
	machines []mustardsaddle.Machine
}

// entry is the state of one VM, from the platform's list or from the VM's own
// introduction over a peer link.
type entry struct {
	mustardsaddle.Machine
	// listed is false for a gateway VM known only by its own introduction.
	listed bool
	// missingSince is when the first page without the VM was read; zero if the newest
	// page lists the VM.
	missingSince time.Time
	// removed is true once the VM counts as leaving because it is missing.
	removed bool
}

// storedMark is a mark with the local time at which it was received.
type storedMark struct {
	mustardsaddle.Mark
	receivedAt time.Time
}

// servingEvidence counts consecutive first-hand reports that contradict one leaving
// mark.
type servingEvidence struct {
	mark  mustardsaddle.Mark
	first time.Time
	count int
}

// New returns an empty roster.
func New(cfg Config) Roster {
	return Roster{cfg: cfg.withDefaults()}
}

func (c Config) withDefaults() Config {
	c.MassRemovalDelay = cmp.Or(c.MassRemovalDelay, defaultMassRemovalDelay)
	c.RetainRemoved = cmp.Or(c.RetainRemoved, defaultRetainRemoved)
	c.RetainUnlistedMarks = cmp.Or(c.RetainUnlistedMarks, defaultRetainUnlistedMarks)
	c.RevertReports = cmp.Or(c.RevertReports, defaultRevertReports)
	c.RevertSpan = cmp.Or(c.RevertSpan, defaultRevertSpan)
	return c
}

// clone returns a copy of r with maps that may be modified.
func (r Roster) clone() Roster {
	r.cfg = r.cfg.withDefaults()
	r.pages = cloneMap(r.pages)
	r.entries = cloneMap(r.entries)
	r.marks = cloneMap(r.marks)
	r.unreachable = cloneMap(r.unreachable)
	r.evidence = cloneMap(r.evidence)
	return r
}

func cloneMap[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// Services returns the names of the services with at least one server, in order.
func (r Roster) Services() []string {
	return slices.Sorted(maps.Keys(r.servers))
}

// Servers returns the servers of a service, ordered by name. It includes leaving
// servers, with Leaving set. The slice must not be modified.
func (r Roster) Servers(service string) []mustardsaddle.Server {
	return r.servers[service]
}

// VMs returns the gateway VMs ordered by name. Leaving is set for VMs that are leaving
// and for those that are unreachable from this gateway. The slice must not be
// modified.
func (r Roster) VMs() []mustardsaddle.VM {
	return r.vms
}

// Peers returns the gateway VMs ordered by name, like VMs, but without Leaving set for
// unreachable ones: connections to them are still attempted, so that the fleet
// reconnects after a network partition. It is the input of Neighbors. The slice must
// not be modified.
func (r Roster) Peers() []mustardsaddle.VM {
	return r.peers
}

// Machines returns the listed VMs, ordered by name, for a peer that cannot read the
// platform's list.
func (r Roster) Machines() []mustardsaddle.Machine {
	return r.machines(func(entry) bool { return true })
}

// MachinesSince returns the VMs, and the newer incarnations of VMs, that an older
// roster lacks, ordered by name. These have yet to be sent to the peers.
func (r Roster) MachinesSince(old Roster) []mustardsaddle.Machine {
	return r.machines(func(e entry) bool {
		before, known := old.entries[e.Name]
		return !known || before.Incarnation < e.Incarnation
	})
}

// machines returns the listed VMs that are not removed and for which keep returns
// true, ordered by name.
func (r Roster) machines(keep func(entry) bool) []mustardsaddle.Machine {
	var machines []mustardsaddle.Machine
	for _, e := range r.entries {
		if e.listed && !e.removed && keep(e) {
			machines = append(machines, e.Machine)
		}
	}
	slices.SortFunc(machines, func(a, b mustardsaddle.Machine) int { return cmp.Compare(a.Name, b.Name) })
	return machines
}

// Gateways returns the number of live gateway VMs. It is at least 1, for the calling
// gateway itself.
func (r Roster) Gateways() int {
	n := 0
	for _, vm := range r.vms {
		if !vm.Leaving {
			n++
		}
	}
	return max(n, 1)
}
