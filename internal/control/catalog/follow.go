package catalog

import (
	"context"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

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
		action, pause, position := c.nextAction(time.Now(), collection)
		if action == Watch && f.failures > 0 {
			// A watch returns only after a change or its full wait, so it would detect
			// the recovery of the directory too late.
			action = ReadChanges
		}
		if action == Sleep {
			limit := maxSleep
			if position.IsZero() {
				limit = maxFirstSleep
			}
			store.Sleep(ctx, min(pause, limit))
			continue
		}
		err := c.read(ctx, collection, action, position)
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
// position to continue from.
func (c *Catalog) nextAction(now time.Time, collection mustardsaddle.Collection) (Action, time.Duration, mustardsaddle.Position) {
	reader := c.cfg.Reader(collection)
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.known[collection]
	if p.historyLost {
		return ReadWhole, 0, mustardsaddle.Position{}
	}
	_, stale := c.readTiming(collection)
	staleAge := stale + time.Duration(c.rng.Int64N(int64(staleJitter)))
	state := State{
		Position: p.position, Era: c.eras.Newest(), FreshAt: p.freshAt, Reader: reader,
		ReadFrom: c.readFrom, ChangedAt: p.changedAt, StaleAge: staleAge,
	}
	action, pause := Plan(now, state)
	return action, pause, p.position
}

// read performs an action and applies the result.
func (c *Catalog) read(ctx context.Context, collection mustardsaddle.Collection, action Action, after mustardsaddle.Position) error {
	started := time.Now()
	var u mustardsaddle.Update
	var err error
	switch action {
	case ReadWhole:
		u, err = c.cfg.Directory.Snapshot(ctx, collection, true)
	case Watch:
		wait, _ := c.readTiming(collection)
		u, err = c.cfg.Directory.Changes(ctx, collection, after, wait)
	default:
		u, err = c.cfg.Directory.Changes(ctx, collection, after, 0)
	}
	if err != nil {
		return err
	}
	return c.ReceiveResponse(started, time.Now(), collection, u)
}

// requireSnapshot makes the next action read a snapshot of the collection.
func (c *Catalog) requireSnapshot(collection mustardsaddle.Collection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.known[collection].historyLost = true
}

// ReceiveResponse applies an update that this gateway read from the directory in a call
// that lasted from started to now, and forwards what is new. It returns an error with code.StoreHistoryLost if the update
// continues from a position of another era, and with code.StoreOldEra if a newer era than
// that of the update is known.
func (c *Catalog) ReceiveResponse(started, now time.Time, collection mustardsaddle.Collection, u mustardsaddle.Update) error {
	rules, release := c.prepare(u, true)
	defer release()
	c.mu.Lock()
	defer c.mu.Unlock()
	if rules.result == rule.Ended {
		return nil
	}
	for _, err := range u.Skipped {
		event.Warn(c.cfg.Logger, event.EntrySkipped).Stringer("Collection", collection).Err(err).Send()
	}
	u = c.resolveEra(now, u)
	if newest := c.eras.Newest(); u.Position.Era < newest {
		return code.Errorf(code.StoreOldEra, "read %s: got a response of era %d, want %d", collection, u.Position.Era, newest)
	}
	if !u.Whole && u.After.Era != u.Position.Era {
		return code.Errorf(code.StoreHistoryLost, "read %s: the directory has started era %d since revision %d of era %d",
			collection, u.Position.Era, u.After.Revision, u.After.Era)
	}
	p := &c.known[collection]
	p.confirm(now)
	p.historyLost = p.historyLost && !u.Whole
	if !u.Whole && u.HasChanges() {
		p.changedAt = now
	}
	forwardable := c.forwardable(collection, u, rules)
	c.servers.Contact(started, now)
	if Compare(p.position, u) == Applicable {
		c.apply(now, collection, u, rules, "Directory")
	}
	if rules.corrected {
		c.putInForce(rules, u.Position, "Directory")
	}
	forwardable.Reading = c.nextReading()
	c.forward("", collection, forwardable)
	return nil
}
