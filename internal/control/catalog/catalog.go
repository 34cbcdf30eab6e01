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
// # New rules
//
// Rules are parsed and compiled without the lock and in slices with pauses, so that no call
// waits for all of it. Only what differs from the rules in force is. The table is replaced as a
// whole.
//
// # Outages
//
// While the directory does not respond, the last known state stays in use. Core
// decides about entries that are missing after the outage; it performs no I/O.
//
// # Restores
//
// A directory may be restored from an older copy of its data. It then starts a new era, in
// which it assigns revisions of the previous era again and has lost the latest writes. All
// positions contain the era. The first gateway that sees a new era, in a response or a
// message of a peer, reads or requests snapshots. Peers with the same position receive the
// difference to it; others request a snapshot. Rules stay in force, and for some time Core
// does not let an entry of the copy overrule a newer statement known before.
package catalog

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/evacuation"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

const (
	// defaultWait is the default duration of one watch.
	defaultWait = 1200 * time.Millisecond
	// defaultStale is the default age from which a gateway reads the directory itself.
	defaultStale = 1400 * time.Millisecond
	// rulesWatchDivisor makes watches of the rules shorter than others, so that the copies of peers
	// do not become stale while a reader receives a large version.
	rulesWatchDivisor = 2
	// staleJitter is the upper bound of the random time added to Config.Stale, so that
	// gateways that have lost their readers do not all read the directory at once.
	staleJitter = 250 * time.Millisecond
	// firstWaitJitter is the upper bound of the random part of the wait for peers, as a
	// share of Config.FirstWait.
	firstWaitJitter = 0.5
	// maxFirstSleep bounds the time between two checks while nothing is known, since a
	// gateway may become a reader at any time.
	maxFirstSleep = 10 * time.Millisecond
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

// Config configures a Catalog. Its functions must neither block nor call the Catalog, except for
// Pause.
type Config struct {
	// Self is the name of this gateway, and Incarnation its incarnation, by which its peers
	// tell the updates that it reads from repeated ones. Without a name they do not forward
	// those that contain nothing new.
	Self        string
	Incarnation int64
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
	// StartedAt is when this gateway started.
	StartedAt time.Time
	// FirstWait is the least time after StartedAt for which a gateway that knows nothing
	// waits for its peers before it reads the directory. Readers do not wait.
	FirstWait time.Duration
	// Evacuations is true if the directory lists evacuated zones, which are then replicated
	// too. Servers is not called before they are known, for a bounded time.
	Evacuations bool
	// OnEvacuations, if set, is called when the evacuations may have changed.
	OnEvacuations func()
	// WarmUp returns how long the servers of a service warm up; nil means not at all.
	WarmUp func(service string) time.Duration
	// Restored is called when the directory was found to be restored from an older copy of
	// its data, with the new era. A nil Restored is not called.
	Restored func(now time.Time, era int64)
	// Pause waits for the given time while the preparation of rules gives way to calls; nil means
	// time.Sleep.
	Pause func(time.Duration)
	// Core configures the handling of entries that are missing after an outage.
	Core CoreConfig
	// Logger receives the log events.
	Logger zerolog.Logger
	// Seed seeds the jitter.
	Seed uint64
}

// Catalog replicates the collections of a directory to one gateway. It is safe for
// concurrent use.
type Catalog struct {
	cfg     Config
	backoff store.Backoff
	// readFrom is when the wait for peers ends.
	readFrom time.Time

	// preparing is held while rules are prepared and until they are in force. It is locked before
	// mu.
	preparing sync.Mutex
	// stopped is closed when the context of Run ends.
	stopped chan struct{}

	mu    sync.Mutex
	rng   *rand.Rand
	table *rule.Table
	// texts are the generations of the texts that are prepared or wait for it.
	texts []int64
	// rereadGeneration is the newest generation of the rules that was to be read from the directory
	// because a peer had other lines of it.
	rereadGeneration int64
	servers          *Core
	// known holds the replication state of the followed collections.
	known       [mustardsaddle.EvacuationsCollection + 1]progress
	evacuations evacuationsState
	eras        EraTracker
	// reading is the newest reading of this gateway.
	reading mustardsaddle.Reading
}

// progress is the replication state of one collection.
type progress struct {
	position mustardsaddle.Position
	// digest identifies the content of the collection; 0 if nothing is known.
	digest uint64
	// historyLost is true if the collection has to be read as a whole: the directory has
	// discarded the changes since position, or a peer has other rules of the same generation.
	historyLost bool
	// freshAt is the latest time at which the collection was known to be up to date.
	freshAt time.Time
	// readings holds, by gateway, the newest reading of the directory that an update stems
	// from.
	readings map[string]mustardsaddle.Reading
	// changedAt is when the directory last returned changes to this gateway.
	changedAt time.Time
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
	if cfg.OnEvacuations == nil {
		cfg.OnEvacuations = func() {}
	}
	if cfg.WarmUp == nil {
		cfg.WarmUp = func(string) time.Duration { return 0 }
	}
	if cfg.Pause == nil {
		cfg.Pause = time.Sleep
	}
	if cfg.Restored == nil {
		cfg.Restored = func(time.Time, int64) {}
	}
	rng := rand.New(rand.NewPCG(cfg.Seed, 3))
	wait := time.Duration(float64(cfg.FirstWait) * (1 + firstWaitJitter*rng.Float64()))
	return &Catalog{
		cfg:      cfg,
		backoff:  store.Backoff{Base: minBackoff, Max: maxBackoff},
		readFrom: cfg.StartedAt.Add(wait),
		rng:      rng,
		table:    rule.Compile(rule.NewDirectoryFile()),
		stopped:  make(chan struct{}),
		servers:  NewCore(cfg.Core),

		evacuations: evacuationsState{zones: evacuation.New(evacuation.Config{})},
		reading:     mustardsaddle.Reading{Gateway: cfg.Self, Incarnation: cfg.Incarnation},
	}
}

// Run replicates the directory until the context ends, then closes done.
func (c *Catalog) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	store.RunConcurrently(ctx, append(c.runLoops(), c.stop)...)
}

// stop ends the preparation of rules when the context ends.
func (c *Catalog) stop(ctx context.Context) {
	<-ctx.Done()
	close(c.stopped)
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
	return c.marked(c.servers.AllServers())
}

// Eras returns the newest known era of the directory, and how many responses stated none
// that could be used.
func (c *Catalog) Eras() (newest, ignored int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.eras.Newest(), c.eras.Ignored()
}

// ObserveResponse processes the era of a response of the directory that another component
// received.
func (c *Catalog) ObserveResponse(now time.Time, u mustardsaddle.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resolveEra(now, u)
}

// resolveEra returns an update of the directory with the era that it belongs to. If the
// era shows that the directory was restored, it records this. The caller holds mu.
func (c *Catalog) resolveEra(now time.Time, u mustardsaddle.Update) mustardsaddle.Update {
	before := c.eras.Newest()
	position, change := c.eras.Resolve(u.Position, u.EraError)
	switch change {
	case EraUnchanged:
	case EraRaised:
		c.recordRestore(now, before, "Directory")
	case EraMissing, EraUnreadable, EraLowered:
		if c.eras.Ignored() == 1 {
			event.Warn(c.cfg.Logger, event.StoreEraIgnored).Stringer("Reason", change).Int64("Era", u.Position.Era).
				Int64("Known", before).AnErr("Error", u.EraError).Send()
		}
	}
	u.Position = position
	return u
}

// raiseEra records an era that a peer states. The caller holds mu.
func (c *Catalog) raiseEra(now time.Time, era int64) {
	before := c.eras.Newest()
	if c.eras.Raise(era) == EraRaised {
		c.recordRestore(now, before, "Peer")
	}
}

// recordRestore reacts to a new era: the directory was restored from an older copy of its
// data. The caller holds mu.
func (c *Catalog) recordRestore(now time.Time, before int64, source string) {
	era := c.eras.Newest()
	c.servers.Restored(now)
	event.Warn(c.cfg.Logger, event.StoreRestored).Int64("Era", era).Int64("Before", before).Str("Source", source).Send()
	c.cfg.Restored(now, era)
}

// Empty reports whether no endpoint server is known, or none may be used yet because the
// evacuations are unknown.
func (c *Catalog) Empty() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers.Empty() || c.withheld()
}

// apply applies an update to the local copy; rules holds its rules. The caller holds mu.
func (c *Catalog) apply(now time.Time, collection mustardsaddle.Collection, u mustardsaddle.Update, rules nextRules, source string) {
	if collection == mustardsaddle.EvacuationsCollection {
		c.applyEvacuations(now, u)
		return
	}
	p := &c.known[collection]
	p.position = u.Position
	if collection == mustardsaddle.ServersCollection {
		c.publish(now, c.servers.Apply(now, u))
		if u.Whole || len(u.Machines)+len(u.Removed) > 0 {
			p.digest = digestMachines(c.servers.Machines())
		}
		return
	}
	c.putInForce(rules, u.Position, source)
}

func (c *Catalog) backoffDelay(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.backoff.Delay(c.rng, failures)
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
		c.publishService(now, service)
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

// expire calls ExpireEntries periodically until the context ends.
func (c *Catalog) expire(ctx context.Context) {
	for store.Sleep(ctx, expireInterval) {
		c.ExpireEntries(time.Now())
	}
}

// ExpireEntries removes the entries that stayed missing after an outage, and applies those
// that were held back after a restore, when their time has passed. It also ends what depends
// on unknown or lost evacuations.
func (c *Catalog) ExpireEntries(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers.HasPending() {
		c.publish(now, c.servers.Expire(now, c.known[mustardsaddle.ServersCollection].freshAt))
	}
	c.expireEvacuations(now)
}
