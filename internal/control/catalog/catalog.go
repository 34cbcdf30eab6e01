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
// A watch may fall silent without an error, and then neither its connection nor
// the directory shows it. So no watch waits longer than Config.Wait, and a watch
// that is not answered in that time is given up on its connection. When the
// directory has lost the changes since the known revision, the whole collection is
// read. Rules are taken only if their generation is higher than the one in force,
// so that they never revert.
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
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/product/code"
	"mustardsaddle.example/mustardsaddle/internal/product/event"
)

const (
	// defaultWait is how long one watch waits.
	defaultWait = 1500 * time.Millisecond
	// expireInterval is the time between checks of entries that are missing.
	expireInterval = 100 * time.Millisecond
	// firstPause and maxPause bound the pause after a failed call.
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// Config configures a Catalog. Its functions must not block, nor call the Catalog.
type Config struct {
	// Directory is what is followed.
	Directory mustardsaddle.Directory
	// InForce takes each new table, in the order of generations.
	InForce func(*rule.Table)
	// Servers takes the servers of a service whenever they change.
	Servers func(now time.Time, service string, servers []mustardsaddle.Server)
	// Gateways takes the gateway VMs whenever they change; nil if they are not
	// followed.
	Gateways func(now time.Time, vms []mustardsaddle.VM)
	// Wait is how long one watch waits; 0 means 1.5 s.
	Wait time.Duration
	// Core configures what is believed after an outage.
	Core CoreConfig
	// Logger takes the log events.
	Logger zerolog.Logger
	// Seed seeds the jitter.
	Seed uint64
}

// Catalog follows a directory for one gateway. It is safe for concurrent use.
type Catalog struct {
	cfg   Config
	pause store.Backoff

	mu       sync.Mutex
	rng      *rand.Rand
	table    *rule.Table
	servers  *Core
	gateways *Core
}

// New returns a Catalog that knows nothing yet.
func New(cfg Config) *Catalog {
	if cfg.Wait == 0 {
		cfg.Wait = defaultWait
	}
	return &Catalog{
		cfg:      cfg,
		pause:    store.Backoff{Base: firstPause, Max: maxPause},
		rng:      rand.New(rand.NewPCG(cfg.Seed, 3)),
		table:    rule.Compile(rule.File{}),
		servers:  NewCore(cfg.Core),
		gateways: NewCore(cfg.Core),
	}
}

// Run follows the directory until the context ends, then closes done.
func (c *Catalog) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	ended := make(chan struct{})
	parts := []func(context.Context){
		func(ctx context.Context) { c.follow(ctx, mustardsaddle.RulesCollection) },
		func(ctx context.Context) { c.follow(ctx, mustardsaddle.ServersCollection) },
		c.expire,
	}
	if c.cfg.Gateways != nil {
		parts = append(parts, func(ctx context.Context) { c.follow(ctx, mustardsaddle.GatewaysCollection) })
	}
	for _, part := range parts {
		go func() {
			part(ctx)
			ended <- struct{}{}
		}()
	}
	for range parts {
		<-ended
	}
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
	var servers []mustardsaddle.Server
	for _, service := range c.servers.Services() {
		servers = append(servers, c.servers.Servers(service)...)
	}
	return servers
}

// follow reads one collection, and then its changes, until the context ends.
func (c *Catalog) follow(ctx context.Context, which mustardsaddle.Collection) {
	revision, failures := int64(0), 0
	for ctx.Err() == nil {
		u, err := c.read(ctx, which, revision)
		if ctx.Err() != nil {
			return
		}
		if code.Of(err) == code.StoreHistoryLost && revision != 0 {
			c.logFailure(which, err)
			revision = 0
			continue
		}
		if err != nil {
			failures++
			if failures == 1 {
				c.logFailure(which, err)
			}
			if !sleep(ctx, c.delay(failures)) {
				return
			}
			continue
		}
		if failures > 0 {
			event.Info(c.cfg.Logger, event.StoreBack).Stringer("Collection", which).Int("Failures", failures).Send()
		}
		revision, failures = u.Revision, 0
		c.take(time.Now(), which, u)
	}
}

func (c *Catalog) read(ctx context.Context, which mustardsaddle.Collection, revision int64) (mustardsaddle.Update, error) {
	if revision == 0 {
		return c.cfg.Directory.Snapshot(ctx, which)
	}
	return c.cfg.Directory.Changes(ctx, which, revision, c.cfg.Wait)
}

func (c *Catalog) logFailure(which mustardsaddle.Collection, err error) {
	event.Warn(c.cfg.Logger, event.StoreFailed).Stringer("Collection", which).Int("Code", int(code.Of(err))).Err(err).Send()
}

func (c *Catalog) delay(failures int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pause.Delay(c.rng, failures)
}

// take applies an update.
func (c *Catalog) take(now time.Time, which mustardsaddle.Collection, u mustardsaddle.Update) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, err := range u.Skipped {
		event.Warn(c.cfg.Logger, event.EntrySkipped).Stringer("Collection", which).Err(err).Send()
	}
	switch which {
	case mustardsaddle.RulesCollection:
		if u.Rules != nil {
			c.takeRules(*u.Rules, u.Revision)
		}
	case mustardsaddle.ServersCollection:
		c.publish(now, c.servers.Apply(now, u))
	case mustardsaddle.GatewaysCollection:
		if len(c.gateways.Apply(now, u)) > 0 {
			c.cfg.Gateways(now, c.gateways.VMs())
		}
	}
}

// takeRules puts rules in force if they are newer. The caller holds mu.
func (c *Catalog) takeRules(r mustardsaddle.RulesText, revision int64) {
	file, problems := rule.Parse(r.Text)
	for _, p := range problems {
		event.Warn(c.cfg.Logger, event.RulesIgnored).Int64("Generation", r.Generation).Int("Line", p.Line).
			Int("Code", int(p.Code)).Str("Problem", p.Text).Send()
	}
	if r.Generation <= c.table.File.Generation {
		return
	}
	c.table = c.table.Next(file.WithGeneration(r.Generation))
	c.cfg.InForce(c.table)
	event.Info(c.cfg.Logger, event.RulesInForce).Int64("Generation", r.Generation).Int64("Revision", revision).
		Str("Source", "Directory").Send()
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
	for sleep(ctx, expireInterval) {
		c.mu.Lock()
		if now := time.Now(); c.servers.Missing() {
			c.publish(now, c.servers.Expire(now))
		}
		c.mu.Unlock()
	}
}

// sleep waits, and returns false when the context has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
