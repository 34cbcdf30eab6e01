// Package catalog replicates the collections of a service directory to one gateway.
// The directory is a platform that accepts routing rules by itself and lists the VMs
// without delay. The package puts each newer generation of the rules in force
// and reports each change of the servers.
//
// # Usage
//
//	c := catalog.New(catalog.Config{Directory: directory, InForce: setRules, Servers: setServers, ...})
//	done := make(chan struct{})
//	go c.Run(ctx, done)
//	...
//	<-done
//
// # Freshness
//
// A few gateways, the readers, watch the directory and forward what they receive to
// their peers, which forward it in turn. Every gateway also advertises to its peers
// the revision of each collection that it holds, and how long ago that revision was
// known to be the newest. From these advertisements each gateway computes the age of
// its own copy. A gateway whose copy is older than Config.Stale reads the directory
// itself, even if every reader has failed.
//
// A watch may stop delivering changes without an error that its connection or the
// directory would report. Therefore no watch waits longer than Config.Wait, and one
// that is not answered in that time is canceled. When the directory has discarded the
// changes since the known revision, a snapshot of the collection is read. Rules are
// accepted only if their generation is higher than the one in force, so that they
// never revert.
//
// # Outages
//
// While the directory does not respond, the last known state stays in use. Core
// decides about entries that are missing after the outage; it performs no I/O.
package catalog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

const (
	// defaultWait is the default duration of one watch.
	defaultWait = 1200 * time.Millisecond
	// defaultStale is the default age from which a gateway reads the directory itself.
	defaultStale = 1400 * time.Millisecond
	// staleJitter is the upper bound of the random time added to Config.Stale, so that
	// gateways that have lost their readers do not all read the directory at once.
	staleJitter = 250 * time.Millisecond
	// maxSleep bounds the time between two checks of the age.
	maxSleep = 200 * time.Millisecond
	// confirmInterval is the least amount by which the confirmation of an unchanged
	// revision must be newer than the known one to be forwarded.
	confirmInterval = 200 * time.Millisecond
	// requestInterval is the minimum time between two requests to peers for a snapshot
	// of one collection.
	requestInterval = 300 * time.Millisecond
	// maxForwarded is the maximum number of changed and removed VMs that one forwarded
	// update contains.
	maxForwarded = 512
	// expireInterval is the time between checks for missing entries to remove.
	expireInterval = 100 * time.Millisecond
	// minBackoff and maxBackoff bound the delay after a failed call.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Config configures a Catalog. Its functions must neither block nor call the Catalog.
type Config struct {
	// Directory is the service directory.
	Directory mustardsaddle.Directory
	// InForce is called with each new rule table, in the order of generations.
	InForce func(*rule.Table)
	// Servers is called with all servers of a service whenever one of them changes.
	Servers func(now time.Time, service string, servers []mustardsaddle.Server)
	// Reader reports whether this gateway watches a collection on behalf of its peers;
	// nil means that it does.
	Reader func(mustardsaddle.Collection) bool
	// Forward forwards an update to all peers except the one that sent it; from is
	// empty for an update that this gateway read from the directory. A nil Forward
	// means that there are no peers.
	Forward func(from string, c mustardsaddle.Collection, u mustardsaddle.Update)
	// Stale is the age from which this gateway reads the directory itself; 0 means 1.4
	// s.
	Stale time.Duration
	// Wait is the maximum duration of one watch; 0 means 1.2 s.
	Wait time.Duration
	// Core configures the handling of entries that are missing after an outage.
	Core CoreConfig
	// Logger receives the log events.
	Logger zerolog.Logger
	// Seed seeds the jitter.
	Seed uint64
}

// followed lists the collections that a Catalog replicates.
var followed = [...]mustardsaddle.Collection{mustardsaddle.RulesCollection, mustardsaddle.ServersCollection} //nolint:gochecknoglobals // a table

// Catalog replicates the collections of a directory to one gateway. It is safe for
// concurrent use.
type Catalog struct {
	cfg     Config
	backoff store.Backoff

	mu      sync.Mutex
	rng     *rand.Rand
	table   *rule.Table
	rules   mustardsaddle.RulesText
	servers *Core
	known   [len(followed)]progress
}

// progress is the replication state of one collection.
type progress struct {
	revision int64
	// historyLost is true if the directory has discarded the changes since revision.
	historyLost bool
	// freshAt is the latest time at which the collection was known to be up to date.
	freshAt time.Time
	// requestedAt is when a peer was last asked for a snapshot of the collection.
	requestedAt time.Time
}

// New returns a Catalog without data.
func New(cfg Config) *Catalog {
	cfg.Wait = cmp.Or(cfg.Wait, defaultWait)
	cfg.Stale = cmp.Or(cfg.Stale, defaultStale)
	if cfg.Reader == nil {
		cfg.Reader = func(mustardsaddle.Collection) bool { return true }
	}
	if cfg.Forward == nil {
		cfg.Forward = func(string, mustardsaddle.Collection, mustardsaddle.Update) {}
	}
	return &Catalog{
		cfg:     cfg,
		backoff: store.Backoff{Base: minBackoff, Max: maxBackoff},
		rng:     rand.New(rand.NewPCG(cfg.Seed, 3)),
		table:   rule.Compile(rule.File{}),
		servers: NewCore(cfg.Core),
	}
}

// Run replicates the directory until the context ends, then closes done.
func (c *Catalog) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	loops := []func(context.Context){c.expire}
	for _, collection := range followed {
		loops = append(loops, func(ctx context.Context) { c.follow(ctx, collection) })
	}
	store.RunConcurrently(ctx, loops...)
}

// Snapshot returns the text and the generation of the rules in force; the generation
// is 0 before there are any.
func (c *Catalog) Snapshot() (text string, generation int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.File.Format(), c.table.File.Generation
}

// Servers returns all endpoint servers, ordered by service and name.
func (c *Catalog) Servers() []mustardsaddle.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.AllServers()
}

// Empty reports whether no endpoint server is known.
func (c *Catalog) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Empty()
}

// follower keeps one collection up to date.
type follower struct {
	*Catalog
	collection mustardsaddle.Collection
	// failures counts consecutive failed calls.
	failures int
	// historyLosses counts the times the directory had discarded its history since
	// changes were last read.
	historyLosses int
}

// follow keeps one collection up to date until the context ends.
func (c *Catalog) follow(ctx context.Context, collection mustardsaddle.Collection) {
	f := &follower{Catalog: c, collection: collection}
	for ctx.Err() == nil {
		action, pause, revision := c.nextAction(time.Now(), collection)
		if action == Watch && f.failures > 0 {
			// A watch returns only after a change or its full wait, so it would detect
			// the recovery of the directory too late.
			action = ReadChanges
		}
		if action == Sleep {
			store.Sleep(ctx, min(pause, maxSleep))
			continue
		}
		err := c.read(ctx, collection, action, revision)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil:
			f.succeeded(action)
		default:
			f.failed(ctx, action, err)
		}
	}
}

// succeeded records a successful call and resets the failure counters.
func (f *follower) succeeded(action Action) {
	if f.failures > 0 {
		event.Info(f.cfg.Logger, event.StoreBack).Stringer("Collection", f.collection).Int("Failures", f.failures).Send()
	}
	f.failures = 0
	if action != ReadWhole {
		f.historyLosses = 0
	}
}

// failed records a failed call and waits before the next one. After the first loss of
// the history the snapshot is read without delay.
func (f *follower) failed(ctx context.Context, action Action, err error) {
	f.failures++
	if f.failures == 1 {
		event.Warn(f.cfg.Logger, event.StoreFailed).Stringer("Collection", f.collection).Int("Code", int(code.Of(err))).Err(err).Send()
	}
	if code.Of(err) == code.StoreHistoryLost && action != ReadWhole {
		f.requireSnapshot(f.collection)
		f.historyLosses++
		if f.historyLosses == 1 {
			return
		}
	}
	store.Sleep(ctx, f.backoffDelay(max(f.failures, f.historyLosses)))
}

// nextAction returns the next action on a collection, the duration of a sleep, and the
// revision to continue from.
func (c *Catalog) nextAction(now time.Time, collection mustardsaddle.Collection) (Action, time.Duration, int64) {
	reader := c.cfg.Reader(collection)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[collection]
	if p.historyLost {
		return ReadWhole, 0, 0
	}
	staleAge := c.cfg.Stale + time.Duration(c.rng.Int64N(int64(staleJitter)))
	action, pause := Plan(now, State{Revision: p.revision, FreshAt: p.freshAt, Reader: reader, StaleAge: staleAge})
	return action, pause, p.revision
}

// read performs an action and applies the result.
func (c *Catalog) read(ctx context.Context, collection mustardsaddle.Collection, action Action, revision int64) error {
	started := time.Now()
	var u mustardsaddle.Update
	var err error
	switch action {
	case ReadWhole:
		u, err = c.cfg.Directory.Snapshot(ctx, collection, true)
	case Watch:
		u, err = c.cfg.Directory.Changes(ctx, collection, revision, c.cfg.Wait)
	default:
		u, err = c.cfg.Directory.Changes(ctx, collection, revision, 0)
	}
	if err != nil {
		return err
	}
	c.applyRead(started, time.Now(), collection, u)
	return nil
}

// requireSnapshot makes the next action read a snapshot of the collection.
func (c *Catalog) requireSnapshot(collection mustardsaddle.Collection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[collection].historyLost = true
}

// applyRead applies an update that this gateway read in a call that started at started,
// and forwards what is new.
func (c *Catalog) applyRead(started, now time.Time, collection mustardsaddle.Collection, u mustardsaddle.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, err := range u.Skipped {
		event.Warn(c.cfg.Logger, event.EntrySkipped).Stringer("Collection", collection).Err(err).Send()
	}
	p := &c.known[collection]
	p.freshAt = now
	p.historyLost = p.historyLost && !u.Whole
	forwardable := c.forwardable(collection, u)
	c.servers.Contact(started, now)
	if CompareRevision(p.revision, u.After, u.Revision, u.Whole) == Applicable {
		c.apply(now, collection, u, "Directory")
	}
	c.cfg.Forward("", collection, forwardable)
}

// Known returns the known revision of a collection and its age.
func (c *Catalog) Known(now time.Time, collection mustardsaddle.Collection) mustardsaddle.CollectionState {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[collection]
	if p.revision == 0 {
		return mustardsaddle.CollectionState{}
	}
	return mustardsaddle.CollectionState{Revision: p.revision, Age: max(now.Sub(p.freshAt), 0)}
}

// ReceiveState processes the revision and age that a peer advertises. It returns true
// if the peer has a newer revision and is to be asked for a snapshot of the collection.
func (c *Catalog) ReceiveState(now time.Time, collection mustardsaddle.Collection, k mustardsaddle.CollectionState) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.known[collection]
	if k.Revision == 0 {
		return false
	}
	if k.Revision > p.revision {
		return p.shouldRequest(now)
	}
	if freshAt := now.Add(-k.Age); freshAt.After(p.freshAt) {
		p.freshAt = freshAt
		c.servers.Contact(freshAt, freshAt)
	}
	return false
}

// Receive applies an update of a peer and forwards it if it is new. An update that
// merely confirms that nothing has changed is new too if it makes the local copy
// fresher. Receive returns true if changes before the update are missing here, so that
// the peer is to be asked for a snapshot of the collection.
func (c *Catalog) Receive(now time.Time, from string, collection mustardsaddle.Collection, u mustardsaddle.Update) (shouldRequest bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.known[collection]
	freshAt := now.Add(-u.Age)
	forwardable := c.forwardable(collection, u)
	order := CompareRevision(p.revision, u.After, u.Revision, u.Whole)
	if order == Gap {
		return p.shouldRequest(now)
	}
	if order == Outdated && freshAt.Sub(p.freshAt) < confirmInterval {
		return false
	}
	// Contact must come first: Core uses the previous contact to distinguish entries
	// that expired during an outage from entries that were removed.
	c.servers.Contact(freshAt, freshAt)
	if order == Applicable {
		c.apply(now, collection, u, "Peer")
	}
	p.historyLost = p.historyLost && u.Revision < p.revision
	if freshAt.After(p.freshAt) {
		p.freshAt = freshAt
	}
	c.cfg.Forward(from, collection, forwardable)
	return false
}

// forwardable returns the part of an update, not applied yet, that is forwarded to
// peers. Incremental updates are forwarded as they are. A snapshot is reduced to the
// changes since the known revision, which is what peers that followed the same readers
// lack. The caller holds mu.
func (c *Catalog) forwardable(collection mustardsaddle.Collection, u mustardsaddle.Update) mustardsaddle.Update {
	if !u.Whole {
		return u
	}
	// Without the changes, the update still announces the revision, so that peers with
	// an older one request a snapshot.
	forwardable := mustardsaddle.Update{After: u.Revision, Revision: u.Revision, Age: u.Age}
	known := c.known[collection].revision
	if known == 0 || u.Revision <= known {
		return forwardable
	}
	var changed []mustardsaddle.Machine
	var removed []string
	if collection == mustardsaddle.ServersCollection {
		changed, removed = diffMachines(c.servers.Machines(), u.Machines)
	}
	if len(changed)+len(removed) <= maxForwarded {
		forwardable.After, forwardable.Rules, forwardable.Machines, forwardable.Removed = known, u.Rules, changed, removed
	}
	return forwardable
}

// diffMachines returns the VMs of after that are new or differ from before, and the
// names of those of before that are not in after.
func diffMachines(before, after []mustardsaddle.Machine) (changed []mustardsaddle.Machine, removed []string) {
	old := make(map[string]mustardsaddle.Machine, len(before))
	for _, m := range before {
		old[m.Name] = m
	}
	for _, m := range after {
		if old[m.Name] != m {
			changed = append(changed, m)
		}
		delete(old, m.Name)
	}
	for name := range old {
		removed = append(removed, name)
	}
	slices.Sort(removed)
	return changed, removed
}

// shouldRequest reports whether a peer is to be asked for a snapshot of the collection
// now, and if so records the time.
func (p *progress) shouldRequest(now time.Time) bool {
	if now.Sub(p.requestedAt) < requestInterval {
		return false
	}
	p.requestedAt = now
	return true
}

// CollectionSnapshot returns a snapshot of a collection for a peer, or false if nothing
// is known.
func (c *Catalog) CollectionSnapshot(now time.Time, collection mustardsaddle.Collection) (mustardsaddle.Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[collection]
	u := mustardsaddle.Update{Whole: true, Revision: p.revision, Age: max(now.Sub(p.freshAt), 0)}
	if collection == mustardsaddle.ServersCollection {
		u.Machines = c.servers.Machines()
	} else if c.rules.Generation > 0 {
		rules := c.rules
		u.Rules = &rules
	}
	return u, u.Revision > 0
}

// apply applies an update to the local copy. The caller holds mu.
func (c *Catalog) apply(now time.Time, collection mustardsaddle.Collection, u mustardsaddle.Update, source string) {
	c.known[collection].revision = u.Revision
	if collection == mustardsaddle.ServersCollection {
		c.publish(now, c.servers.Apply(now, u))
		return
	}
	if u.Rules != nil {
		c.applyRules(*u.Rules, u.Revision, source)
	}
}

func (c *Catalog) backoffDelay(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backoff.Delay(c.rng, failures)
}

// applyRules puts rules in force if their generation is higher than the one in force.
// The caller holds mu.
func (c *Catalog) applyRules(r mustardsaddle.RulesText, revision int64, source string) {
	if r.Generation <= c.table.File.Generation {
		return
	}
	file, problems := rule.Parse(r.Text)
	for _, p := range problems {
		event.Warn(c.cfg.Logger, event.RulesIgnored).Int64("Generation", r.Generation).Int("Line", p.Line).
			Int("Code", int(p.Code)).Str("Problem", p.Text).Send()
	}
	c.rules = r
	c.table = c.table.Recompile(file.WithGeneration(r.Generation))
	c.cfg.InForce(c.table)
	event.Info(c.cfg.Logger, event.RulesInForce).Int64("Generation", r.Generation).Int64("Revision", revision).
		Str("Source", source).Send()
}

// publish reports the servers of each changed service. The caller holds mu.
func (c *Catalog) publish(now time.Time, list []Change) {
	changed := make(map[string]bool)
	for _, change := range list {
		for _, m := range []mustardsaddle.Machine{change.Old, change.New} {
			if m.Name != "" {
				changed[m.Service] = true
			}
		}
		c.logChange(change)
	}
	for service := range changed {
		c.cfg.Servers(now, service, c.servers.Servers(service))
	}
}

// logChange logs that a server was added, changed or removed. A change of its
// remaining warm-up time alone is not logged.
func (c *Catalog) logChange(change Change) {
	old, now := change.Old, change.New
	old.WarmUp, now.WarmUp = 0, 0
	if old == now {
		return
	}
	event.Info(c.cfg.Logger, event.ServerChanged).Str("Server", cmp.Or(now.Name, old.Name)).
		Str("Service", now.Service).Str("Address", now.Address).Int64("Incarnation", now.Incarnation).
		Bool("Known", old.Name != "").Bool("Listed", now.Name != "").Bool("Leaving", now.Leaving).Send()
}

// expire periodically removes the entries that stayed missing after an outage.
func (c *Catalog) expire(ctx context.Context) {
	for store.Sleep(ctx, expireInterval) {
		c.mu.Lock()
		if now := time.Now(); c.servers.HasMissing() {
			c.publish(now, c.servers.Expire(now))
		}
		c.mu.Unlock()
	}
}
