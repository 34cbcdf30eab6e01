// Package catalog follows a directory: a platform that accepts the routing rules by
// itself and lists the VMs as they are. It puts each newer generation of the rules
// in force and passes each change of the servers on.
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
// A few gateways, the readers, watch the directory and pass what they hear on to
// their peers, which pass it on in turn. Every gateway tells its peers up to which
// revision it knows a collection, and how long ago it was sure that nothing was
// missing. From that each one keeps its own age: one whose age exceeds Config.Stale
// reads the directory itself, whatever has become of the readers.
//
// A watch may fall silent without an error, and then neither its connection nor
// the directory shows it. So no watch waits longer than Config.Wait, and one that
// is not answered in that time is given up. When the directory has lost the changes
// since the known revision, the whole collection is read. Rules are taken only if
// their generation is higher than the one in force, so that they never revert.
//
// # Outages
//
// While the directory does not answer, everything known stays in use. The decision
// about entries that are missing afterwards is in Core, which performs no I/O.
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
	// defaultWait is how long one watch waits.
	defaultWait = 1200 * time.Millisecond
	// defaultStale is the age from which a gateway reads for itself.
	defaultStale = 1400 * time.Millisecond
	// staleJitter is added at random, so that gateways that lost their readers do
	// not all read at once.
	staleJitter = 250 * time.Millisecond
	// maxSleep bounds the time between two looks at the age.
	maxSleep = 200 * time.Millisecond
	// confirmInterval is the least time by which a peer's word that nothing has
	// changed must be newer to be passed on.
	confirmInterval = 200 * time.Millisecond
	// askInterval is the least time between two questions to peers for a collection.
	askInterval = 300 * time.Millisecond
	// maxNews is how many changed and removed VMs one update passes on at most.
	maxNews = 512
	// expireInterval is the time between checks of entries that are missing.
	expireInterval = 100 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 50 * time.Millisecond
	maxPause   = 800 * time.Millisecond
)

// Config configures a Catalog. Its functions must not block, nor call the Catalog.
type Config struct {
	// Directory is what is followed.
	Directory mustardsaddle.Directory
	// InForce takes each new table, in the order of generations.
	InForce func(*rule.Table)
	// Servers takes the servers of a service whenever they change.
	Servers func(now time.Time, service string, servers []mustardsaddle.Server)
	// Reader reports whether this gateway reads a collection for others; nil means
	// that it does.
	Reader func(mustardsaddle.Collection) bool
	// Spread passes an update on to all peers but the one that it came from, which
	// is empty for what this gateway has read; nil means that there are no peers.
	Spread func(from string, c mustardsaddle.Collection, u mustardsaddle.Update)
	// Stale is the age from which this gateway reads for itself; 0 means 1.4 s.
	Stale time.Duration
	// Wait is how long one watch waits; 0 means 1.2 s.
	Wait time.Duration
	// Core configures what is believed after an outage.
	Core CoreConfig
	// Logger takes the log events.
	Logger zerolog.Logger
	// Seed seeds the jitter.
	Seed uint64
}

// followed are the collections that a Catalog follows.
var followed = [...]mustardsaddle.Collection{mustardsaddle.RulesCollection, mustardsaddle.ServersCollection} //nolint:gochecknoglobals // a table

// Catalog follows a directory for one gateway. It is safe for concurrent use.
type Catalog struct {
	cfg   Config
	pause store.Backoff

	mu      sync.Mutex
	rng     *rand.Rand
	table   *rule.Table
	rules   mustardsaddle.RulesText
	servers *Core
	known   [len(followed)]progress
}

// progress is how far one collection is known.
type progress struct {
	revision int64
	// lost is true when the directory has lost the changes since the revision.
	lost bool
	// fresh is when nothing was missing.
	fresh time.Time
	// asked is when a peer was last asked for the collection.
	asked time.Time
}

// New returns a Catalog that knows nothing yet.
func New(cfg Config) *Catalog {
	cfg.Wait = cmp.Or(cfg.Wait, defaultWait)
	cfg.Stale = cmp.Or(cfg.Stale, defaultStale)
	if cfg.Reader == nil {
		cfg.Reader = func(mustardsaddle.Collection) bool { return true }
	}
	if cfg.Spread == nil {
		cfg.Spread = func(string, mustardsaddle.Collection, mustardsaddle.Update) {}
	}
	return &Catalog{
		cfg:     cfg,
		pause:   store.Backoff{Base: firstPause, Max: maxPause},
		rng:     rand.New(rand.NewPCG(cfg.Seed, 3)),
		table:   rule.Compile(rule.File{}),
		servers: NewCore(cfg.Core),
	}
}

// Run follows the directory until the context ends, then closes done.
func (c *Catalog) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	parts := []func(context.Context){c.expire}
	for _, which := range followed {
		parts = append(parts, func(ctx context.Context) { c.follow(ctx, which) })
	}
	store.RunAll(ctx, parts...)
}

// Snapshot returns the text and the generation of the rules in force, 0 before
// there are any.
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
	which mustardsaddle.Collection
	// failures counts failed calls in a row.
	failures int
	// losses counts lost histories since changes were last read.
	losses int
}

// follow keeps one collection up to date until the context ends.
func (c *Catalog) follow(ctx context.Context, which mustardsaddle.Collection) {
	f := &follower{Catalog: c, which: which}
	for ctx.Err() == nil {
		action, pause, revision := c.plan(time.Now(), which)
		if action == Watch && f.failures > 0 {
			// A watch shows too late that the directory is back.
			action = ReadChanges
		}
		if action == Sleep {
			store.Sleep(ctx, min(pause, maxSleep))
			continue
		}
		err := c.act(ctx, which, action, revision)
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

// succeeded takes a call that was answered.
func (f *follower) succeeded(action Action) {
	if f.failures > 0 {
		event.Info(f.cfg.Logger, event.StoreBack).Stringer("Collection", f.which).Int("Failures", f.failures).Send()
	}
	f.failures = 0
	if action != ReadWhole {
		f.losses = 0
	}
}

// failed takes a call that was not answered, and waits before the next one. After
// the first loss of the history the whole is read at once.
func (f *follower) failed(ctx context.Context, action Action, err error) {
	f.failures++
	if f.failures == 1 {
		event.Warn(f.cfg.Logger, event.StoreFailed).Stringer("Collection", f.which).Int("Code", int(code.Of(err))).Err(err).Send()
	}
	if code.Of(err) == code.StoreHistoryLost && action != ReadWhole {
		f.forget(f.which)
		f.losses++
		if f.losses == 1 {
			return
		}
	}
	store.Sleep(ctx, f.delay(max(f.failures, f.losses)))
}

// plan returns the next action about a collection, and the revision to go on from.
func (c *Catalog) plan(now time.Time, which mustardsaddle.Collection) (Action, time.Duration, int64) {
	reader := c.cfg.Reader(which)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[which]
	if p.lost {
		return ReadWhole, 0, 0
	}
	stale := c.cfg.Stale + time.Duration(c.rng.Int64N(int64(staleJitter)))
	action, pause := Plan(now, State{Revision: p.revision, Fresh: p.fresh, Reader: reader, Stale: stale})
	return action, pause, p.revision
}

// act reads a collection and takes what came.
func (c *Catalog) act(ctx context.Context, which mustardsaddle.Collection, action Action, revision int64) error {
	began := time.Now()
	var u mustardsaddle.Update
	var err error
	switch action {
	case ReadWhole:
		u, err = c.cfg.Directory.Snapshot(ctx, which, true)
	case Watch:
		u, err = c.cfg.Directory.Changes(ctx, which, revision, c.cfg.Wait)
	default:
		u, err = c.cfg.Directory.Changes(ctx, which, revision, 0)
	}
	if err != nil {
		return err
	}
	c.take(began, time.Now(), which, u)
	return nil
}

// forget makes the next action read the whole collection.
func (c *Catalog) forget(which mustardsaddle.Collection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[which].lost = true
}

// take applies what this gateway has read in a call, and spreads what is new.
func (c *Catalog) take(began, now time.Time, which mustardsaddle.Collection, u mustardsaddle.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, err := range u.Skipped {
		event.Warn(c.cfg.Logger, event.EntrySkipped).Stringer("Collection", which).Err(err).Send()
	}
	p := &c.known[which]
	p.fresh = now
	p.lost = p.lost && !u.Whole
	news := c.news(which, u)
	c.servers.Contact(began, now)
	if MergeOf(p.revision, u.After, u.Revision, u.Whole) == Fits {
		c.apply(now, which, u, "Directory")
	}
	c.cfg.Spread("", which, news)
}

// Known returns how much is known of a collection.
func (c *Catalog) Known(now time.Time, which mustardsaddle.Collection) mustardsaddle.Known {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[which]
	if p.revision == 0 {
		return mustardsaddle.Known{}
	}
	return mustardsaddle.Known{Revision: p.revision, Age: max(now.Sub(p.fresh), 0)}
}

// Heard takes what a peer says that it knows. It returns true if the peer knows more
// and is to be asked for the whole collection.
func (c *Catalog) Heard(now time.Time, which mustardsaddle.Collection, k mustardsaddle.Known) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.known[which]
	if k.Revision == 0 {
		return false
	}
	if k.Revision > p.revision {
		return p.ask(now)
	}
	if fresh := now.Add(-k.Age); fresh.After(p.fresh) {
		p.fresh = fresh
		c.servers.Contact(fresh, fresh)
	}
	return false
}

// Receive takes an update of a peer and passes it on if it is new, be it that it
// only confirms that nothing has changed. It returns true if changes before the
// update are missing here, so that the peer is to be asked for the whole collection.
func (c *Catalog) Receive(now time.Time, from string, which mustardsaddle.Collection, u mustardsaddle.Update) (ask bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := &c.known[which]
	fresh := now.Add(-u.Age)
	news := c.news(which, u)
	merge := MergeOf(p.revision, u.After, u.Revision, u.Whole)
	if merge == Gap {
		return p.ask(now)
	}
	if merge == Old && fresh.Sub(p.fresh) < confirmInterval {
		return false
	}
	// What is missing after an outage is told from what leaves by the contact before.
	c.servers.Contact(fresh, fresh)
	if merge == Fits {
		c.apply(now, which, u, "Peer")
	}
	p.lost = p.lost && u.Revision < p.revision
	if fresh.After(p.fresh) {
		p.fresh = fresh
	}
	c.cfg.Spread(from, which, news)
	return false
}

// news returns what is passed on of an update that is not applied yet: changes as they
// are, and of a whole collection what has changed since the known revision, which is
// what peers lack that followed the same readers. The caller holds mu.
func (c *Catalog) news(which mustardsaddle.Collection, u mustardsaddle.Update) mustardsaddle.Update {
	if !u.Whole {
		return u
	}
	// Peers that lack more learn the revision from it, and ask.
	news := mustardsaddle.Update{After: u.Revision, Revision: u.Revision, Age: u.Age}
	known := c.known[which].revision
	if known == 0 || u.Revision <= known {
		return news
	}
	var changed []mustardsaddle.Machine
	var removed []string
	if which == mustardsaddle.ServersCollection {
		changed, removed = difference(c.servers.Machines(), u.Machines)
	}
	if len(changed)+len(removed) <= maxNews {
		news.After, news.Rules, news.Machines, news.Removed = known, u.Rules, changed, removed
	}
	return news
}

// difference returns the VMs of after that are not in before as they are now, and the
// names of those of before that are not in after.
func difference(before, after []mustardsaddle.Machine) (changed []mustardsaddle.Machine, removed []string) {
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

// ask reports whether a peer is to be asked for the collection now.
func (p *progress) ask(now time.Time) bool {
	if now.Sub(p.asked) < askInterval {
		return false
	}
	p.asked = now
	return true
}

// Whole returns a collection for a peer that lacks it, or false if nothing is known.
func (c *Catalog) Whole(now time.Time, which mustardsaddle.Collection) (mustardsaddle.Update, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[which]
	u := mustardsaddle.Update{Whole: true, Revision: p.revision, Age: max(now.Sub(p.fresh), 0)}
	if which == mustardsaddle.ServersCollection {
		u.Machines = c.servers.Machines()
	} else if c.rules.Generation > 0 {
		rules := c.rules
		u.Rules = &rules
	}
	return u, u.Revision > 0
}

// apply puts an update in force. The caller holds mu.
func (c *Catalog) apply(now time.Time, which mustardsaddle.Collection, u mustardsaddle.Update, source string) {
	c.known[which].revision = u.Revision
	if which == mustardsaddle.ServersCollection {
		c.publish(now, c.servers.Apply(now, u))
		return
	}
	if u.Rules != nil {
		c.takeRules(*u.Rules, u.Revision, source)
	}
}

func (c *Catalog) delay(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause.Delay(c.rng, failures)
}

// takeRules puts rules in force if they are newer. The caller holds mu.
func (c *Catalog) takeRules(r mustardsaddle.RulesText, revision int64, source string) {
	if r.Generation <= c.table.File.Generation {
		return
	}
	file, problems := rule.Parse(r.Text)
	for _, p := range problems {
		event.Warn(c.cfg.Logger, event.RulesIgnored).Int64("Generation", r.Generation).Int("Line", p.Line).
			Int("Code", int(p.Code)).Str("Problem", p.Text).Send()
	}
	c.rules = r
	c.table = c.table.Next(file.WithGeneration(r.Generation))
	c.cfg.InForce(c.table)
	event.Info(c.cfg.Logger, event.RulesInForce).Int64("Generation", r.Generation).Int64("Revision", revision).
		Str("Source", source).Send()
}

// publish passes changed services on. The caller holds mu.
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

// logChange writes the line of a server that joined, left or was replaced. A
// server that only warms up is no news.
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

// expire gives up entries that stay missing after an outage.
func (c *Catalog) expire(ctx context.Context) {
	for store.Sleep(ctx, expireInterval) {
		c.mu.Lock()
		if now := time.Now(); c.servers.Missing() {
			c.publish(now, c.servers.Expire(now))
		}
		c.mu.Unlock()
	}
}
