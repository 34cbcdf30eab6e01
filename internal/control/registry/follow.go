package registry

import (
	"context"
	"math/rand/v2"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/base/event"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
)

// watch holds a watch on Rules/Submitted while this gateway is one of those that
// do, and hands each new version to follow.
func (g *Registry) watch(ctx context.Context) {
	version := int64(0)
	failures := 0
	for ctx.Err() == nil {
		if !g.cfg.Watch() || g.large() {
			if !store.Sleep(ctx, g.random(g.pollDelay)) {
				return
			}
			continue
		}
		o, err := g.cfg.Store.Watch(ctx, SubmittedKey, version)
		if err != nil || o.Version == 0 {
			failures++
			if !store.Sleep(ctx, g.retryDelay(failures)) {
				return
			}
			continue
		}
		failures = 0
		if o.Version <= version || o.Value == nil {
			continue
		}
		version = o.Version
		select {
		case g.submitted <- o:
		case <-ctx.Done():
			return
		}
	}
}

// large reports whether the rules are too large for a watch.
func (g *Registry) large() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.size > maxWatchedBytes
}

// seen returns the highest version of Rules/Accepted that is in force.
func (g *Registry) seen() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.core.Seen()
}

// pollDelay returns the time to the next list. The caller holds mu.
func (g *Registry) pollDelay(rng *rand.Rand) time.Duration {
	if g.size > maxWatchedBytes && g.cfg.Watch() {
		return jittered(rng, min(listInterval, g.cfg.Poll))
	}
	return PollDelay(rng, g.cfg.Poll, g.cfg.Fleet())
}

func (g *Registry) retryDelay(failures int) time.Duration {
	return g.random(func(rng *rand.Rand) time.Duration { return g.retry.Delay(rng, failures) })
}

// follower is the state of the loop that acts on what the store shows.
type follower struct {
	*Registry
	// watched is the last submission that the watch has brought.
	watched mustardsaddle.Object
	// refused is the last version of Rules/Accepted that could not be used.
	refused int64
	// pollFailures and acceptFailures count failures in a row.
	pollFailures, acceptFailures int
	poll, accept                 *time.Timer
	// waiting is true while accept runs.
	waiting bool
}

// follow acts on watches and slow reads until the context ends.
func (g *Registry) follow(ctx context.Context) {
	f := &follower{Registry: g, poll: time.NewTimer(g.random(func(rng *rand.Rand) time.Duration {
		return StartDelay(rng, g.cfg.Fleet())
	})), accept: time.NewTimer(time.Hour)}
	f.accept.Stop()
	defer f.poll.Stop()
	defer f.accept.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f.watched = <-g.submitted:
			f.notice(f.watched.Version)
		case <-f.poll.C:
			f.list(ctx)
		case <-f.accept.C:
			f.waiting = false
			f.handle(ctx)
		}
	}
}

// notice learns of a version of Rules/Submitted, and leaves it for a while to the
// gateways that try first.
func (f *follower) notice(version int64) {
	fleet := f.cfg.Fleet()
	place := AcceptPlace(f.cfg.Rank(), fleet, version)
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.core.Notice(version) && !f.core.Broken() || f.waiting {
		return
	}
	if place > 0 {
		// Another one has probably written: a read costs less than a conflict.
		f.core.Forget()
	}
	f.schedule(AcceptDelay(f.rng, place, fleet))
}

func (f *follower) schedule(d time.Duration) {
	f.waiting = true
	f.accept.Reset(d)
}

// list makes one slow read: the versions of the rules' objects, and then the
// value of Rules/Accepted if it is new.
func (f *follower) list(ctx context.Context) {
	err := f.refresh(ctx)
	if err == nil {
		f.pollFailures = 0
		f.poll.Reset(f.random(f.pollDelay))
		return
	}
	f.pollFailures++
	f.failed(ctx, err, f.pollFailures)
	f.poll.Reset(f.retryDelay(f.pollFailures))
}

// failed logs the first of several failures.
func (f *follower) failed(ctx context.Context, err error, failures int) {
	if failures == 1 && ctx.Err() == nil {
		event.Warn(f.cfg.Logger, event.StoreFailed).Err(err).Int("Code", int(code.Of(err))).Send()
	}
}

func (f *follower) refresh(ctx context.Context) error {
	objects, err := f.cfg.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	for _, o := range objects {
		switch {
		case o.Key == SubmittedKey:
			f.notice(o.Version)
		case o.Key == AcceptedKey && o.Version > f.seen() && o.Version != f.refused:
			if err := f.readNew(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// readNew reads a new version of Rules/Accepted. One that can't be used is read
// once, and repaired by the gateway whose turn it is.
func (f *follower) readNew(ctx context.Context) error {
	o, err := f.cfg.Store.Get(ctx, AcceptedKey)
	if err != nil {
		return err
	}
	if err := f.take(o); err != nil {
		f.refused = o.Version
		event.Warn(f.cfg.Logger, event.RulesIgnored).Err(err).Int("Code", int(code.Of(err))).Send()
	}
	f.notice(0)
	return nil
}

// handle handles the submissions known, one after another.
func (f *follower) handle(ctx context.Context) {
	for ctx.Err() == nil {
		f.mu.Lock()
		step := f.core.Next(time.Now())
		f.mu.Unlock()
		if step.Action == Idle {
			f.acceptFailures = 0
			return
		}
		if err := f.perform(ctx, step); err != nil {
			f.acceptFailures++
			f.failed(ctx, err, f.acceptFailures)
			f.schedule(f.retryDelay(f.acceptFailures))
			return
		}
	}
}

// perform does one step and hands its result to the core.
func (f *follower) perform(ctx context.Context, step Step) error {
	switch step.Action {
	case ReadAccepted:
		o, err := f.cfg.Store.Get(ctx, AcceptedKey)
		if err != nil {
			return err
		}
		return f.take(o)
	case ReadSubmission:
		o, err := f.submission(ctx, step.Version)
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.core.TakeSubmission(step.Version, o, err)
	case ReadBase, ReadPrevious:
		return f.readOld(ctx, step)
	default:
		return f.write(ctx, step)
	}
}

// readOld reads an old version of Rules/Accepted.
func (f *follower) readOld(ctx context.Context, step Step) error {
	o, err := f.cfg.Store.GetVersion(ctx, AcceptedKey, step.Version)
	if err != nil && code.Of(err) != code.StoreTooLarge {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if step.Action == ReadPrevious {
		f.core.TakePrevious(step.Version, o)
	} else {
		f.core.TakeBase(step.Version, o)
	}
	return nil
}

// submission returns a version of Rules/Submitted.
func (f *follower) submission(ctx context.Context, version int64) (mustardsaddle.Object, error) {
	if f.watched.Version == version {
		return f.watched, nil
	}
	return f.cfg.Store.GetVersion(ctx, SubmittedKey, version)
}

// write makes the write that accepts.
func (f *follower) write(ctx context.Context, step Step) error {
	version, err := f.cfg.Store.Put(ctx, AcceptedKey, step.Value, step.Version)
	f.mu.Lock()
	defer f.mu.Unlock()
	change, brought, failure := f.core.Wrote(step, version, err)
	f.taken(change, brought)
	switch {
	case err != nil:
	case step.Decision.Handled:
		f.accepted(step.Decision)
	default:
		event.Warn(f.cfg.Logger, event.RulesRepaired).Int64("Version", version).
			Int64("Generation", step.Decision.Next.File.Generation).Send()
	}
	return failure
}

// accepted logs what became of a submission.
func (f *follower) accepted(d rule.Decision) {
	event.Info(f.cfg.Logger, event.RulesAccepted).Int64("Submission", d.Next.Submission).
		Int64("Generation", d.Next.File.Generation).Bool("Changed", d.Changed).Int("Refused", len(d.Refused)).Send()
	for _, p := range d.Refused {
		event.Warn(f.cfg.Logger, event.RulesRefused).Int64("Submission", d.Next.Submission).
			Int("Line", p.Line).Int("Code", int(p.Code)).Str("Text", p.Text).Send()
	}
}
