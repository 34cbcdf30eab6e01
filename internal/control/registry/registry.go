// Package registry replicates the routing rules between one gateway, the platform's
// object store and the gateway's peers. All gateways run it alike; there is no leader.
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
// Operators write Rules/Submitted. Its versions are handled one after another, each by
// the gateway that is first to do so. A submission is accepted only by the conditional
// write of Rules/Accepted, which holds the rules, their generation and the last
// submission handled. A write whose response is lost is resolved by reading the object
// back.
//
// Only gateways write Rules/Accepted. If something else overwrites it with an unusable
// object, a gateway finds the last valid version in the object's history and writes it
// again.
//
// # Replication
//
// A gateway accepts a generation, from the store or from a peer, only if it is higher
// than its own, so that its rules never revert. Changes are forwarded from peer to
// peer, and a few gateways of each zone watch for submissions. In addition, every
// gateway lists the object versions at a slow, jittered interval, which bounds the age
// of its rules even if all watches and links have silently failed. A list costs a few
// hundred bytes whatever the size of the rules. Since each watch response contains the
// whole file, the watching gateways replace their watches by more frequent lists if
// the file is large.
//
// Core makes the decisions and performs no I/O.
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
	// defaultPoll is the interval of slow polls in a small fleet. Two consecutive
	// polls fit into the time in which a change has to be in force.
	defaultPoll = 1500 * time.Millisecond
	// maxWatchedBytes is the size of the rules above which no watch is held, since
	// each watch response contains the whole file.
	maxWatchedBytes = 64 << 10
	// listInterval is the interval of the lists that replace a watch.
	listInterval = time.Second
	// defaultStatusInterval is how long changes are batched into one status report.
	defaultStatusInterval = time.Second
)

// Config configures a Registry. Its functions must neither block nor call the
// Registry.
type Config struct {
	// Name is this gateway VM's name.
	Name string
	// Store is the platform's object store.
	Store mustardsaddle.Store
	// StatusStore is the same store, for low-priority calls that may be dropped; nil
	// means Store.
	StatusStore mustardsaddle.Store
	// InForce is called with each new rule table, in the order of generations.
	InForce func(*rule.Table)
	// Broadcast sends a change to the peers.
	Broadcast func(rule.Change)
	// Rank returns this gateway's position, from 0, among the gateways of the fleet.
	// It determines the order in which gateways try to accept a submission; the
	// gateway of rank 0 writes the status reports for all. A nil Rank means 0.
	Rank func() int
	// Fleet returns the number of gateways; nil means 1.
	Fleet func() int
	// Watch reports whether this gateway watches for submissions; nil means that it
	// does.
	Watch func() bool
	// Live returns the live gateway VMs with the generations that they have announced,
	// 0 if unknown; nil means that the other gateways are not known.
	Live func() []rule.VM
	// Poll is the interval of slow polls; 0 means 1.5 s.
	Poll time.Duration
	// Status is how long changes are batched into one status report; 0 means 1 s.
	Status time.Duration
	// Logger receives the log events.
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
	if cfg.Broadcast == nil {
		cfg.Broadcast = func(rule.Change) {}
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
		cfg.Status = defaultStatusInterval
	}
	return cfg
}

// Registry replicates the rules on one gateway. It is safe for concurrent use.
type Registry struct {
	cfg Config
	// submissions carries the submissions received by the watch.
	submissions chan mustardsaddle.Object
	// retryBackoff determines the delay after a failed call.
	retryBackoff store.Backoff

	mu    sync.Mutex
	rng   *rand.Rand
	core  *Core
	table *rule.Table
	// fileSize is the size of the file in force.
	fileSize int
}

// New returns a Registry without rules.
func New(cfg Config) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{
		cfg:          cfg,
		submissions:  make(chan mustardsaddle.Object),
		retryBackoff: store.Backoff{Base: cfg.Poll / 10, Max: cfg.Poll / 2},
		rng:          rand.New(rand.NewPCG(cfg.Seed, 2)),
		core:         NewCore(),
		table:        rule.Compile(rule.File{}),
	}
}

// Run synchronizes with the store until the context ends, then closes done.
func (g *Registry) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	store.RunConcurrently(ctx, g.watch, g.report, g.follow)
}

// Generation returns the generation in force, 0 before there is one.
func (g *Registry) Generation() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.File().Generation
}

// Snapshot returns the complete rules in force, for a peer that lacks them, and their
// generation, 0 before there are any.
func (g *Registry) Snapshot() (text string, generation int64) {
	g.mu.Lock()
	a := rule.Accepted{File: g.core.File(), Submission: g.core.LastHandled()}
	g.mu.Unlock()
	return a.Format(), a.File.Generation
}

// Receive applies a change from a peer and forwards it if it is new. If the result is
// Gap, the change is buffered, and the caller requests the complete file from a peer
// if Generation is still lower a moment later. If the result is BadDigest, the caller
// requests it at once.
func (g *Registry) Receive(_ time.Time, change rule.Change) rule.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	applied, result := g.core.Receive(change)
	for _, c := range applied {
		g.cfg.Broadcast(c)
	}
	if len(applied) > 0 {
		g.activate("Peer")
	}
	return result
}

// ReceiveSnapshot applies the complete rules received from a peer. The result is
// Applied, Stale, or, with an error, BadDigest.
func (g *Registry) ReceiveSnapshot(_ time.Time, text string) (rule.Result, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	result, err := g.core.ReceiveSnapshot(text)
	if err != nil {
		event.Warn(g.cfg.Logger, event.RulesIgnored).Err(err).Send()
	}
	if result == rule.Applied {
		g.activate("PeerWhole")
	}
	return result, err
}

// takeAccepted processes a version of Rules/Accepted.
func (g *Registry) takeAccepted(o mustardsaddle.Object) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	change, changed, err := g.core.TakeAccepted(o)
	g.applyChange(change, changed)
	return err
}

// applyChange puts in force and forwards the change that a version of Rules/Accepted
// contained. The caller holds mu. The first complete file is not forwarded: peers
// without rules request it.
func (g *Registry) applyChange(change rule.Change, changed bool) {
	if !changed {
		return
	}
	g.activate("Store")
	if change.From > 0 {
		g.cfg.Broadcast(change)
	}
}

// activate passes the table of the file now in force to Config.InForce. The caller
// holds mu.
func (g *Registry) activate(source string) {
	g.table = g.table.Recompile(g.core.File())
	g.fileSize = g.table.File.Size()
	g.cfg.InForce(g.table)
	event.Info(g.cfg.Logger, event.RulesInForce).Int64("Generation", g.core.File().Generation).Str("Source", source).Send()
}

// withRNG calls f with the random number generator.
func (g *Registry) withRNG(f func(*rand.Rand) time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g.rng)
}
