package catalog_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// slowDirectory is a directory that needs a time to transfer a version of the rules.
type slowDirectory struct {
	wholeDirectory
	transfer time.Duration
	// changeAfter is the time from the begin until the rules change.
	begun       time.Time
	changeAfter time.Duration

	mu    sync.Mutex
	reads int
}

// Changes returns the change of the rules to a watch that waits for it, or began after it.
func (d *slowDirectory) Changes(ctx context.Context, c mustardsaddle.Collection, after mustardsaddle.Position, wait time.Duration) (mustardsaddle.Update, error) {
	if c != mustardsaddle.RulesCollection {
		<-ctx.Done()
		return mustardsaddle.Update{}, ctx.Err()
	}
	d.mu.Lock()
	d.reads++
	d.mu.Unlock()
	changesIn := time.Until(d.begun.Add(d.changeAfter))
	time.Sleep(max(min(wait, changesIn), 0))
	if after.Revision > 1 || changesIn > wait {
		return mustardsaddle.Update{After: after, Position: after}, nil
	}
	time.Sleep(d.transfer)
	return mustardsaddle.Update{After: after, Position: revision(2), Rules: rules(2)}, nil
}

// TestPeersAwaitReaderOfLargeRules guards against all gateways of a fleet reading a large version of the rules
// from the directory, because those that read it for the others have not yet received it whole.
func TestPeersAwaitReaderOfLargeRules(t *testing.T) {
	// Times are twice the defaults, so that a stall of the test has no effect.
	const (
		transfer = time.Second
		wait     = 2400 * time.Millisecond
		stale    = 2800 * time.Millisecond
	)
	for _, changeAfter := range []time.Duration{2200 * time.Millisecond, 2500 * time.Millisecond, 3400 * time.Millisecond, 4600 * time.Millisecond} {
		t.Run(changeAfter.String(), func(t *testing.T) {
			t.Parallel()
			playLargeRules(t, catalog.Config{Wait: wait, Stale: stale}, transfer, changeAfter)
		})
	}
}

// playLargeRules runs a reader and a peer until both have the changed rules, and checks that the peer has read
// nothing itself.
func playLargeRules(t *testing.T, cfg catalog.Config, transfer, changeAfter time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	begun := time.Now()
	first := wholeDirectory{rules: mustardsaddle.Update{Whole: true, Position: revision(1), Rules: rules(1)}}
	own := &slowDirectory{wholeDirectory: first, transfer: transfer, begun: begun, changeAfter: changeAfter}
	of := &slowDirectory{wholeDirectory: first, transfer: transfer, begun: begun, changeAfter: changeAfter}
	newCatalog := func(d *slowDirectory, reader bool, forward func(string, mustardsaddle.Collection, mustardsaddle.Update)) *catalog.Catalog {
		cfg.Directory, cfg.InForce, cfg.Servers = d, func(*rule.Table) {}, func(time.Time, string, []mustardsaddle.Server) {}
		cfg.Reader, cfg.Forward = func(mustardsaddle.Collection) bool { return reader }, forward
		cfg.StartedAt, cfg.FirstWait = begun, time.Second
		return catalog.New(cfg)
	}
	peer := newCatalog(own, false, nil)
	reader := newCatalog(of, true, func(_ string, c mustardsaddle.Collection, u mustardsaddle.Update) {
		peer.Receive(time.Now(), "reader", c, u)
	})
	snapshot := first.rules
	peer.Receive(begun, "reader", mustardsaddle.RulesCollection, snapshot)
	done := make(chan struct{}, 2)
	for _, c := range []*catalog.Catalog{reader, peer} {
		ended := make(chan struct{})
		go c.Run(ctx, ended)
		go func() {
			<-ended
			done <- struct{}{}
		}()
	}
	time.Sleep(changeAfter + 2*transfer)
	if _, generation := peer.Snapshot(); generation != 2 {
		t.Errorf("got generation %d at the peer, want 2", generation)
	}
	own.mu.Lock()
	if own.reads > 0 {
		t.Errorf("got %d reads of the rules by the peer, want 0", own.reads)
	}
	own.mu.Unlock()
	cancel()
	<-done
	<-done
}
