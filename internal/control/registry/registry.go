// Package registry keeps the rules of one gateway in step with the platform's
// store and with its peers. All gateways run it alike; none leads.
//
// # Usage
//
//	r := registry.New(registry.Config{Name: "gateway-1", Store: client, ...})
//	done := make(chan struct{})
//	go r.Run(ctx, done)
//	result := r.Receive(now, change) // a change from a peer
//	...
//	<-done
//
// # Acceptance
//
// Operators write Rules/Submitted. Each version of it is handled in turn, by
// whichever gateway comes first: the only act that accepts is the conditional
// write of Rules/Accepted, which holds the rules, their generation and the last
// submission handled. A write whose answer is lost is resolved by reading back.
//
// Only gateways write Rules/Accepted. If something else does, and the object can't
// be used, a gateway finds the last good version in the object's history and writes
// it again.
//
// # What is in force
//
// A gateway takes a generation only if it is higher than its own, from the store
// or from a peer, so that its rules never revert. Changes travel from peer to
// peer; a few gateways of each zone watch for submissions; and every gateway lists
// the versions at a slow, jittered interval, which bounds its age even when every
// watch and link has gone silent. A list costs a few hundred bytes whatever the
// size of the rules. Since a watch brings the whole file, the gateways that hold
// watches list more often instead once the file is large.
//
// The decisions are in Core, which performs no I/O.
package registry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

const (
	// defaultPoll is the interval of the slow reads of a small fleet. Two in a row
	// fit into the time in which a change is in force.
	defaultPoll = 1500 * time.Millisecond
	// maxWatchedBytes is the size of the rules above which no watch is held, since
	// each one brings the whole file.
	maxWatchedBytes = 64 << 10
	// listInterval is the interval of the reads that take a watch's place.
	listInterval = time.Second
	// defaultStatus is how long changes are gathered for one status report.
	defaultStatus = time.Second
)

// Config configures a Registry. Its functions must not wait, nor call the
// Registry.
type Config struct {
	// Name is the name of this gateway VM.
	Name string
	// Store is the platform's store.
	Store mustardsaddle.Store
	// StatusStore is the same store for calls that may be dropped; nil means
	// Store.
	StatusStore mustardsaddle.Store
	// InForce takes each new table, in the order of generations.
	InForce func(*rule.Table)
	// Spread sends a change to the peers.
	Spread func(rule.Change)
	// Rank returns this gateway's place, from 0, among the gateways of the fleet.
	// It decides who tries first to accept a submission, and the first one reports
	// for all; nil means 0.
	Rank func() int
	// Fleet returns the number of gateways; nil means 1.
	Fleet func() int
	// Watch reports whether this gateway watches for submissions; nil means that it
	// does.
	Watch func() bool
	// Live returns the live gateway VMs with the generations that they told of, 0
	// if unknown; nil means that the others are not known.
	Live func() []rule.VM
	// Poll is the interval of slow reads; 0 means 1.5 s.
	Poll time.Duration
	// Status is how long changes are gathered for one status report; 0 means 1 s.
	Status time.Duration
	// Logger takes the log events.
	Logger zerolog.Logger
	// Seed seeds the jitter.
	Seed uint64
}

// withDefaults returns a copy of cfg with its zero values replaced.
func (cfg Config) withDefaults() Config {
	if cfg.StatusStore == nil {
		cfg.StatusStore = cfg.Store
	}
	if cfg.InForce == nil {
		cfg.InForce = func(*rule.Table) {}
	}
	if cfg.Spread == nil {
		cfg.Spread = func(rule.Change) {}
	}
	if cfg.Rank == nil {
		cfg.Rank = func() int { return 0 }
	}
	if cfg.Fleet == nil {
		cfg.Fleet = func() int { return 1 }
	}
	if cfg.Watch == nil {
		cfg.Watch = func() bool { return true }
	}
	if cfg.Poll == 0 {
		cfg.Poll = defaultPoll
	}
	if cfg.Status == 0 {
		cfg.Status = defaultStatus
	}
	return cfg
}

// Registry follows the rules for one gateway. It is safe for concurrent use.
type Registry struct {
	cfg Config
	// submitted are the submissions that the watch has brought.
	submitted chan mustardsaddle.Object
	// retry is the pause after a failed call.
	retry store.Backoff

	mu    sync.Mutex
	rng   *rand.Rand
	core  *Core
	table *rule.Table
	// size is the size of the file in force.
	size int
}

// New returns a Registry without rules.
func New(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{
		cfg:       cfg,
		submitted: make(chan mustardsaddle.Object),
		retry:     store.Backoff{Base: cfg.Poll / 10, Max: cfg.Poll / 2},
		rng:       rand.New(rand.NewPCG(cfg.Seed, 2)),
		core:      NewCore(),
		table:     rule.Compile(rule.File{}),
	}
}

// Run follows the store until the context ends, then closes done.
func (g *Registry) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	store.RunAll(ctx, g.watch, g.report, g.follow)
}

// Generation returns the generation in force, 0 before there is one.
func (g *Registry) Generation() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.File().Generation
}

// Snapshot returns the whole rules in force for a peer that lacks them, and their
// generation, 0 before there are any.
func (g *Registry) Snapshot() (text string, generation int64) {
	g.mu.Lock()
	a := rule.Accepted{File: g.core.File(), Submission: g.core.Handled()}
	g.mu.Unlock()
	return a.Format(), a.File.Generation
}

// Receive takes a change from a peer and, if it is new, passes it on. On Gap the
// change is kept: the caller asks a peer for the whole file if Generation is
// still lower a moment later. On BadDigest it asks at once.
func (g *Registry) Receive(_ time.Time, change rule.Change) rule.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	brought, result := g.core.Receive(change)
	for _, c := range brought {
		g.cfg.Spread(c)
	}
	if len(brought) > 0 {
		g.force("Peer")
	}
	return result
}

// ReceiveWhole takes the whole rules from a peer. The result is Applied, Stale,
// or, with an error, BadDigest.
func (g *Registry) ReceiveWhole(_ time.Time, text string) (rule.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result, err := g.core.ReceiveWhole(text)
	if err != nil {
		event.Warn(g.cfg.Logger, event.RulesIgnored).Err(err).Send()
	}
	if result == rule.Applied {
		g.force("PeerWhole")
	}
	return result, err
}

// take takes a version of Rules/Accepted.
func (g *Registry) take(o mustardsaddle.Object) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	change, brought, err := g.core.TakeAccepted(o)
	g.taken(change, brought)
	return err
}

// taken acts on what a version of Rules/Accepted brought. The caller holds mu. A
// whole file is not spread: a peer without rules asks for them.
func (g *Registry) taken(change rule.Change, brought bool) {
	if !brought {
		return
	}
	g.force("Store")
	if change.From > 0 {
		g.cfg.Spread(change)
	}
}

// force hands out the table of the file in force. The caller holds mu.
func (g *Registry) force(source string) {
	g.table = g.table.Next(g.core.File())
	g.size = g.table.File.Size()
	g.cfg.InForce(g.table)
	event.Info(g.cfg.Logger, event.RulesInForce).Int64("Generation", g.core.File().Generation).Str("Source", source).Send()
}

// random calls f with the random source.
func (g *Registry) random(f func(*rand.Rand) time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.rng)
}
