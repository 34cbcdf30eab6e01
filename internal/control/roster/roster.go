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

// WithPage returns the roster after a page of the platform's list came in at now.
// A page that was read before the newest known one adds leaving marks and higher
// incarnations, and brings no VM back. VMs of other pages are passed over.
func (r Roster) WithPage(now time.Time, name string, machines []mustardsaddle.Machine) Roster {
	machines = slices.DeleteFunc(slices.Clone(machines), func(m mustardsaddle.Machine) bool { return m.Service != name })
	if len(machines) == 0 {
		return r
	}
	old := r.pages[name]
	if r.settled(now, name) && slices.Equal(machines, old.machines) {
		r.pages = cloneMap(r.pages)
		r.pages[name] = page{at: later(old.at, now), machines: old.machines}
		return r
	}
	next := r.clone()
	for _, m := range machines {
		if m.Leaving {
			next.setMark(now, mustardsaddle.Mark{Name: m.Name, Incarnation: m.Incarnation, Seq: FinalSeq, Leaving: true})
		}
	}
	if now.Before(old.at) {
		next.takeOldPage(old.at, machines)
	} else {
		next.pages[name] = page{at: now, machines: machines}
		next.takePage(now, name, machines)
		next.dropOld(now, name)
	}
	next.buildPage(name)
	return next
}

// WithPageUnchanged returns the roster after a page was read at now and found to be
// as it was. Time alone can end the doubt about a page.
func (r Roster) WithPageUnchanged(now time.Time, name string) Roster {
	return r.WithPage(now, name, r.pages[name].machines)
}

// settled reports whether an equal page would change nothing at now: none of its
// VMs is missing and no mark is to be dropped.
func (r Roster) settled(now time.Time, page string) bool {
	known := len(r.servers[page])
	if page == "" {
		known = len(r.peers)
	}
	if known != len(r.pages[page].machines) {
		return false
	}
	retain := r.cfg.withDefaults().MarkRetain
	for name, m := range r.marks {
		if _, ok := r.entries[name]; !ok && now.Sub(m.at) >= retain {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// WithPeerList returns the roster after a peer told what its list names. It adds
// VMs, and lives of VMs, that are unknown here, and removes none: it serves a
// gateway that starts while the platform's list cannot be read.
func (r Roster) WithPeerList(machines []mustardsaddle.Machine) Roster {
	next := r.clone()
	for _, m := range machines {
		if e, known := next.entries[m.Name]; !known || m.Incarnation > e.Incarnation {
			next.entries[m.Name] = entry{Machine: m, listed: true}
		}
		if m.Leaving {
			next.setMark(r.pages[m.Service].at, mustardsaddle.Mark{Name: m.Name, Incarnation: m.Incarnation, Seq: FinalSeq, Leaving: true})
		}
	}
	next.build()
	return next
}

// takeOldPage adds what a page older than the newest one, read at newest, still
// tells.
func (r *Roster) takeOldPage(newest time.Time, machines []mustardsaddle.Machine) {
	for _, m := range machines {
		e, known := r.entries[m.Name]
		if !known {
			r.entries[m.Name] = entry{Machine: m, listed: true, missing: newest, gone: true}
			continue
		}
		if m.Incarnation > e.Incarnation {
			e.Machine = m
			r.entries[m.Name] = e
		}
	}
}

// takePage replaces the listed entries of a page, and decides which missing VMs
// are gone.
func (r *Roster) takePage(now time.Time, page string, machines []mustardsaddle.Machine) {
	named := make(map[string]bool, len(machines))
	for _, m := range machines {
		named[m.Name] = true
		if old, ok := r.entries[m.Name]; ok && old.Incarnation > m.Incarnation {
			m = old.Machine
		}
		r.entries[m.Name] = entry{Machine: m, listed: true}
	}
	lost, known := 0, 0
	for name, e := range r.entries {
		if e.Service != page || !e.listed || e.gone {
			continue
		}
		known++
		if named[name] {
			continue
		}
		lost++
		if e.missing.IsZero() {
			e.missing = now
			r.entries[name] = e
		}
	}
	for name, e := range r.entries {
		if e.Service != page || e.missing.IsZero() || e.gone {
			continue
		}
		doubted := 2*lost > known
		e.gone = !doubted || now.Sub(e.missing) >= r.cfg.Doubt
		r.entries[name] = e
	}
}

// dropOld forgets VMs of a page that are gone for long, and marks about unknown VMs.
func (r *Roster) dropOld(now time.Time, page string) {
	for name, e := range r.entries {
		if e.Service == page && e.gone && now.Sub(e.missing) >= r.cfg.Retain {
			delete(r.entries, name)
		}
	}
	for name, m := range r.marks {
		e, known := r.entries[name]
		if known && m.Incarnation < e.Incarnation || !known && now.Sub(m.at) >= r.cfg.MarkRetain {
			delete(r.marks, name)
		}
	}
	for name := range r.proofs {
		if _, known := r.entries[name]; !known {
			delete(r.proofs, name)
		}
	}
	for name := range r.silent {
		if _, known := r.entries[name]; !known {
			delete(r.silent, name)
		}
	}
}

// WithMarks returns the roster after marks became known at now, from a peer or
// from the gateway itself. Marks that are not newer than the known ones change
// nothing.
func (r Roster) WithMarks(now time.Time, marks []mustardsaddle.Mark) Roster {
	next := r
	var changed []string
	for _, m := range marks {
		if !next.accepts(m) {
			continue
		}
		if changed == nil {
			next.marks = cloneMap(r.marks)
		}
		next.setMark(now, m)
		changed = append(changed, m.Name)
	}
	if changed != nil {
		next.rebuild(changed)
	}
	return next
}

// WithMark is WithMarks for one mark.
func (r Roster) WithMark(now time.Time, mark mustardsaddle.Mark) Roster {
	return r.WithMarks(now, []mustardsaddle.Mark{mark})
}

// accepts reports whether a mark is newer than what is known, not about a life
// that is over, and has room.
func (r Roster) accepts(m mustardsaddle.Mark) bool {
	e, known := r.entries[m.Name]
	if known && m.Incarnation < e.Incarnation {
		return false
	}
	if old, marked := r.marks[m.Name]; marked {
		return m.Newer(old.Mark)
	}
	return known || len(r.marks) < len(r.entries)+maxUnknownMarks
}

// setMark keeps the newer of the known mark and m.
func (r *Roster) setMark(now time.Time, m mustardsaddle.Mark) {
	if r.accepts(m) {
		r.marks[m.Name] = heldMark{Mark: m, at: now}
	}
}

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

// build computes what readers see from the inputs.
func (r *Roster) build() {
	names := make(map[string][]string)
	for name, e := range r.entries {
		names[e.Service] = append(names[e.Service], name)
	}
	r.servers = make(map[string][]mustardsaddle.Server, len(names))
	for page := range names {
		r.show(page, names[page])
	}
}

// buildPage is build for one page, whose VMs alone have changed.
func (r *Roster) buildPage(page string) {
	var names []string
	for name, e := range r.entries {
		if e.Service == page {
			names = append(names, name)
		}
	}
	r.servers = cloneMap(r.servers)
	r.show(page, names)
}

// show computes what readers see of the VMs of a page.
func (r *Roster) show(page string, names []string) {
	slices.Sort(names)
	if page != "" && len(names) == 0 {
		delete(r.servers, page)
		return
	}
	if page != "" {
		group := make([]mustardsaddle.Server, len(names))
		for i, name := range names {
			group[i] = r.serverOf(r.entries[name])
		}
		r.servers[page] = group
		return
	}
	r.vms, r.peers = make([]mustardsaddle.VM, len(names)), make([]mustardsaddle.VM, len(names))
	for i, name := range names {
		e := r.entries[name]
		vm := r.vmOf(e)
		r.peers[i] = vm
		r.vms[i] = vm.WithLeaving(vm.Leaving || r.isSilent(e))
	}
}

// rebuild computes what readers see of the named VMs, whose marks changed. Its
// cost depends on the size of their services, not of the fleet.
func (r *Roster) rebuild(names []string) {
	servers, vms, peers := maps.Clone(r.servers), slices.Clone(r.vms), slices.Clone(r.peers)
	for _, name := range names {
		e, known := r.entries[name]
		if !known {
			continue
		}
		if e.Service == "" {
			at := slices.IndexFunc(peers, func(vm mustardsaddle.VM) bool { return vm.Name == name })
			peers[at] = r.vmOf(e)
			vms[at] = peers[at].WithLeaving(peers[at].Leaving || r.isSilent(e))
			continue
		}
		group := slices.Clone(servers[e.Service])
		at := slices.IndexFunc(group, func(s mustardsaddle.Server) bool { return s.Name == name })
		group[at] = r.serverOf(e)
		servers[e.Service] = group
	}
	r.servers, r.vms, r.peers = servers, vms, peers
}

func (r Roster) serverOf(e entry) mustardsaddle.Server {
	return mustardsaddle.Server{
		Name: e.Name, Incarnation: e.Incarnation, Address: e.Address, Service: e.Service, Zone: e.Zone,
		Slots: e.Slots, Connections: e.Connections, Leaving: r.leaving(e), MayReturn: r.mayReturn(e),
	}
}

func (r Roster) vmOf(e entry) mustardsaddle.VM {
	return mustardsaddle.VM{
		Name: e.Name, Incarnation: e.Incarnation, Zone: e.Zone, Peer: e.Address, Leaving: r.leaving(e),
	}
}

func (r Roster) isSilent(e entry) bool {
	return r.silent[e.Name] == e.Incarnation+1
}

// leaving reports whether any input shows that a VM leaves. A leaving mark about
// a life that the list does not show yet holds for the listed life too.
func (r Roster) leaving(e entry) bool {
	m, marked := r.marks[e.Name]
	return e.gone || marked && m.Incarnation >= e.Incarnation && m.Leaving
}

// mayReturn reports whether reports alone show that a server leaves, so that later
// ones can undo it.
func (r Roster) mayReturn(e entry) bool {
	m, marked := r.marks[e.Name]
	return !e.gone && marked && m.Incarnation == e.Incarnation && m.Leaving && m.Seq < FinalSeq
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

// GatewaysByZone returns the number of live gateway VMs in each availability
// zone. Shares of budgets and connections divide by it.
func (r Roster) GatewaysByZone() map[string]int {
	counts := make(map[string]int)
	for _, vm := range r.vms {
		if !vm.Leaving {
			counts[vm.Zone]++
		}
	}
	return counts
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
